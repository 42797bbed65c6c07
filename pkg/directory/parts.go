package directory

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// replicasPerPart is the average number of replicas in a part of a list, or up to
	// twice as many. A changed replica is sent with the others of its part, and each part
	// is requested by its hash: with few parts many unchanged replicas are sent, and with
	// many parts there are more hashes than changed replicas.
	replicasPerPart = 8
	// minParts applies to short lists, for which everything is small.
	minParts = 16
)

// Excerpt holds the parts of one list that differ from another list, each part complete.
type Excerpt struct {
	// PartCount is the number of parts into which both lists are divided. DifferingParts
	// are the indices of those in the excerpt.
	PartCount      int
	DifferingParts []uint32
	Listing
}

// countParts returns the number of parts of a list of n replicas, a power of two.
func countParts(n int) int {
	count := minParts
	for 2*replicasPerPart*count <= n {
		count *= 2
	}
	return count
}

// idHash returns the hash that assigns a replica to a part.
func idHash(id string) uint64 { return xxhash.Sum64String(id) }

// HashFormat is the set of fields that the hashes of a list cover. Builds with different
// formats run side by side, so a router uses the format that each peer understands. Both
// formats are equal for a list in which no replica has a start time.
type HashFormat uint8

// The formats, oldest first. A new field of an entry requires a new format.
const (
	HashPlain HashFormat = iota
	// HashWithStarts also covers the start times of replicas.
	HashWithStarts
	hashFormats
)

// contentHashes are the hashes of an entry's content, one per format.
type contentHashes [hashFormats]uint64

// hashContent hashes the content of an entry except ColdLeft, which differs at each read.
func hashContent(r *Replica) contentHashes {
	if r.State == Unusable {
		// Only some routers know what the previous entry said.
		sum := xxhash.Sum64(fmt.Appendf(nil, "%q %d", r.ID, r.State))
		return contentHashes{sum, sum}
	}
	text := fmt.Appendf(nil, "%q %q %q %q %d %d %t", r.ID, r.Service, r.Address, r.DataCentre, r.Slots, r.State, r.Cold)
	plain := xxhash.Sum64(text)
	if r.Born == 0 {
		return contentHashes{plain, plain}
	}
	return contentHashes{plain, xxhash.Sum64(fmt.Appendf(text, " %d", r.Born))}
}

// sameContent reports whether two entries of one replica have the same hashes.
func sameContent(a, b *Replica) bool {
	if a.State == Unusable && b.State == Unusable {
		return true
	}
	return a.Service == b.Service && a.Address == b.Address && a.DataCentre == b.DataCentre &&
		a.Slots == b.Slots && a.State == b.State && a.Cold == b.Cold && a.Born == b.Born
}

// partTerm returns the entry's term in the hash of its part. It includes the revision of
// a cold replica's entry, because a rewritten entry may say that the replica stays cold
// for longer.
func (e *entry) partTerm(f HashFormat) uint32 {
	sum := e.hashes[f]
	if e.replica.Cold {
		sum ^= e.replica.Entry
	}
	return uint32(sum ^ sum>>32)
}

// PartHashes returns a hash of each part of the last read, from which another router
// finds the parts that differ from its own.
func (d *Directory) PartHashes(f HashFormat) []uint32 {
	return d.partHashes(f, countParts(len(d.entries)))
}

// partsKey identifies the hashes of a list's parts: in a format, divided into a number.
type partsKey struct {
	format HashFormat
	count  int
}

// partHashes returns the hashes of the parts, which callers must not change.
func (d *Directory) partHashes(f HashFormat, count int) []uint32 {
	key := partsKey{f, count}
	if known := d.partSums[key]; known != nil {
		return known
	}
	if len(d.partSums) >= maxPartSums {
		clear(d.partSums)
	}
	hashes := make([]uint32, count)
	for _, e := range d.entries {
		if e.unconfirmedSince.IsZero() {
			hashes[e.partIndex(count)] += e.partTerm(f)
		}
	}
	d.partSums[key] = hashes
	return hashes
}

// maxPartSums bounds the divisions of the list that are cached: others ask for the one of
// their own lists, which are about as long.
const maxPartSums = 4

// partIndex returns the index of the part that the entry belongs to.
func (e *entry) partIndex(count int) uint32 { return uint32(e.idHash % uint64(count)) }

// DetectHashFormat returns the format of another list's part hashes: the one in which
// more of them match.
func (d *Directory) DetectHashFormat(theirs []uint32) HashFormat {
	best, most := HashWithStarts, -1
	for f := hashFormats; f > 0; f-- {
		alike := 0
		for i, sum := range d.partHashes(f-1, len(theirs)) {
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

// FillUnknown returns another router's list with known start times and versions filled in
// where it has none, because that router's build may not support them.
func (d *Directory) FillUnknown(l Listing) Listing {
	l.Replicas = slices.Clone(l.Replicas)
	for i := range l.Replicas {
		r := &l.Replicas[i]
		known := d.entries[r.ID]
		if known == nil {
			continue
		}
		if r.Born == 0 {
			r.Born = known.replica.Born
		}
		if r.Version == "" {
			r.Version = known.replica.Version
		}
	}
	return l
}

// Excerpt returns the parts of the last read that differ from a list with the given part
// hashes.
func (d *Directory) Excerpt(f HashFormat, theirs []uint32) Excerpt {
	x := Excerpt{PartCount: len(theirs)}
	differs := make([]bool, len(theirs))
	for i, sum := range d.partHashes(f, len(theirs)) {
		if sum != theirs[i] {
			differs[i] = true
			x.DifferingParts = append(x.DifferingParts, uint32(i))
		}
	}
	x.Replicas = d.listed(func(e *entry) bool { return differs[e.partIndex(len(theirs))] })
	x.Evacuated, x.Rollouts = slices.Clone(d.evacuated), d.ListedRollouts()
	return x
}

// MergeExcerpt returns the last read with the parts of an excerpt replacing its own.
func (d *Directory) MergeExcerpt(x Excerpt) Listing {
	covered := x.covers()
	own := d.listed(func(e *entry) bool { return !covered(e) })
	return Listing{Replicas: append(own, x.Replicas...), Evacuated: x.Evacuated, Rollouts: x.Rollouts}
}

// covers returns a function that reports whether an entry belongs to a part in the excerpt.
func (x *Excerpt) covers() func(*entry) bool {
	differ := make([]bool, x.PartCount)
	for _, part := range x.DifferingParts {
		if int(part) < len(differ) {
			differ[part] = true
		}
	}
	return func(e *entry) bool { return len(differ) > 0 && differ[e.partIndex(len(differ))] }
}

// ApplyExcerpt is Apply for a read that differs from the last one in the parts of an
// excerpt only. Its cost grows with the excerpt, and little with the list.
func (d *Directory) ApplyExcerpt(x Excerpt, sent time.Time) []Change {
	if len(d.unconfirmed) > 0 || d.holdsFacts(sent) {
		// Both need the whole list.
		return d.Apply(d.MergeExcerpt(x), sent)
	}
	if sent.Before(d.readTime) {
		return nil
	}
	d.heldFacts = heldFacts{}
	changes := d.applyReplicas(x.Replicas, sent, d.missing(x.Replicas, x.covers()))
	changes = append(d.applyEvacuations(x.Evacuated), changes...)
	return append(changes, d.applyRollouts(x.Rollouts)...)
}
