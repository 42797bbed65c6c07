package directory

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// grace of the tests is 2 s, so facts hold for 4 s.
func newRewound(list []Replica) *Directory {
	d := New(3*time.Second, 2*time.Second)
	d.Replace(list, at(0))
	return d
}

func with(list []Replica, id string, change func(*Replica)) []Replica {
	list = slices.Clone(list)
	for i := range list {
		if list[i].ID == id {
			change(&list[i])
		}
	}
	return list
}

func drains(r *Replica) { r.State = Draining }

func born(ms int64) func(*Replica) { return func(r *Replica) { r.Born = ms } }

func TestWhatWasKnownHoldsAgainstACopy(t *testing.T) {
	copied := with(ready("a", "b", "c"), "a", born(100))
	tests := map[string]struct {
		// before are the lists that are read before the copy, a second apart.
		before [][]Replica
		copied []Replica
		// sends is who gets work by the copy, after by the same list once the hold is over.
		sends, after []string
	}{
		"nothing was known":           {[][]Replica{copied}, copied, []string{"a", "b", "c"}, []string{"a", "b", "c"}},
		"one drains":                  {[][]Replica{with(copied, "a", drains)}, copied, []string{"b", "c"}, []string{"a", "b", "c"}},
		"one left":                    {[][]Replica{copied[1:]}, copied, []string{"b", "c"}, []string{"a", "b", "c"}},
		"one drained and left":        {[][]Replica{with(copied, "a", drains), copied[1:]}, copied, []string{"b", "c"}, []string{"a", "b", "c"}},
		"one left and started again":  {[][]Replica{copied[1:]}, with(copied, "a", born(200)), []string{"a", "b", "c"}, []string{"a", "b", "c"}},
		"one drained, started again":  {[][]Replica{with(copied, "a", drains)}, with(copied, "a", born(200)), []string{"a", "b", "c"}, []string{"a", "b", "c"}},
		"an earlier start is listed":  {[][]Replica{with(copied, "a", drains)}, with(copied, "a", born(50)), []string{"b", "c"}, []string{"a", "b", "c"}},
		"one joined since":            {[][]Replica{append(ready("new"), copied...)}, copied, []string{"a", "b", "c", "new"}, []string{"a", "b", "c"}},
		"all joined since":            {[][]Replica{append(ready("new"), copied...)}, nil, []string{"a", "b", "c", "new"}, nil},
		"one joined, and drains":      {[][]Replica{append(with(ready("new"), "new", drains), copied...)}, copied, []string{"a", "b", "c"}, []string{"a", "b", "c"}},
		"its address has another now": {[][]Replica{{{ID: "a", Service: "s", Address: "x"}}}, []Replica{{ID: "b", Service: "t", Address: "x"}}, []string{"b"}, []string{"b"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newRewound(copied)
			for n, list := range test.before {
				d.Replace(list, at(float64(n+1)))
			}
			d.NoteRewind(at(5), d.HoldPeriod())
			for _, second := range []float64{5, 6, 6.9} {
				d.Replace(test.copied, at(second))
				assert.Equal(t, test.sends, sends(d), "at %g s", second)
			}
			d.Replace(test.copied, at(9.5))
			assert.Equal(t, test.after, sends(d), "when the hold is over")
		})
	}
}

// sends is who gets work.
func sends(d *Directory) []string {
	var ids []string
	for _, r := range d.List() {
		if d.Ready(r.ID) {
			ids = append(ids, r.ID)
		}
	}
	return ids
}

func TestAnEvacuationHoldsAgainstACopy(t *testing.T) {
	north := with(ready("a", "b"), "a", func(r *Replica) { r.DataCentre = "north" })
	read := func(d *Directory, second float64, evacuated ...string) []string {
		d.Apply(Listing{Replicas: north, Evacuated: evacuated}, at(second))
		return sends(d)
	}
	d := newRewound(north)
	assert.Equal(t, []string{"b"}, read(d, 1, "north"))
	d.NoteRewind(at(2), d.HoldPeriod())
	assert.Equal(t, []string{"b"}, read(d, 2), "the copy lacks it")
	assert.Equal(t, []string{"b"}, read(d, 5.9))
	assert.Equal(t, []string{"a", "b"}, read(d, 6), "it was taken back")

	d = newRewound(north)
	read(d, 1, "north")
	assert.Equal(t, []string{"a", "b"}, read(d, 2))
	d.NoteRewind(at(3), d.HoldPeriod())
	assert.Equal(t, []string{"b"}, read(d, 3, "north"), "the copy has one that was taken back: it may be asked for again")
	assert.Equal(t, []string{"a", "b"}, read(d, 4))
}

// An earlier count in a copy is no start: a start forgets what a replica holds.
func TestACopyIsNoStart(t *testing.T) {
	counted := func(n uint64) []Replica { return with(ready("a"), "a", func(r *Replica) { r.NextSequence = n }) }
	d := newRewound(counted(50))
	d.NoteRewind(at(1), d.HoldPeriod())
	assert.Empty(t, d.Replace(counted(40), at(1)))
	assert.Empty(t, d.Replace(counted(51), at(2)), "it has written again")
	assert.Equal(t, map[string]ChangeKind{"a": Restarted}, changes(d.Replace(counted(3), at(6))))
}

