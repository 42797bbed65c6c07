package directory

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// cold returns a replica whose entry, of the given revision, says how long it stays cold.
func cold(id string, entry uint64, left time.Duration) Replica {
	return Replica{ID: id, Service: "s", Address: id + ":1", DataCentre: "north", Entry: entry, Cold: left > 0, ColdLeft: left}
}

// roundTrip returns a listing as another router receives it.
func roundTrip(t *testing.T, l Listing) Listing {
	t.Helper()
	text, err := json.Marshal(l)
	require.NoError(t, err)
	var out Listing
	require.NoError(t, json.Unmarshal(text, &out))
	return out
}

func TestColdTimeRunsFromTheRead(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		reads []Replica
		what  []ChangeKind
		until []float64
	}{
		"the entry stays as it is":       {[]Replica{cold("a", 1, 3*second), cold("a", 1, 3*second)}, []ChangeKind{Joined, ""}, []float64{3, 3}},
		"the entry counts down":          {[]Replica{cold("a", 1, 3*second), cold("a", 2, 1900*time.Millisecond)}, []ChangeKind{Joined, ""}, []float64{3, 3}},
		"the entry says that it is warm": {[]Replica{cold("a", 1, 3*second), cold("a", 2, 0)}, []ChangeKind{Joined, TurnedWarm}, []float64{3, 0}},
		"a warm one turns cold":          {[]Replica{cold("a", 1, 0), cold("a", 2, 3*second)}, []ChangeKind{Joined, TurnedCold}, []float64{0, 4}},
		"a cold one turns cold again":    {[]Replica{cold("a", 1, 2*second), cold("a", 2, 3*second)}, []ChangeKind{Joined, TurnedCold}, []float64{2, 4}},
		"it drains and is warm":          {[]Replica{cold("a", 1, 3*second), {ID: "a", State: Draining, Entry: 2}}, []ChangeKind{Joined, DrainStarted}, []float64{3, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			d := New(9*second, 2*second)
			for i, r := range c.reads {
				assert.Equal(t, c.what[i], changes(d.Replace([]Replica{r}, at(float64(i))))["a"])
				until := d.List()[0].ColdUntil
				if c.until[i] == 0 {
					assert.Zero(t, until)
					continue
				}
				assert.Equal(t, at(c.until[i]), until)
			}
		})
	}
}

func TestHashIgnoresRemainingColdTime(t *testing.T) {
	d := New(9*time.Second, 2*time.Second)
	d.Replace([]Replica{cold("a", 1, 3*time.Second)}, at(0))
	fresh := d.Hash(HashWithStarts)
	d.Replace([]Replica{cold("a", 2, 1900*time.Millisecond)}, at(1))
	assert.Equal(t, fresh, d.Hash(HashWithStarts))
	d.Confirm(at(2))
	assert.Equal(t, fresh, d.Hash(HashWithStarts))
	d.Replace([]Replica{cold("a", 3, 0)}, at(3))
	assert.NotEqual(t, fresh, d.Hash(HashWithStarts), "becoming warm changes the hash")
}

func TestListingHasRemainingColdTimeAtTheRead(t *testing.T) {
	first, second := New(9*time.Second, 2*time.Second), New(9*time.Second, 2*time.Second)
	first.Replace([]Replica{cold("a", 1, 3*time.Second)}, at(0))
	first.Confirm(at(1))
	// The routers' clocks differ: what was read at 1 here was read at 501 there.
	second.Apply(roundTrip(t, first.Listing()), at(501))
	assert.Equal(t, at(503), second.List()[0].ColdUntil)
	assert.Equal(t, first.Hash(HashWithStarts), second.Hash(HashWithStarts))
	first.Confirm(at(4))
	third := New(9*time.Second, 2*time.Second)
	third.Apply(roundTrip(t, first.Listing()), at(504))
	assert.Zero(t, third.List()[0].ColdUntil, "the cold time is over")
	assert.Equal(t, first.Hash(HashWithStarts), third.Hash(HashWithStarts), "the entry still says cold, so both lists are equal")
}

func TestDataCentreEvacuationStartsAndEnds(t *testing.T) {
	centres := func(list []Change) map[string]ChangeKind {
		out := make(map[string]ChangeKind)
		for _, c := range list {
			if c.DataCentre != "" {
				out[c.DataCentre] = c.Kind
			}
		}
		return out
	}
	d := New(9*time.Second, 2*time.Second)
	list := []Replica{cold("a", 1, 0), {ID: "b", Service: "s", DataCentre: "south"}}
	d.Apply(Listing{Replicas: list}, at(0))
	before := d.Hash(HashWithStarts)
	assert.Equal(t, map[string]ChangeKind{"north": Evacuated}, centres(d.Apply(Listing{Replicas: list, Evacuated: []string{"north"}}, at(1))))
	assert.NotEqual(t, before, d.Hash(HashWithStarts))
	assert.True(t, d.List()[0].Evacuated)
	assert.False(t, d.List()[1].Evacuated)

	assert.Empty(t, d.Confirm(at(2)))
	assert.Empty(t, d.Apply(Listing{Replicas: list, Evacuated: nil}, at(1.5)), "an older read is ignored")
	assert.Equal(t, []string{"north"}, d.Listing().Evacuated)
	joined := append(list, Replica{ID: "c", DataCentre: "north"})
	assert.Empty(t, centres(d.Apply(Listing{Replicas: joined, Evacuated: []string{"north", "north"}}, at(3))))
	assert.True(t, d.List()[2].Evacuated, "a replica that joins the data centre is evacuated as well")

	other := New(9*time.Second, 2*time.Second)
	assert.Equal(t, map[string]ChangeKind{"north": Evacuated}, centres(other.Apply(roundTrip(t, d.Listing()), at(3))))
	assert.Equal(t, d.Hash(HashWithStarts), other.Hash(HashWithStarts))

	assert.Equal(t, map[string]ChangeKind{"north": EvacuationEnded}, centres(d.Apply(Listing{Replicas: list, Evacuated: nil}, at(4))))
	assert.Equal(t, before, d.Hash(HashWithStarts))
	assert.False(t, d.List()[0].Evacuated)
}

func TestReplicasAreColdAfterAnEvacuationUntilRewritten(t *testing.T) {
	d := New(9*time.Second, 2*time.Second)
	list := []Replica{cold("a", 1, 0), cold("b", 1, 0), cold("c", 1, 0), {ID: "d", DataCentre: "south"}}
	d.Apply(Listing{Replicas: list, Evacuated: []string{"north"}}, at(0))
	list[1] = cold("b", 2, 3*time.Second)
	d.Apply(Listing{Replicas: list, Evacuated: nil}, at(1))
	assert.Equal(t, at(3), d.List()[0].ColdUntil)
	assert.Equal(t, at(4), d.List()[1].ColdUntil, "its entry says longer")
	assert.Zero(t, d.List()[3].ColdUntil)
	list[0], list[2] = cold("a", 2, 3*time.Second), cold("c", 2, 0)
	d.Apply(Listing{Replicas: list, Evacuated: nil}, at(2))
	assert.Equal(t, at(5), d.List()[0].ColdUntil, "cold by its entry")
	assert.Zero(t, d.List()[2].ColdUntil, "warm by its entry")
}
