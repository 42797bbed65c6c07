package fleet

import (
	"cmp"
	"slices"
	"time"
)

// ID is the 32 bit short form of a 64 bit hash, as digests carry it.
type ID uint32

// ShortID returns the short form of a hash.
func ShortID(hash uint64) ID {
	return ID(hash >> 32)
}

// GroupLoad is the load of one group, as reported by a router that owns it.
type GroupLoad struct {
	Group ID
	// Load is the requests queued and in flight per engine.
	Load float64
}

// Demand is an organisation's demand, in work tokens a second.
type Demand struct {
	Organisation ID
	Rate         float64
}

// EngineCount is the number of requests that the sender has in flight at an engine that the
// receiver owns or owned.
type EngineCount struct {
	Engine   uint64
	InFlight int
}

// Digest is one message between routers: the sender's own state or, if relayed, the sum of
// its row of the grid (see PartnersOf).
type Digest struct {
	Sender ID
	// Sequence increases with each digest of a sender.
	Sequence uint32
	Relayed  bool
	Loads    []GroupLoad
	// Demands holds the largest demands, largest first.
	Demands []Demand
	// Leaving holds the short name hashes of targets that were seen leaving.
	Leaving []ID
	// Engines is set only while routers disagree about owners.
	Engines []EngineCount
	// Version is the sender's configuration version.
	Version uint64
	// Stopping is set if the sender is about to stop.
	Stopping bool
}

// MaxDemands bounds the organisations in one digest. Only those with the
// largest demand matter: a small one never reaches its limit.
const MaxDemands = 8

// StaleAfter is the age above which a digest is ignored.
const StaleAfter = 15 * time.Second

// DigestTable holds the newest digest of every sender. It is not safe for concurrent use.
//
// Values of different digests are added: two routers that both believe that they own a group
// each report the part that they dispatched. While routers disagree about the grid, a router
// may arrive by two paths and briefly count twice, which costs only accuracy; carrying router
// names would cost bytes (docs/design/digests.md).
type DigestTable struct {
	self     ID
	digests  map[source]entry
	stopping map[ID]time.Time
}

// source identifies an entry by its sender and kind of digest.
type source struct {
	sender  ID
	relayed bool
}

type entry struct {
	Digest
	at time.Time
}

// NewDigestTable returns an empty table for the router self.
func NewDigestTable(self ID) *DigestTable {
	return &DigestTable{self: self, digests: make(map[source]entry), stopping: make(map[ID]time.Time)}
}

// Put stores a digest that arrived at now, unless a newer one of its sender came before it.
func (b *DigestTable) Put(d Digest, now time.Time) {
	from := source{d.Sender, d.Relayed}
	held, known := b.digests[from]
	restarted := now.Sub(held.at) > StaleAfter
	if d.Sender == b.self || known && !restarted && int32(d.Sequence-held.Sequence) <= 0 {
		return
	}
	b.digests[from] = entry{Digest: d, at: now}
	if d.Stopping {
		b.stopping[d.Sender] = now
	}
}

// DropStale removes everything older than StaleAfter.
func (b *DigestTable) DropStale(now time.Time) {
	for from, e := range b.digests {
		if now.Sub(e.at) > StaleAfter {
			delete(b.digests, from)
		}
	}
	for id, at := range b.stopping {
		if now.Sub(at) > StaleAfter {
			delete(b.stopping, id)
		}
	}
}

// Stopping reports whether a router announced that it is about to stop.
func (b *DigestTable) Stopping(router ID) bool {
	_, stopping := b.stopping[router]
	return stopping
}

// Len returns the number of digests in the table.
func (b *DigestTable) Len() int { return len(b.digests) }

// Heard returns how many of the partners a digest is held of.
func (b *DigestTable) Heard(p Partners) int {
	heard := 0
	for _, hash := range slices.Concat(p.Direct, p.Relayed) {
		_, direct := b.digests[source{ShortID(hash), false}]
		_, relayed := b.digests[source{ShortID(hash), true}]
		if direct || relayed {
			heard++
		}
	}
	return heard
}

// AddGroupLoads adds each group's load to loads, where index gives the group's position. A
// negative load is unknown, and stays so if no digest has a load of the group.
func (b *DigestTable) AddGroupLoads(index map[ID]int, loads []float64) {
	for _, e := range b.digests {
		for _, g := range e.Loads {
			if at, known := index[g.Group]; known {
				loads[at] = max(loads[at], 0) + g.Load
			}
		}
	}
}

// OthersDemand returns the organisation's demand at the other routers, in work tokens a
// second, or -1 if there is no fresh digest.
func (b *DigestTable) OthersDemand(organisation ID) float64 {
	if len(b.digests) == 0 {
		return -1
	}
	sum := 0.0
	for _, e := range b.digests {
		for _, d := range e.Demands {
			if d.Organisation == organisation {
				sum += d.Rate
			}
		}
	}
	return sum
}

// Aggregate returns the digest that a router sends to its column: the sum of its own and those
// received directly from its row.
func (b *DigestTable) Aggregate(own Digest, row []ID) Digest {
	d := own
	d.Relayed = true
	d.Engines = nil
	loads := make(map[ID]float64)
	demands := make(map[ID]float64)
	leaving := slices.Clone(own.Leaving)
	add := func(from Digest) {
		for _, g := range from.Loads {
			loads[g.Group] += g.Load
		}
		for _, demand := range from.Demands {
			demands[demand.Organisation] += demand.Rate
		}
	}
	add(own)
	for _, router := range row {
		direct := b.digests[source{router, false}]
		add(direct.Digest)
		leaving = append(leaving, direct.Leaving...)
	}
	slices.Sort(leaving)
	d.Leaving = slices.Compact(leaving)
	d.Loads = sortedLoads(loads)
	d.Demands = LargestDemands(demands)
	return d
}

func sortedLoads(sums map[ID]float64) []GroupLoad {
	loads := make([]GroupLoad, 0, len(sums))
	for group, load := range sums {
		loads = append(loads, GroupLoad{Group: group, Load: load})
	}
	slices.SortFunc(loads, func(a, b GroupLoad) int { return cmp.Compare(a.Group, b.Group) })
	return loads
}

// LargestDemands returns the MaxDemands largest of the demands, largest first.
func LargestDemands(sums map[ID]float64) []Demand {
	demands := make([]Demand, 0, len(sums))
	for organisation, rate := range sums {
		demands = append(demands, Demand{Organisation: organisation, Rate: rate})
	}
	slices.SortFunc(demands, func(a, b Demand) int {
		if c := cmp.Compare(b.Rate, a.Rate); c != 0 {
			return c
		}
		return cmp.Compare(a.Organisation, b.Organisation)
	})
	return demands[:min(len(demands), MaxDemands)]
}
