package origin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against versions and routes that count as of late for as long as the store takes no writes: the
// record goes on naming them, and is read again after each write that failed.
func TestWhatLeftIsForgottenWhileTheStoreTakesNoWrites(t *testing.T) {
	const lifetime = 65 * time.Second
	for name, test := range map[string]struct{ before, now []string }{
		"a version left":      {[]string{"v1", "v2"}, []string{"v2"}},
		"a version was taken": {[]string{"v1"}, []string{"v2"}},
	} {
		tracker, several := observeUnwritable("s", test.before, test.now, lifetime)
		assert.LessOrEqual(t, several, lifetime+2*time.Second, name)
		assert.True(t, tracker.Settled("s", at(600)), name)
	}
	for name, test := range map[string]struct{ before, now []string }{
		"a route leads elsewhere": {[]string{"h /a/ o 1"}, []string{"h /a/ s 1"}},
		"a route was added":       {[]string{"h /a/ o 1"}, []string{"h /a/ o 1", "h /a/b/ s 1"}},
	} {
		tracker, _ := observeUnwritable(Routes, escaped(test.before), escaped(test.now), lifetime)
		assert.True(t, tracker.Settled(Routes, at(600)), name)
	}
}

func escaped(texts []string) []string {
	var list []string
	for _, text := range texts {
		if d, valid := parseRoute(text); valid {
			list = append(list, d.String())
		}
	}
	return list
}

// observeUnwritable observes for 600 s what serves now beside a record of what served before that cannot be
// written, and returns for how long no single version was known.
func observeUnwritable(service string, before, now []string, lifetime time.Duration) (tracker *Tracker, several time.Duration) {
	tracker, keeper := NewTracker(lifetime), &Keeper{}
	next := func(second float64) Step {
		return keeper.Next([]Served{tracker.Served(service, at(second))}, 1, 0, at(second))
	}
	for second := range 601 {
		second := float64(second)
		tracker.Observe(service, now, true, at(second))
		step := next(second)
		if step.Read {
			for _, r := range keeper.Loaded([]Stored{{service, before, 1, 7, lifetime}}, 1, at(second)) {
				tracker.RecallRecord(r, at(second))
			}
			step = next(second)
		}
		if len(step.Write) > 0 {
			keeper.Failed(at(second))
		}
		if !tracker.Served(service, at(second)).IsSingle() {
			several += time.Second
		}
	}
	return tracker, several
}

// A record that changed, or that is read after a time without observations, names what may have served
// elsewhere.
func TestRecordThatChangedCountsAnew(t *testing.T) {
	for name, test := range map[string]struct {
		revision uint64
		gap      float64
		want     bool
	}{
		"the same":                       {7, 1, true},
		"changed":                        {8, 1, false},
		"the same, after a gap":          {7, 10, false},
		"without a revision, as by none": {0, 1, false},
	} {
		tracker := NewTracker(lifespan)
		record := Stored{"s", []string{"v1", "v2"}, 1, 7, lifespan}
		tracker.Observe("s", []string{"v2"}, true, at(0))
		tracker.RecallRecord(record, at(0))
		second := 1.0
		for ; second <= 30; second++ {
			tracker.Observe("s", []string{"v2"}, true, at(second))
		}
		second += test.gap
		tracker.Observe("s", []string{"v2"}, true, at(second))
		record.Revision = test.revision
		tracker.RecallRecord(record, at(second))
		assert.Equal(t, test.want, tracker.Served("s", at(second)).IsSingle(), name)
	}
}

// Guards against a record that is taken for unchanged as its revision is: a store that came back from a copy
// may give a revision twice.
func TestRecordOfTheSameRevisionMayHaveChanged(t *testing.T) {
	tracker := NewTracker(lifespan)
	tracker.Observe("s", []string{"v2"}, true, at(0))
	tracker.RecallRecord(Stored{"s", []string{"v2"}, 1, 7, lifespan}, at(0))
	observe(tracker, []string{"v2"}, true, 1, 31)
	assert.True(t, tracker.Served("s", at(30)).IsSingle())
	tracker.RecallRecord(Stored{"s", []string{"v1", "v2"}, 1, 7, lifespan}, at(30))
	assert.False(t, tracker.Served("s", at(30)).IsSingle())
}

// Guards against a version that left and counts for a lifetime more, as the router that wrote the record
// reads it for the first time once it forgot the version.
func TestRecordThatThisRouterWroteTellsNothingNew(t *testing.T) {
	const gone = 2
	tracker, keeper := NewTracker(lifespan), &Keeper{}
	record := Stored{"s", []string{"v1"}, 1, 7, lifespan}
	var refused []float64
	for second := 0.0; second <= 60; second++ {
		serving := []string{"v2"}
		if second < gone {
			serving = []string{"v1", "v2"}
		}
		tracker.Observe("s", serving, true, at(second))
		for range 2 {
			step := keeper.Next([]Served{tracker.Served("s", at(second))}, 1, 0, at(second))
			if step.Read {
				for _, r := range keeper.Loaded([]Stored{record}, 1, at(second)) {
					tracker.RecallRecord(r, at(second))
				}
			}
			switch {
			case len(step.Write) == 0:
			case second < gone:
				record = step.Write[0]
				record.Revision = 8
				keeper.Written(step.Write, 8)
				tracker.Written(step.Write, 8)
			default:
				keeper.Failed(at(second))
			}
		}
		if second > gone+lifespan.Seconds() && !tracker.Served("s", at(second)).IsSingle() {
			refused = append(refused, second)
		}
	}
	assert.Equal(t, []string{"v1", "v2"}, record.Versions)
	assert.Empty(t, refused)
}
