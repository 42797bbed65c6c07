package directory

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// partReplicas is how many replicas a part of a list has in the mean, or up to
	// twice as many. What changed is sent with the others of its part, and each part is
	// requested with a sum: with few parts much is sent beside what changed, with many
	// there are more sums than replicas that changed.
	partReplicas = 8
	// leastParts is for lists of which all is small.
	leastParts = 16
)

// Excerpt is what one list has that another has not: some of its parts, whole.
type Excerpt struct {
	// PartCount is into how many parts both lists were divided, Differ the numbers of those
	// that are sent.
	PartCount      int
	DifferingParts []uint32
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

// HashFormat is what of a list its mark and sums tell. Builds differ in it, and run beside each
// other: a router speaks to each in the form that this one understands. Where no replica
// says when it started both forms are the same.
type HashFormat uint8

// The forms, the oldest first. A new field of an entry needs another one.
const (
	HashPlain HashFormat = iota
	// HashWithStarts tells when replicas started too.
	HashWithStarts
	forms
)

// sums name the content of an entry in each form.
type sums [forms]uint64

// sumsOf names the content of an entry, but for how long the replica stays cold, which
// is another time at each read.
func sumsOf(r *Replica) sums {
	if r.State == Unusable {
		// What its earlier entry said is known to some routers only.
		sum := xxhash.Sum64(fmt.Appendf(nil, "%q %d", r.ID, r.State))
		return sums{sum, sum}
	}
	text := fmt.Appendf(nil, "%q %q %q %q %d %d %t", r.ID, r.Service, r.Address, r.DataCentre, r.Slots, r.State, r.Cold)
	plain := xxhash.Sum64(text)
	if r.Born == 0 {
		return sums{plain, plain}
	}
	return sums{plain, xxhash.Sum64(fmt.Appendf(text, " %d", r.Born))}
}

// sameContent tells whether two entries of one replica have the same sums.
func sameContent(a, b *Replica) bool {
	if a.State == Unusable && b.State == Unusable {
		return true
	}
	return a.Service == b.Service && a.Address == b.Address && a.DataCentre == b.DataCentre &&
		a.Slots == b.Slots && a.State == b.State && a.Cold == b.Cold && a.Born == b.Born
}

// sum distinguishes an entry from that of another list. An entry of a cold replica
// that was written anew may tell that it stays cold for longer.
func (e *entry) sum(f HashFormat) uint32 {
	sum := e.sums[f]
	if e.replica.Cold {
		sum ^= e.replica.Entry
	}
	return uint32(sum ^ sum>>32)
}

// PartHashes returns a sum of each part of what the last read listed, for another router to
// see which of its parts differ.
func (d *Directory) PartHashes(f HashFormat) []uint32 { return d.sums(f, parts(len(d.entries))) }

func (d *Directory) sums(f HashFormat, count int) []uint32 {
	sums := make([]uint32, count)
	for _, e := range d.entries {
		if e.unconfirmedSince.IsZero() {
			sums[e.part(count)] += e.sum(f)
		}
	}
	return sums
}

// part is the number of the part to which an entry belongs.
func (e *entry) part(count int) uint32 { return uint32(e.idHash % uint64(count)) }

// DetectHashFormat returns the form of the sums of another list: that in which more of its parts
// are alike.
func (d *Directory) DetectHashFormat(theirs []uint32) HashFormat {
	best, most := HashWithStarts, -1
	for f := forms; f > 0; f-- {
		alike := 0
		for i, sum := range d.sums(f-1, len(theirs)) {
			if sum == theirs[i] {
				alike++
			}
		}
		if alike > most {
			best, most = f-1, alike
		}
	}
	return best
}

// FillStartTimes returns a list of another router with the starts that are known here of those
// replicas of which it tells none: it may be of a build that knows nothing of them.
func (d *Directory) FillStartTimes(l Listing) Listing {
	l.Replicas = slices.Clone(l.Replicas)
	for i := range l.Replicas {
		r := &l.Replicas[i]
		if known := d.entries[r.ID]; r.Born == 0 && known != nil {
			r.Born = known.replica.Born
		}
	}
	return l
}

// Excerpt returns the parts of what the last read listed that differ from a list of
// some sums in a form.
func (d *Directory) Excerpt(f HashFormat, theirs []uint32) Excerpt {
	x := Excerpt{PartCount: len(theirs)}
	differs := make([]bool, len(theirs))
	for i, sum := range d.sums(f, len(theirs)) {
		if sum != theirs[i] {
			differs[i] = true
			x.DifferingParts = append(x.DifferingParts, uint32(i))
		}
	}
	x.Replicas = d.listed(func(e *entry) bool { return differs[e.part(len(theirs))] })
	x.Evacuated = slices.Clone(d.evacuated)
	return x
}

// MergeExcerpt returns what the last read listed, with the parts of an excerpt in the place of
// its own.
func (d *Directory) MergeExcerpt(x Excerpt) Listing {
	differ := make([]bool, x.PartCount)
	for _, part := range x.DifferingParts {
		if int(part) < len(differ) {
			differ[part] = true
		}
	}
	own := d.listed(func(e *entry) bool { return len(differ) == 0 || !differ[e.part(len(differ))] })
	return Listing{Replicas: append(own, x.Replicas...), Evacuated: x.Evacuated}
}
