package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Each case reads consecutive entries of one replica, a second apart, and compares the
// changes.
func TestReplicaRestartsAndInvalidEntries(t *testing.T) {
	const grace = 2500 * time.Millisecond
	entry := func(born int64, counted uint64, state State) Replica {
		r := Replica{ID: "a", Service: "s", Address: "10.0.0.1:1", State: state, Born: born, NextSequence: counted}
		if state == Unusable {
			r = Replica{ID: "a", State: Unusable}
		}
		return r
	}
	tests := map[string]struct {
		entries []Replica
		want    []ChangeKind
	}{
		"a later start":                                     {[]Replica{entry(1000, 0, Ready), entry(1000, 0, Ready), entry(2000, 0, Ready)}, []ChangeKind{Joined, "", Restarted}},
		"an older start that arrives late":                  {[]Replica{entry(2000, 0, Ready), entry(1000, 0, Ready), entry(2000, 0, Ready)}, []ChangeKind{Joined, "", ""}},
		"its clock was set back":                            {[]Replica{entry(2000, 0, Ready), entry(1000, 0, Ready), entry(1000, 0, Ready), entry(1000, 0, Ready), entry(1000, 0, Ready)}, []ChangeKind{Joined, "", "", "", Restarted}},
		"an older start that drains":                        {[]Replica{entry(2000, 0, Ready), entry(1000, 0, Draining)}, []ChangeKind{Joined, DrainStarted}},
		"an older start drains, then the later start":       {[]Replica{entry(2000, 0, Ready), entry(1000, 0, Draining), entry(2000, 0, Ready)}, []ChangeKind{Joined, DrainStarted, ListedAgain}},
		"the clock was set back, then it drains":            {[]Replica{entry(2000, 0, Ready), entry(1000, 0, Ready), entry(1000, 0, Draining)}, []ChangeKind{Joined, "", DrainStarted}},
		"a start time is added":                             {[]Replica{entry(0, 5, Ready), entry(1000, 6, Ready)}, []ChangeKind{Joined, ""}},
		"the sequence restarts":                             {[]Replica{entry(0, 5, Ready), entry(0, 1, Ready), entry(0, 2, Ready)}, []ChangeKind{Joined, Restarted, ""}},
		"the sequence restarts, first without a number":     {[]Replica{entry(0, 5, Ready), entry(0, 0, Ready), entry(0, 1, Ready)}, []ChangeKind{Joined, "", Restarted}},
		"the start time takes precedence over the sequence": {[]Replica{entry(1000, 5, Ready), entry(1000, 1, Ready)}, []ChangeKind{Joined, ""}},
		"invalidated and rewritten":                         {[]Replica{entry(1000, 5, Ready), entry(0, 0, Unusable), entry(0, 0, Unusable), entry(1000, 6, Ready)}, []ChangeKind{Joined, EntryInvalidated, "", EntryUsableAgain}},
		"restarted behind an unusable entry":                {[]Replica{entry(1000, 5, Ready), entry(0, 0, Unusable), entry(2000, 1, Ready)}, []ChangeKind{Joined, EntryInvalidated, Restarted}},
		"unusable from the first read":                      {[]Replica{entry(0, 0, Unusable), entry(1000, 1, Ready)}, []ChangeKind{EntryInvalidated, EntryUsableAgain}},
		"draining again after a restart":                    {[]Replica{entry(1000, 1, Draining), entry(2000, 1, Ready), entry(2000, 2, Draining)}, []ChangeKind{Joined, Restarted, DrainStarted}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := New(time.Hour, grace)
			begin := time.Now()
			var got []ChangeKind
			for n, r := range test.entries {
				what := ChangeKind("")
				for _, c := range d.Replace([]Replica{r}, begin.Add(time.Duration(n)*time.Second)) {
					what = c.Kind
				}
				got = append(got, what)

			}
			assert.Equal(t, test.want, got)
			last := test.entries[len(test.entries)-1]
			assert.Equal(t, last.State == Ready, d.Ready("a"))
		})
	}
}

// If all entries of a service are overwritten at once, the list has not lost them.
func TestUnusableEntriesAreNeitherReadyNorUnconfirmed(t *testing.T) {
	begin := time.Now()
	d := New(time.Hour, time.Hour)
	var good, bad []Replica
	for _, id := range []string{"a", "b", "c"} {
		good = append(good, Replica{ID: id, Service: "s", Address: id + ":1"})
		bad = append(bad, Replica{ID: id, State: Unusable})
	}
	d.Replace(good, begin)
	d.Replace(bad, begin.Add(time.Second))
	for _, id := range []string{"a", "b", "c"} {
		assert.False(t, d.Ready(id))
	}
	assert.Empty(t, d.NotListedSince(begin.Add(time.Second/2), time.Time{}))
	d.Replace(good, begin.Add(2*time.Second))
	assert.True(t, d.Ready("a"))
}

// Only one of the two routers saw the entry that was overwritten.
func TestUnusableEntriesHashAlikeOnAllRouters(t *testing.T) {
	begin := time.Now()
	saw, other := New(time.Hour, time.Hour), New(time.Hour, time.Hour)
	saw.Replace([]Replica{{ID: "a", Service: "s", Address: "a:1", Born: 1000, NextSequence: 3}}, begin)
	for _, d := range []*Directory{saw, other} {
		d.Replace([]Replica{{ID: "a", State: Unusable, Entry: 5}}, begin.Add(time.Second))
	}
	assert.Equal(t, other.Hash(HashWithStarts), saw.Hash(HashWithStarts))
	assert.Equal(t, other.PartHashes(HashWithStarts), saw.PartHashes(HashWithStarts))
}

func TestHashWithoutStartTimesIsUnchanged(t *testing.T) {
	d := New(time.Hour, time.Hour)
	d.Replace([]Replica{{ID: "a", Service: "s", Address: "a:1"}}, time.Now())
	before := d.Hash(HashWithStarts)
	later := New(time.Hour, time.Hour)
	later.Replace([]Replica{{ID: "a", Service: "s", Address: "a:1", NextSequence: 9}}, time.Now())
	assert.Equal(t, before, later.Hash(HashWithStarts))
	later.Replace([]Replica{{ID: "a", Service: "s", Address: "a:1", Born: 9}}, time.Now())
	assert.NotEqual(t, before, later.Hash(HashWithStarts))
}
