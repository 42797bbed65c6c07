package directory

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// partReplicas is how many replicas a part of a list has in the mean, or up to
	// twice as many. What changed is told with the others of its part, some 20 bytes
	// each when packed, and each part is asked for with a sum of four: in a list of
	// 3,000 a part is 160 bytes, and all sums are 1 KB, where the whole list is 57 KB.
	partReplicas = 8
	// leastParts is for lists of which all is small.
	leastParts = 16
)

// Excerpt is what one list has that another has not: some of its parts, whole.
type Excerpt struct {
	// Parts is into how many parts both lists were divided, Differ the numbers of those
	// that are told.
	Parts  int
	Differ []uint32
	Listing
}

// parts is into how many parts a list of n is divided: a power of two.
func parts(n int) int {
	count := leastParts
	for 2*partReplicas*count <= n {
		count *= 2
	}
	return count
}

// idHash is what a replica's part goes by.
func idHash(id string) uint64 { return xxhash.Sum64String(id) }

// sumOf names the content of an entry, but for how long the replica stays cold, which
// is another time at each read.
func sumOf(r *Replica) uint64 {
	if r.State == Unusable {
		// What its earlier entry said is known to some routers only.
		return xxhash.Sum64(fmt.Appendf(nil, "%q %d", r.ID, r.State))
	}
	text := fmt.Appendf(nil, "%q %q %q %q %d %d %t", r.ID, r.Service, r.Address, r.DataCentre, r.Slots, r.State, r.Cold)
	if r.Born != 0 {
		// Routers that know nothing of it still have the same sums as others where no
		// replica says when it started.
		text = fmt.Appendf(text, " %d", r.Born)
	}
	return xxhash.Sum64(text)
}

// sameContent tells whether two entries of one replica have the same sumOf.
func sameContent(a, b *Replica) bool {
	if a.State == Unusable && b.State == Unusable {
		return true
	}
	return a.Service == b.Service && a.Address == b.Address && a.DataCentre == b.DataCentre &&
		a.Slots == b.Slots && a.State == b.State && a.Cold == b.Cold && a.Born == b.Born
}

// told is what tells an entry from that of another list. An entry of a cold replica
// that was written anew may tell that it stays cold for longer.
func (e *entry) told() uint32 {
	sum := e.sum
	if e.replica.Cold {
		sum ^= e.replica.Entry
	}
	return uint32(sum ^ sum>>32)
}

// Sums returns a sum of each part of what the last read listed, for another router to
// see which of its parts differ.
func (d *Directory) Sums() []uint32 { return d.sums(parts(len(d.entries))) }

func (d *Directory) sums(count int) []uint32 {
	sums := make([]uint32, count)
	for _, e := range d.entries {
		if e.doubtedSince.IsZero() {
			sums[e.part(count)] += e.told()
		}
	}
	return sums
}

// part is the number of the part to which an entry belongs.
func (e *entry) part(count int) uint32 { return uint32(e.idHash % uint64(count)) }

// Excerpt returns the parts of what the last read listed that differ from a list of
// some sums.
func (d *Directory) Excerpt(theirs []uint32) Excerpt {
	x := Excerpt{Parts: len(theirs)}
	differs := make([]bool, len(theirs))
	for i, sum := range d.sums(len(theirs)) {
		if sum != theirs[i] {
			differs[i] = true
			x.Differ = append(x.Differ, uint32(i))
		}
	}
	x.Replicas = d.listed(func(e *entry) bool { return differs[e.part(len(theirs))] })
	x.Evacuated = slices.Clone(d.evacuated)
	return x
}

// With returns what the last read listed, with the parts of an excerpt in the place of
// its own.
func (d *Directory) With(x Excerpt) Listing {
	told := make([]bool, x.Parts)
	for _, part := range x.Differ {
		if int(part) < len(told) {
			told[part] = true
		}
	}
	own := d.listed(func(e *entry) bool { return len(told) == 0 || !told[e.part(len(told))] })
	return Listing{Replicas: append(own, x.Replicas...), Evacuated: x.Evacuated}
}