func TestACopyOfBeforeItTurnedColdDoesNotWarm(t *testing.T) {
	cold := with(ready("a"), "a", func(r *Replica) { r.Cold, r.ColdLeft, r.Entry = true, 8*time.Second, 7 })
	warm := with(ready("a"), "a", func(r *Replica) { r.Entry = 3 })
	d := newRewound(cold)
	d.NoteRewind(at(1), d.HoldPeriod())
	d.Replace(warm, at(1))
	assert.Equal(t, at(8), d.List()[0].ColdUntil)
	d.Replace(warm, at(2))
	assert.Equal(t, at(8), d.List()[0].ColdUntil)
}

// A router that started after the copy read it first, and heeds what others knew.
func TestFactsMakeOneListOfTwo(t *testing.T) {
	copied := with(ready("a", "b", "c", "d"), "d", func(r *Replica) { r.DataCentre = "north" })
	knew := newRewound(copied)
	knew.Apply(Listing{Replicas: with(copied[1:], "b", drains), Evacuated: []string{"north"}}, at(1))
	knew.NoteRewind(at(2), knew.HoldPeriod())
	knew.Replace(copied, at(2))
	fresh := newRewound(nil)
	fresh.Apply(Listing{Replicas: copied}, at(2.1))
	assert.Equal(t, []string{"a", "b", "c", "d"}, sends(fresh))

	_, held := fresh.Facts(at(2.2))
	assert.False(t, held)
	assert.Zero(t, fresh.FactsHash(at(2.2)))
	facts, held := knew.Facts(at(2.2))
	assert.True(t, held)
	fresh.ApplyFacts(facts, at(2.2))
	assert.Equal(t, []string{"c"}, sends(fresh), "at once")
	assert.Equal(t, knew.Hash(HashWithStarts), fresh.Hash(HashWithStarts))
	assert.Equal(t, knew.FactsHash(at(2.3)), fresh.FactsHash(at(2.3)))
	fresh.Apply(Listing{Replicas: copied}, at(3))
	assert.Equal(t, []string{"c"}, sends(fresh), "its own reads change nothing")
	assert.Empty(t, fresh.ApplyFacts(facts, at(3.1)), "what is known is no news")
	fresh.Apply(Listing{Replicas: copied}, at(7.2))
	assert.Equal(t, []string{"a", "b", "c", "d"}, sends(fresh), "no longer than theirs, but for the way")
	assert.Zero(t, fresh.FactsHash(at(7.2)))
}

func TestFactsOfTwoAreJoined(t *testing.T) {
	list := with(ready("a", "b", "c", "d", "e"), "a", born(5))
	one, two := newRewound(list), newRewound(list)
	one.Replace(with(list, "a", drains), at(1))
	two.Replace(list[2:], at(1))
	for _, d := range []*Directory{one, two} {
		d.NoteRewind(at(2), d.HoldPeriod())
		d.Replace(list, at(2))
	}
	ones, _ := one.Facts(at(2))
	twos, _ := two.Facts(at(2))
	one.ApplyFacts(twos, at(2))
	two.ApplyFacts(ones, at(2))
	assert.Equal(t, []string{"c", "d", "e"}, sends(one))
	assert.Equal(t, []string{"c", "d", "e"}, sends(two))
	assert.Equal(t, one.FactsHash(at(3)), two.FactsHash(at(3)))
	assert.NotZero(t, one.FactsHash(at(3)))
}

// Two who know of one replica that it drains, and that it is gone, have to hear each other.
func TestThatItIsGoneIsMoreThanThatItDrains(t *testing.T) {
	list := ready("a", "b", "c")
	drained, left := newRewound(list), newRewound(list)
	drained.Replace(with(list, "a", drains), at(1))
	left.Replace(list[1:], at(1))
	for _, d := range []*Directory{drained, left} {
		d.NoteRewind(at(2), d.HoldPeriod())
		d.Replace(list, at(2))
	}
	assert.NotEqual(t, drained.FactsHash(at(2)), left.FactsHash(at(2)))
	facts, _ := left.Facts(at(2))
	drained.ApplyFacts(facts, at(2))
	assert.Equal(t, left.FactsHash(at(2)), drained.FactsHash(at(2)))
	assert.Equal(t, left.Hash(HashWithStarts), drained.Hash(HashWithStarts))
}

func TestWhoLeftLongAgoIsForgotten(t *testing.T) {
	d := newRewound(ready("a", "b"))
	d.Replace(ready("b"), at(1))
	d.Replace(ready("b"), at(40))
	d.NoteRewind(at(40), d.HoldPeriod())
	d.Replace(ready("a", "b"), at(40))
	assert.Equal(t, []string{"a", "b"}, sends(d))

	d = newRewound(ready("b"))
	for n := range 2 * maxDepartures {
		d.Replace(ready("b", fmt.Sprint("x", n)), at(float64(n)/1000))
		d.Replace(ready("b"), at(float64(n)/1000))
	}
	assert.LessOrEqual(t, len(d.departures), maxDepartures)
	assert.Contains(t, d.departures, fmt.Sprint("x", 2*maxDepartures-1), "the last are kept")
}

func TestADrainThatIsTakenBackIsAChange(t *testing.T) {
	d := newRewound(with(ready("a"), "a", drains))
	assert.Equal(t, map[string]ChangeKind{"a": ListedAgain}, changes(d.Replace(ready("a"), at(1))))
}
