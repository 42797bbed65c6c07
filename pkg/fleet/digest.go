package fleet

import (
	"cmp"
	"slices"
	"time"
)

// ID is the 32 bit short form of a 64 bit hash, as digests carry it.
type ID uint32

// Short returns the short form of a hash.
func Short(hash uint64) ID {
	return ID(hash >> 32)
}

// GroupLoad is what an owner tells of one of its groups.
type GroupLoad struct {
	Group ID
	// Load is the requests queued and in flight per engine.
	Load float64
	// Engines is how many engines the owner counts in the group.
	Engines int
}

// Row is what one router tells of itself. Sequence grows with each.
type Row struct {
	Router   ID
	Sequence uint32
	Groups   []GroupLoad
}

// Demand is an organisation's demand, in work tokens a second.
type Demand struct {
	Organisation ID
	Rate         float64
}

// Digest is one message between routers: the sender's own row (direct), or
// what it holds of the routers in its line (relayed).
type Digest struct {
	Sender  ID
	Relayed bool
	Rows    []Row
	// Demands are summed over the routers of Rows, largest first.
	Demands []Demand
	// Leaving are short hashes of the names of targets seen leaving.
	Leaving []ID
	// Version is the sender's configuration version.
	Version uint64
	// Stopping tells that the sender is about to stop.
	Stopping bool
}

// MaxDemands bounds the organisations in one digest. Only those with the
// largest demand matter: a small one never reaches its limit.
const MaxDemands = 8

// StaleAfter is the age at which a row counts no more.
const StaleAfter = 15 * time.Second

// Board holds the newest row of every router. It is not safe for concurrent use.
type Board struct {
	self   ID
	rows   map[ID]boardRow
	blocks map[source]block
	// stopping holds the routers that said they stop.
	stopping map[ID]time.Time
}

// source tells which kind of digest of which sender a block came in.
type source struct {
	sender  ID
	relayed bool
}

// block is the part of a digest that is not about single routers.
type block struct {
	demands []Demand
	leaving []ID
	at      time.Time
}

type boardRow struct {
	Row
	at time.Time
}

// NewBoard returns the empty board of router self.
func NewBoard(self ID) *Board {
	return &Board{
		self:     self,
		rows:     make(map[ID]boardRow),
		blocks:   make(map[source]block),
		stopping: make(map[ID]time.Time),
	}
}

// Take enters a digest that arrived at now. Older rows than those held are
// left out: digests may overtake each other. So are rows of the board's own
// router, which come back where views of the fleet differ.
func (b *Board) Take(d Digest, now time.Time) {
	for _, row := range d.Rows {
		if row.Router == b.self {
			continue
		}
		held, known := b.rows[row.Router]
		restarted := now.Sub(held.at) > StaleAfter
		if known && !restarted && int32(row.Sequence-held.Sequence) <= 0 {
			continue
		}
		b.rows[row.Router] = boardRow{Row: row, at: now}
	}
	b.blocks[source{d.Sender, d.Relayed}] = block{demands: d.Demands, leaving: d.Leaving, at: now}
	if d.Stopping {
		b.stopping[d.Sender] = now
	}
}

// Forget drops what is older than StaleAfter.
func (b *Board) Forget(now time.Time) {
	for id, row := range b.rows {
		if now.Sub(row.at) > StaleAfter {
			delete(b.rows, id)
		}
	}
	for id, block := range b.blocks {
		if now.Sub(block.at) > StaleAfter {
			delete(b.blocks, id)
		}
	}
	for id, at := range b.stopping {
		if now.Sub(at) > StaleAfter {
			delete(b.stopping, id)
		}
	}
}

// Stopping tells whether a router said that it stops.
func (b *Board) Stopping(router ID) bool {
	_, stopping := b.stopping[router]
	return stopping
}

// Rows returns the number of routers known.
func (b *Board) Rows() int { return len(b.rows) }

// GroupLoads adds each group's load into loads, whose index says where a
// group stands. Two routers that both believe they own a group each tell the
// part that they dispatched, so their figures add up. Unknown groups stay as
// they are.
func (b *Board) GroupLoads(index map[ID]int, loads []float64) {
	for _, row := range b.rows {
		for _, g := range row.Groups {
			at, known := index[g.Group]
			if !known {
				continue
			}
			loads[at] = max(loads[at], 0) + g.Load
		}
	}
}

// OthersDemand returns what the organisation asks of the other routers, in
// work tokens a second, or -1 when no digest is fresh.
func (b *Board) OthersDemand(organisation ID) float64 {
	if len(b.blocks) == 0 {
		return -1
	}
	sum := 0.0
	for _, block := range b.blocks {
		for _, d := range block.demands {
			if d.Organisation == organisation {
				sum += d.Rate
			}
		}
	}
	return sum
}

// Relay makes the digest that a router sends to its column: its own row and
// the rows that came directly from its line, with their demands summed and the
// targets that they saw leaving.
func (b *Board) Relay(own Digest, line []ID) Digest {
	d := own
	d.Relayed = true
	d.Rows = slices.Clone(own.Rows)
	d.Leaving = slices.Clone(own.Leaving)
	sums := make(map[ID]float64)
	addDemands(sums, own.Demands)
	for _, router := range line {
		row, known := b.rows[router]
		if !known {
			continue
		}
		d.Rows = append(d.Rows, row.Row)
		direct := b.blocks[source{router, false}]
		addDemands(sums, direct.demands)
		d.Leaving = append(d.Leaving, direct.leaving...)
	}
	d.Demands = LargestDemands(sums)
	d.Leaving = unique(d.Leaving)
	return d
}

func unique(ids []ID) []ID {
	slices.Sort(ids)
	return slices.Compact(ids)
}

func addDemands(sums map[ID]float64, demands []Demand) {
	for _, d := range demands {
		sums[d.Organisation] += d.Rate
	}
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
