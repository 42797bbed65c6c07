package directory

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// newTestDirectory returns a directory with a grace period of 2 s, so that facts apply
// for 4 s.
func newTestDirectory(list []Replica) *Directory {
	d := New(3*time.Second, 2*time.Second)
	d.Replace(list, at(0))
	return d
}

func modified(list []Replica, id string, change func(*Replica)) []Replica {
	list = slices.Clone(list)
	for i := range list {
		if list[i].ID == id {
			change(&list[i])
		}
	}
	return list
}

func setDraining(r *Replica) { r.State = Draining }

func withBorn(ms int64) func(*Replica) { return func(r *Replica) { r.Born = ms } }

func TestFactsOverrideARestoredList(t *testing.T) {
	copied := modified(ready("a", "b", "c"), "a", withBorn(100))
	tests := map[string]struct {
		// before are the lists that are read before the restore, a second apart.
		before [][]Replica
		copied []Replica
		// sends are the replicas that receive work by the restored list, after those that
		// do by the same list once the hold period is over.
		sends, after []string
	}{
		"nothing was known":          {[][]Replica{copied}, copied, []string{"a", "b", "c"}, []string{"a", "b", "c"}},
		"one drains":                 {[][]Replica{modified(copied, "a", setDraining)}, copied, []string{"b", "c"}, []string{"a", "b", "c"}},
		"one left":                   {[][]Replica{copied[1:]}, copied, []string{"b", "c"}, []string{"a", "b", "c"}},
		"one drained and left":       {[][]Replica{modified(copied, "a", setDraining), copied[1:]}, copied, []string{"b", "c"}, []string{"a", "b", "c"}},
		"one left and started again": {[][]Replica{copied[1:]}, modified(copied, "a", withBorn(200)), []string{"a", "b", "c"}, []string{"a", "b", "c"}},
		"one drained, started again": {[][]Replica{modified(copied, "a", setDraining)}, modified(copied, "a", withBorn(200)), []string{"a", "b", "c"}, []string{"a", "b", "c"}},
		"an earlier start is listed": {[][]Replica{modified(copied, "a", setDraining)}, modified(copied, "a", withBorn(50)), []string{"b", "c"}, []string{"a", "b", "c"}},
		"one joined since":           {[][]Replica{append(ready("new"), copied...)}, copied, []string{"a", "b", "c", "new"}, []string{"a", "b", "c"}},
		"all joined since":           {[][]Replica{append(ready("new"), copied...)}, nil, []string{"a", "b", "c", "new"}, nil},
		"one joined, and drains":     {[][]Replica{append(modified(ready("new"), "new", setDraining), copied...)}, copied, []string{"a", "b", "c"}, []string{"a", "b", "c"}},
		"its address is reused":      {[][]Replica{{{ID: "a", Service: "s", Address: "x"}}}, []Replica{{ID: "b", Service: "t", Address: "x"}}, []string{"b"}, []string{"b"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newTestDirectory(copied)
			for n, list := range test.before {
				d.Replace(list, at(float64(n+1)))
			}
			d.NoteRewind(at(5), d.HoldPeriod())
			for _, second := range []float64{5, 6, 6.9} {
				d.Replace(test.copied, at(second))
				assert.Equal(t, test.sends, readyIDs(d), "at %g s", second)
			}
			d.Replace(test.copied, at(9.5))
			assert.Equal(t, test.after, readyIDs(d), "after the hold period")
		})
	}
}

// readyIDs returns the replicas that receive work.
func readyIDs(d *Directory) []string {
	var ids []string
	for _, r := range d.List() {
		if d.Ready(r.ID) {
			ids = append(ids, r.ID)
		}
	}
	return ids
}

func TestEvacuationOverridesARestoredList(t *testing.T) {
	north := modified(ready("a", "b"), "a", func(r *Replica) { r.DataCentre = "north" })
	read := func(d *Directory, second float64, evacuated ...string) []string {
		d.Apply(Listing{Replicas: north, Evacuated: evacuated}, at(second))
		return readyIDs(d)
	}
	d := newTestDirectory(north)
	assert.Equal(t, []string{"b"}, read(d, 1, "north"))
	d.NoteRewind(at(2), d.HoldPeriod())
	assert.Equal(t, []string{"b"}, read(d, 2), "the restored list lacks the evacuation")
	assert.Equal(t, []string{"b"}, read(d, 5.9))
	assert.Equal(t, []string{"a", "b"}, read(d, 6), "the evacuation has ended")

	d = newTestDirectory(north)
	read(d, 1, "north")
	assert.Equal(t, []string{"a", "b"}, read(d, 2))
	d.NoteRewind(at(3), d.HoldPeriod())
	assert.Equal(t, []string{"b"}, read(d, 3, "north"), "the restored list has an ended evacuation, which may have been requested again")
	assert.Equal(t, []string{"a", "b"}, read(d, 4))
}

// A restart discards what the replica holds, so an earlier sequence number in a restored
// list must not count as one.
func TestEarlierSequenceInARestoredListIsNoRestart(t *testing.T) {
	counted := func(n uint64) []Replica { return modified(ready("a"), "a", func(r *Replica) { r.NextSequence = n }) }
	d := newTestDirectory(counted(50))
	d.NoteRewind(at(1), d.HoldPeriod())
	assert.Empty(t, d.Replace(counted(40), at(1)))
	assert.Empty(t, d.Replace(counted(51), at(2)), "it has written again")
	assert.Equal(t, map[string]ChangeKind{"a": Restarted}, changes(d.Replace(counted(3), at(6))))
}

