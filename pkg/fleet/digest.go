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

// GroupLoad is what an owner tells of one of its groups.
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

// EngineCount is how many requests the sender runs at an engine that the
// receiver owns or owned.
type EngineCount struct {
	Engine   uint64
	InFlight int
}

// Digest is one message between routers: what the sender knows of itself, or,
// relayed, the sum of its line in the grid (see PartnersOf).
type Digest struct {
	Sender ID
	// Sequence grows with each digest of a sender.
	Sequence uint32
	Relayed  bool
	Loads    []GroupLoad
	// Demands are the largest, largest first.
	Demands []Demand
	// Leaving are short hashes of the names of targets seen leaving.
	Leaving []ID
	// Engines is filled only while views of the owners differ.
	Engines []EngineCount
	// Version is the sender's configuration version.
	Version uint64
	// Stopping tells that the sender is about to stop.
	Stopping bool
}

// MaxDemands bounds the organisations in one digest. Only those with the
// largest demand matter: a small one never reaches its limit.
const MaxDemands = 8

// StaleAfter is the age at which a digest counts no more.
const StaleAfter = 15 * time.Second

// DigestTable holds the newest digest of every sender. It is not safe for concurrent
// use.
//
// Figures of different digests add up: two routers that both believe that they
// own a group each tell the part that they dispatched. Where views of the grid
// differ a router may come by two ways and count twice for a moment, which costs
// exactness only; carrying the routers' names would cost bytes (docs/design/digests.md).
type DigestTable struct {
	self     ID
	digests  map[source]entry
	stopping map[ID]time.Time
}

// source tells which kind of digest of which sender an entry is.
type source struct {
	sender  ID
	relayed bool
}

type entry struct {
	Digest
	at time.Time
}

// NewDigestTable returns the empty board of router self.
func NewDigestTable(self ID) *DigestTable {
	return &DigestTable{self: self, digests: make(map[source]entry), stopping: make(map[ID]time.Time)}
}

// Put enters a digest that arrived at now. One that was overtaken by a newer
// one is left out.
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

// DropStale drops what is older than StaleAfter.
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

// Stopping tells whether a router said that it stops.
func (b *DigestTable) Stopping(router ID) bool {
	_, stopping := b.stopping[router]
	return stopping
}

// Len returns the number of digests held.
func (b *DigestTable) Len() int { return len(b.digests) }

// AddGroupLoads adds each group's load into loads, whose index says where a group
// stands. A negative figure is unknown; unknown groups stay as they are.
func (b *DigestTable) AddGroupLoads(index map[ID]int, loads []float64) {
	for _, e := range b.digests {
		for _, g := range e.Loads {
			if at, known := index[g.Group]; known {
				loads[at] = max(loads[at], 0) + g.Load
			}
		}
	}
}

// OthersDemand returns what the organisation asks of the other routers, in
// work tokens a second, or -1 when no digest is fresh.
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

// Aggregate makes the digest that a router sends to its column: the sum of its own
// and those that came directly from its line.
func (b *DigestTable) Aggregate(own Digest, line []ID) Digest {
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
	for _, router := range line {
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
