package fleet

import (
	"math"
	"slices"
	"time"
)

// maxFullMesh is the number of routers up to which each one sends to all others.
const maxFullMesh = 16

// Partners are the routers that one router sends its digests to.
type Partners struct {
	// Direct get the router's own digest: its row of the grid, or all others in a small fleet.
	Direct []uint64
	// Relayed get the sum of the row: its column of the grid. Empty in a small fleet.
	Relayed []uint64
}

// Len returns the number of partners.
func (p Partners) Len() int { return len(p.Direct) + len(p.Relayed) }

// PartnersOf returns the partners of self among routers, which are hashes of names and may
// include self.
//
// Up to 16 routers form a full mesh. More form a grid, filled column by column in the order of
// their hashes, so that the lengths of rows differ by at most one:
//
//	row 0: a d g j     each sends its own digest to its row   (d to a g j)
//	row 1: b e h k     and the sum of its row to its column   (d to e f)
//	row 2: c f i       row 2 lacks the last column: i also sends to j k
//
// Updates cross the fleet in two steps and each router sends about 2 x sqrt(n) messages.
// Random gossip was ruled out: for the same staleness each digest arrives several times, and
// bandwidth is scarce. A failed router cuts one row off one column until the views drop it.
func PartnersOf(self uint64, routers []uint64) Partners {
	sorted := slices.Clone(routers)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	at, found := slices.BinarySearch(sorted, self)
	if !found {
		sorted = slices.Insert(sorted, at, self)
	}
	if len(sorted) <= maxFullMesh {
		return Partners{Direct: slices.Delete(sorted, at, at+1)}
	}
	return gridPartners(sorted, at)
}

func gridPartners(sorted []uint64, at int) Partners {
	rows := int(math.Round(math.Sqrt(float64(len(sorted)))))
	row, column := at%rows, at/rows
	lastColumn := (len(sorted) - 1) / rows
	// The last router of a row that lacks the last column stands in for that column.
	standsIn := column == lastColumn-1 && at+rows >= len(sorted)
	var p Partners
	for i, router := range sorted {
		otherRow, otherColumn := i%rows, i/rows
		switch {
		case i == at:
		case otherRow == row:
			p.Direct = append(p.Direct, router)
		case otherColumn == column, standsIn && otherColumn == lastColumn:
			p.Relayed = append(p.Relayed, router)
		}
	}
	return p
}

// doublePeriodFrom is the number of routers from which the period is doubled.
const doublePeriodFrom = 64

// ScaledPeriod returns the period between digests in a data centre with the given number of
// routers. In a large one a router would otherwise exceed its bandwidth budget.
func ScaledPeriod(base time.Duration, routers int) time.Duration {
	if routers >= doublePeriodFrom {
		return 2 * base
	}
	return base
}
