package directory

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// manyReplicas returns n replicas spread over five data centres.
func manyReplicas(n int) []Replica {
	list := make([]Replica, n)
	for i := range list {
		list[i] = Replica{ID: fmt.Sprintf("i-%d", i), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:1", i/256, i%256), DataCentre: fmt.Sprint(i % 5), Slots: 32, Entry: uint64(i)}
	}
	return list
}

// changeRandomly returns a list with random entries removed, draining, cold or added.
func changeRandomly(list []Replica, changes int, random *rand.Rand) []Replica {
	out := append([]Replica(nil), list...)
	for i := range changes {
		if len(out) == 0 {
			break
		}
		at := random.IntN(len(out))
		switch random.IntN(4) {
		case 0:
			out = append(out[:at], out[at+1:]...)
		case 1:
			out[at].State = Draining
		case 2:
			out[at].Cold, out[at].ColdLeft, out[at].Entry = true, time.Second, out[at].Entry+1
		default:
			out = append(out, Replica{ID: fmt.Sprintf("new-%d-%d", random.Uint32(), i), Service: "s", Address: "10.9.9.9:1"})
		}
	}
	return out
}

func TestMergedExcerptReproducesTheList(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, size := range []int{0, 1, 30, 240, 3000} {
		for _, changes := range []int{0, 1, 10, size} {
			theirs, mine := New(time.Hour, time.Hour), New(time.Hour, time.Hour)
			list := manyReplicas(size)
			theirs.Apply(Listing{Replicas: list}, at(0))
			mine.Apply(Listing{Replicas: changeRandomly(list, changes, random), Evacuated: []string{"2"}}, at(1))
			excerpt := mine.Excerpt(HashWithStarts, theirs.PartHashes(HashWithStarts))
			assert.LessOrEqual(t, len(excerpt.DifferingParts), changes, "%d of %d", changes, size)
			theirs.Apply(theirs.MergeExcerpt(excerpt), at(1))
			assert.Equal(t, mine.Hash(HashWithStarts), theirs.Hash(HashWithStarts), "%d of %d", changes, size)
			assert.Equal(t, mine.PartHashes(HashWithStarts), theirs.PartHashes(HashWithStarts))
			assert.True(t, slices.Equal(mine.List(), theirs.List()), "%d of %d", changes, size)
		}
	}
}

// A rewritten entry may say that the replica stays cold for longer. This does not change
// the list's hash, so the next excerpt has to include it.
func TestExcerptIncludesRewrittenColdEntries(t *testing.T) {
	cold := ready("a", "b")
	cold[0].Cold, cold[0].ColdLeft = true, time.Second
	theirs, mine := New(time.Hour, time.Hour), New(time.Hour, time.Hour)
	theirs.Replace(cold, at(0))
	cold[0].Entry, cold[0].ColdLeft = 1, time.Minute
	mine.Replace(cold, at(0))
	assert.Equal(t, mine.Hash(HashWithStarts), theirs.Hash(HashWithStarts))
	theirs.Apply(theirs.MergeExcerpt(mine.Excerpt(HashWithStarts, theirs.PartHashes(HashWithStarts))), at(0))
	assert.Equal(t, at(60), theirs.List()[0].ColdUntil)
}

// Unconfirmed replicas are not passed on, and applying an excerpt does not drop them.
func TestExcerptOmitsUnconfirmedReplicas(t *testing.T) {
	theirs, mine := New(time.Second, time.Minute), New(time.Second, time.Minute)
	mine.Replace(ready("a", "b", "c"), at(0))
	theirs.Replace(ready("a", "b", "c"), at(0))
	mine.Replace(nil, at(10))
	theirs.Replace(nil, at(10))
	assert.Empty(t, mine.Excerpt(HashWithStarts, theirs.PartHashes(HashWithStarts)).DifferingParts)
	mine.Replace(ready("b"), at(11))
	theirs.Apply(theirs.MergeExcerpt(mine.Excerpt(HashWithStarts, theirs.PartHashes(HashWithStarts))), at(11))
	assert.Equal(t, mine.List(), theirs.List())
	assert.Len(t, theirs.List(), 3)
}

// A damaged excerpt names parts that do not exist.
func TestMergeExcerptIgnoresInvalidParts(t *testing.T) {
	d := New(time.Hour, time.Hour)
	d.Replace(ready("a"), at(0))
	assert.Equal(t, d.Listing(), d.MergeExcerpt(Excerpt{PartCount: 2, DifferingParts: []uint32{7}}))
	assert.Equal(t, d.Listing(), d.MergeExcerpt(Excerpt{}))
}

// A build without start times hashes the same list in another format.
func TestHashFormats(t *testing.T) {
	born := make([]Replica, 0, 40)
	for n := range 40 {
		born = append(born, Replica{ID: fmt.Sprint("i-", n), Service: "s", Address: fmt.Sprint(n, ":1"), Born: int64(n + 1)})
	}
	plain := slices.Clone(born)
	for i := range plain {
		plain[i].Born = 0
	}
	newer, old := New(time.Hour, time.Hour), New(time.Hour, time.Hour)
	newer.Replace(born, at(0))
	old.Replace(plain, at(0))
	assert.Equal(t, old.Hash(HashWithStarts), newer.Hash(HashPlain))
	assert.NotEqual(t, old.Hash(HashWithStarts), newer.Hash(HashWithStarts))
	assert.Equal(t, HashPlain, newer.DetectHashFormat(old.PartHashes(HashWithStarts)))
	assert.Equal(t, HashWithStarts, newer.DetectHashFormat(newer.PartHashes(HashWithStarts)))
	assert.Empty(t, newer.Excerpt(HashPlain, old.PartHashes(HashWithStarts)).DifferingParts)

	plain[3].State = Draining
	old.Replace(plain, at(1))
	assert.Equal(t, HashPlain, newer.DetectHashFormat(old.PartHashes(HashWithStarts)), "also if a part differs")
	assert.Len(t, newer.Excerpt(HashPlain, old.PartHashes(HashWithStarts)).DifferingParts, 1)
	newer.Apply(newer.FillUnknown(old.Listing()), at(1))
	assert.Equal(t, old.Hash(HashPlain), newer.Hash(HashPlain))
	assert.EqualValues(t, 4, newer.List()[slices.IndexFunc(newer.List(), func(r Replica) bool { return r.ID == "i-3" })].Born, "the start time that the other list lacks is kept")
}
