package fleet

import (
	"math"
	"slices"
	"time"
)

// fullMesh is the number of routers up to which each one tells all others.
const fullMesh = 16

// Partners are the routers that one router sends its digests to.
type Partners struct {
	// Direct get the router's own row: its line, or everyone in a small fleet.
	Direct []uint64
	// Relayed get the rows of the whole line: its column. Empty in a small fleet.
	Relayed []uint64
}

// PartnersOf returns the partners of self among routers (hashes of names, self
// may be among them).
//
// Up to 16 routers each tells all others. Beyond, the routers stand in a grid,
// dealt in the order of their hashes, so that lines differ by one at most:
//
//	line 0: a d g j     each tells its own row to its line   (d tells a g j)
//	line 1: b e h k     and the sum of its line to its column (d tells e f)
//	line 2: c f i       line 2 has nobody in the last column: i also tells j k
//
// So news crosses the fleet in two steps and each router sends about
// 2 x sqrt(n) messages. Random gossip was ruled out: at equal staleness each
// row arrives several times, and bytes are what is scarce. A router that fails
// cuts one line off one column until the live views drop it.
func PartnersOf(self uint64, routers []uint64) Partners {
	sorted := slices.Clone(routers)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	at, found := slices.BinarySearch(sorted, self)
	if !found {
		sorted = slices.Insert(sorted, at, self)
	}
	if len(sorted) <= fullMesh {
		return Partners{Direct: slices.Delete(sorted, at, at+1)}
	}
	return gridPartners(sorted, at)
}

func gridPartners(sorted []uint64, at int) Partners {
	lines := int(math.Round(math.Sqrt(float64(len(sorted)))))
	line, column := at%lines, at/lines
	lastColumn := (len(sorted) - 1) / lines
	// A line without anyone in the last column has its last member stand in.
	standsIn := column == lastColumn-1 && at+lines >= len(sorted)
	var p Partners
	for i, router := range sorted {
		otherLine, otherColumn := i%lines, i/lines
		switch {
		case i == at:
		case otherLine == line:
			p.Direct = append(p.Direct, router)
		case otherColumn == column, standsIn && otherColumn == lastColumn:
			p.Relayed = append(p.Relayed, router)
		}
	}
	return p
}

// slowFrom is the number of routers from which digests are sent half as often.
const slowFrom = 64

// ScaledPeriod returns the pause between two digests in a data centre of so many
// routers. In a large one a router would otherwise spend more than its budget.
func ScaledPeriod(base time.Duration, routers int) time.Duration {
	if routers >= slowFrom {
		return 2 * base
	}
	return base
}
