package origin

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// trackerOf returns a tracker that observes some versions of a service.
func trackerOf(versions ...string) *Tracker {
	t := NewTracker(lifespan)
	t.Observe("s", versions, true, at(0))
	return t
}

func TestConfirmedVersions(t *testing.T) {
	for name, test := range map[string]struct {
		change                 func(t *Tracker)
		confirmed, unconfirmed []string
	}{
		"none at first":           {func(*Tracker) {}, nil, []string{"v1", "v2"}},
		"the record names one":    {func(t *Tracker) { t.SetConfirmed("s", []string{"v1"}, 3) }, []string{"v1"}, []string{"v2"}},
		"the record names both":   {func(t *Tracker) { t.SetConfirmed("s", []string{"v2", "v1"}, 3) }, []string{"v1", "v2"}, nil},
		"it names one more":       {func(t *Tracker) { t.SetConfirmed("s", []string{"v0", "v1"}, 3) }, []string{"v1"}, []string{"v2"}},
		"another record is read":  {func(t *Tracker) { t.SetConfirmed("s", []string{"v1"}, 3); t.SetConfirmed("s", []string{"v2"}, 3) }, []string{"v2"}, []string{"v1"}},
		"no reliable record":      {func(t *Tracker) { t.SetConfirmed("s", []string{"v1"}, 3); t.SetConfirmed("s", nil, 4) }, nil, []string{"v1", "v2"}},
		"another router adds one": {func(t *Tracker) { t.SetConfirmed("s", []string{"v1"}, 3); t.Confirm("s", []string{"v2"}, 3) }, []string{"v1", "v2"}, nil},
		"another service":         {func(t *Tracker) { t.Confirm("other", []string{"v1"}, 3) }, nil, []string{"v1", "v2"}},
		"a later generation":      {func(t *Tracker) { t.Confirm("s", []string{"v1"}, 3); t.DropConfirmed(4) }, nil, []string{"v1", "v2"}},
		"the same generation":     {func(t *Tracker) { t.Confirm("s", []string{"v1"}, 3); t.DropConfirmed(3) }, []string{"v1"}, []string{"v2"}},
		"confirmed in a later one": {func(t *Tracker) {
			t.Confirm("s", []string{"v1"}, 3)
			t.Confirm("s", []string{"v1"}, 4)
			t.DropConfirmed(4)
		}, []string{"v1"}, []string{"v2"}},
		"the store was restored":    {func(t *Tracker) { t.Confirm("s", []string{"v1"}, 3); t.ResetConfirmed() }, nil, []string{"v1", "v2"}},
		"it stops serving":          {func(t *Tracker) { t.Confirm("s", []string{"v1"}, 3); t.Observe("s", []string{"v2"}, true, at(1)) }, nil, []string{"v2"}},
		"by an old list":            {func(t *Tracker) { t.Confirm("s", []string{"v1"}, 3); t.Observe("s", []string{"v2"}, false, at(1)) }, nil, []string{"v2"}},
		"it still serves, old list": {func(t *Tracker) { t.Confirm("s", []string{"v1"}, 3); t.Observe("s", []string{"v1"}, false, at(1)) }, []string{"v1"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := trackerOf("v1", "v2")
			test.change(tracker)
			assert.Equal(t, test.confirmed, tracker.Confirmed("s"))
			assert.Equal(t, test.unconfirmed, tracker.Unconfirmed("s"))
		})
	}
}

// Guards against a confirmation that outlives the record: a version that left may be missing from it
// when it returns.
func TestVersionThatReturnsIsConfirmedAnew(t *testing.T) {
	tracker := trackerOf("v1", "v2")
	tracker.SetConfirmed("s", []string{"v1", "v2"}, 3)
	tracker.Observe("s", []string{"v1"}, true, at(1))
	tracker.Observe("s", []string{"v1", "v2"}, true, at(2))
	assert.Equal(t, []string{"v1"}, tracker.Confirmed("s"))
	assert.Equal(t, []string{"v2"}, tracker.Unconfirmed("s"))
}

// An answer to another router states the earliest generation, since it holds for all of its versions.
func TestConfirmedSinceEarliestGeneration(t *testing.T) {
	tracker := trackerOf("v1", "v2")
	_, generation := tracker.ConfirmedSince("s")
	assert.Zero(t, generation)
	tracker.Confirm("s", []string{"v1"}, 5)
	tracker.Confirm("s", []string{"v2"}, 4)
	versions, generation := tracker.ConfirmedSince("s")
	assert.Equal(t, []string{"v1", "v2"}, versions)
	assert.EqualValues(t, 4, generation)
}
