package fleet

import (
	"math"
	"slices"
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
// in the order of their hashes:
//
//	a b c d     each tells its own row to its line   (f tells e g h)
//	e f g h     and the rows of its line to its column (f tells b j)
//	i j k       k's line is short: i also tells d and h, the column that
//	            has nobody in the last line
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
	columns := int(math.Ceil(math.Sqrt(float64(len(sorted)))))
	lastLine := (len(sorted) - 1) / columns
	lastLength := len(sorted) - lastLine*columns
	line, column := at/columns, at%columns
	var p Partners
	for i, router := range sorted {
		otherLine, otherColumn := i/columns, i%columns
		switch {
		case i == at:
		case otherLine == line:
			p.Direct = append(p.Direct, router)
		case otherColumn == column:
			p.Relayed = append(p.Relayed, router)
		case line == lastLine && otherColumn%lastLength == column:
			p.Relayed = append(p.Relayed, router)
		}
	}
	return p
}