func TestRestoredListDoesNotEndCold(t *testing.T) {
	cold := modified(ready("a"), "a", func(r *Replica) { r.Cold, r.ColdLeft, r.Entry = true, 8*time.Second, 7 })
	warm := modified(ready("a"), "a", func(r *Replica) { r.Entry = 3 })
	d := newTestDirectory(cold)
	d.NoteRewind(at(1), d.HoldPeriod())
	d.Replace(warm, at(1))
	assert.Equal(t, at(8), d.List()[0].ColdUntil)
	d.Replace(warm, at(2))
	assert.Equal(t, at(8), d.List()[0].ColdUntil)
}

// A router that started after the restore, and read the restored list first, applies the
// facts of the others.
func TestAppliedFactsMakeListsEqual(t *testing.T) {
	copied := modified(ready("a", "b", "c", "d"), "d", func(r *Replica) { r.DataCentre = "north" })
	knew := newTestDirectory(copied)
	knew.Apply(Listing{Replicas: modified(copied[1:], "b", setDraining), Evacuated: []string{"north"}}, at(1))
	knew.NoteRewind(at(2), knew.HoldPeriod())
	knew.Replace(copied, at(2))
	fresh := newTestDirectory(nil)
	fresh.Apply(Listing{Replicas: copied}, at(2.1))
	assert.Equal(t, []string{"a", "b", "c", "d"}, readyIDs(fresh))

	_, held := fresh.Facts(at(2.2))
	assert.False(t, held)
	assert.Zero(t, fresh.FactsHash(at(2.2)))
	facts, held := knew.Facts(at(2.2))
	assert.True(t, held)
	fresh.ApplyFacts(facts, at(2.2))
	assert.Equal(t, []string{"c"}, readyIDs(fresh), "immediately")
	assert.Equal(t, knew.Hash(HashWithStarts), fresh.Hash(HashWithStarts))
	assert.Equal(t, knew.FactsHash(at(2.3)), fresh.FactsHash(at(2.3)))
	fresh.Apply(Listing{Replicas: copied}, at(3))
	assert.Equal(t, []string{"c"}, readyIDs(fresh), "its own reads do not override the facts")
	assert.Empty(t, fresh.ApplyFacts(facts, at(3.1)), "known facts change nothing")
	fresh.Apply(Listing{Replicas: copied}, at(7.2))
	assert.Equal(t, []string{"a", "b", "c", "d"}, readyIDs(fresh), "the hold ends with that of the sender, plus the transit time")
	assert.Zero(t, fresh.FactsHash(at(7.2)))
}

func TestFactsOfTwoRoutersAreMerged(t *testing.T) {
	list := modified(ready("a", "b", "c", "d", "e"), "a", withBorn(5))
	one, two := newTestDirectory(list), newTestDirectory(list)
	one.Replace(modified(list, "a", setDraining), at(1))
	two.Replace(list[2:], at(1))
	for _, d := range []*Directory{one, two} {
		d.NoteRewind(at(2), d.HoldPeriod())
		d.Replace(list, at(2))
	}
	ones, _ := one.Facts(at(2))
	twos, _ := two.Facts(at(2))
	one.ApplyFacts(twos, at(2))
	two.ApplyFacts(ones, at(2))
	assert.Equal(t, []string{"c", "d", "e"}, readyIDs(one))
	assert.Equal(t, []string{"c", "d", "e"}, readyIDs(two))
	assert.Equal(t, one.FactsHash(at(3)), two.FactsHash(at(3)))
	assert.NotZero(t, one.FactsHash(at(3)))
}

// One router knows that a replica drains and another that it is gone. They must exchange
// facts to hold the same.
func TestGoneOverridesDrainingInFacts(t *testing.T) {
	list := ready("a", "b", "c")
	drained, left := newTestDirectory(list), newTestDirectory(list)
	drained.Replace(modified(list, "a", setDraining), at(1))
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

func TestOldDeparturesArePruned(t *testing.T) {
	d := newTestDirectory(ready("a", "b"))
	d.Replace(ready("b"), at(1))
	d.Replace(ready("b"), at(40))
	d.NoteRewind(at(40), d.HoldPeriod())
	d.Replace(ready("a", "b"), at(40))
	assert.Equal(t, []string{"a", "b"}, readyIDs(d))

	d = newTestDirectory(ready("b"))
	for n := range 2 * maxDepartures {
		d.Replace(ready("b", fmt.Sprint("x", n)), at(float64(n)/1000))
		d.Replace(ready("b"), at(float64(n)/1000))
	}
	assert.LessOrEqual(t, len(d.departures), maxDepartures)
	assert.Contains(t, d.departures, fmt.Sprint("x", 2*maxDepartures-1), "the latest departures are kept")
}

func TestWithdrawnDrainIsAChange(t *testing.T) {
	d := newTestDirectory(modified(ready("a"), "a", setDraining))
	assert.Equal(t, map[string]ChangeKind{"a": ListedAgain}, changes(d.Replace(ready("a"), at(1))))
}
