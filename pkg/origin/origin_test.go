package origin

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const lifespan = 20 * time.Second

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// observe notes versions that serve each second from a time until before another, as routers do.
func observe(tracker *Tracker, versions []string, current bool, from, until float64) {
	for second := from; second < until; second++ {
		tracker.Observe("s", versions, current, at(second))
	}
}

// Guards against a stream without a record that goes on at another version than its own: at any
// of two that served, or at the only one listed by a router that does not know what served before.
func TestFind(t *testing.T) {
	type observation struct {
		at       float64
		versions []string
	}
	one, two, other := []string{"v1"}, []string{"v1", "v2"}, []string{"v2"}
	for name, test := range map[string]struct {
		observed []observation
		recorded string
		recalled []string
		now      float64
		want     Finding
	}{
		"nothing known":                   {nil, "", nil, 0, Finding{}},
		"recorded":                        {[]observation{{0, two}}, "v2", nil, 1, Finding{Recorded, "v2", true}},
		"record expired":                  {[]observation{{0, two}}, "v2", nil, 21, Finding{Several: true}},
		"one version, started lately":     {[]observation{{0, one}}, "", nil, 5, Finding{}},
		"one version for long":            {[]observation{{0, one}, {21, one}}, "", nil, 21, Finding{Inferred, "v1", false}},
		"a second one has joined":         {[]observation{{0, one}, {30, two}}, "", nil, 35, Finding{Several: true}},
		"a second one joined long ago":    {[]observation{{0, one}, {30, two}, {51, two}}, "", nil, 51, Finding{Several: true}},
		"both from the start":             {[]observation{{0, two}, {30, two}}, "", nil, 30, Finding{Several: true}},
		"the first one has left":          {[]observation{{0, two}, {30, two}, {31, other}}, "", nil, 31, Finding{Several: true}},
		"the first one left long ago":     {[]observation{{0, two}, {30, two}, {31, other}, {52, other}}, "", nil, 52, Finding{Inferred, "v2", false}},
		"back to the first one":           {[]observation{{0, one}, {30, two}, {35, one}, {56, one}}, "", nil, 56, Finding{Inferred, "v1", false}},
		"a third one":                     {[]observation{{0, one}, {30, two}, {55, two}, {56, []string{"v1", "v2", "v3"}}}, "", nil, 57, Finding{Several: true}},
		"replaced without a time of both": {[]observation{{0, one}, {30, other}}, "", nil, 35, Finding{Several: true}},
		"started lately, store has one":   {[]observation{{0, one}}, "", one, 1, Finding{Inferred, "v1", false}},
		"started lately, store has two":   {[]observation{{0, other}}, "", two, 1, Finding{Several: true}},
		"started lately, store has other": {[]observation{{0, other}}, "", one, 1, Finding{Several: true}},
		"what the store had is long ago":  {[]observation{{0, other}, {21, other}}, "", one, 21, Finding{Inferred, "v2", false}},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker(lifespan)
			for i, o := range test.observed {
				if i > 0 {
					observe(tracker, test.observed[i-1].versions, true, test.observed[i-1].at+1, o.at)
				}
				tracker.Observe("s", o.versions, true, at(o.at))
				if i == 0 && test.recalled != nil {
					tracker.Recall("s", test.recalled, at(o.at))
				}
			}
			if test.recorded != "" {
				tracker.Record(KeyOf("s", "a"), test.recorded, true, at(0))
			}
			assert.Equal(t, test.want, tracker.Find("s", KeyOf("s", "a"), at(test.now)))
		})
	}
}

// Guards against a version that came and went while the lists were old, as behind a cut.
func TestHistoryIsIncompleteAfterOldLists(t *testing.T) {
	tracker := NewTracker(lifespan)
	tracker.Recall("s", nil, at(0))
	one := []string{"v1"}
	last, current := 0.0, true
	for _, step := range []struct {
		at       float64
		current  bool
		complete bool
	}{{0, true, true}, {30, false, true}, {40, true, false}, {50, true, false}, {60, true, true}} {
		observe(tracker, one, current, last, step.at)
		tracker.Observe("s", one, step.current, at(step.at))
		last, current = step.at, step.current
		assert.Equal(t, Served{"s", one, one, step.complete, !step.current, lifespan}, tracker.Served("s", at(step.at)), "%v", step.at)
	}
	tracker.Observe("s", one, false, at(61))
	tracker.Observe("s", one, true, at(62))
	tracker.Recall("s", one, at(62))
	assert.True(t, tracker.Served("s", at(62)).Complete, "the store knows")
}

// A second record of another version does not move a stream, and one of the same version
// lets it last.
func TestFirstVersionOfAStreamHolds(t *testing.T) {
	table, k := NewTable(), KeyOf("s", "a")
	table.Record(k, "v1", false, at(0), lifespan)
	table.Record(k, "v2", true, at(1), lifespan)
	table.Record(k, "v1", false, at(15), lifespan)
	version, found := table.Version(k, at(30))
	assert.True(t, found)
	assert.Equal(t, "v1", version)
	_, found = table.Version(k, at(36))
	assert.False(t, found)
	table.Record(k, "v2", true, at(36), lifespan)
	version, _ = table.Version(k, at(37))
	assert.Equal(t, "v2", version)
}

// Records are bounded in time and number; the oldest go first.
func TestRecordsAreBounded(t *testing.T) {
	table := NewTable()
	for n := range 3 * maxRecords {
		table.Record(Key(n), fmt.Sprint("v", n%1000), false, at(0), lifespan)
	}
	assert.LessOrEqual(t, table.Len(), maxRecords)
	_, found := table.Version(Key(3*maxRecords-1), at(1))
	assert.True(t, found)
	_, found = table.Version(Key(0), at(1))
	assert.False(t, found)
	assert.LessOrEqual(t, len(table.versions), maxSharedVersions)
	table.Record(1, "v", false, at(30), lifespan)
	assert.Equal(t, 1, table.Len())
	assert.LessOrEqual(t, len(table.order), 2)
}

// A router that has seen another list than the others does not decide for them.
func TestMerge(t *testing.T) {
	recorded, inferred, other := Finding{Recorded, "v2", true}, Finding{Inferred, "v1", false}, Finding{Inferred, "v3", false}
	for name, test := range map[string]struct {
		findings []Finding
		want     Finding
	}{
		"none":                     {nil, Finding{}},
		"a record goes first":      {[]Finding{inferred, recorded, other}, recorded},
		"all agree":                {[]Finding{inferred, inferred, {}}, inferred},
		"they disagree":            {[]Finding{inferred, other}, Finding{Several: true}},
		"records disagree":         {[]Finding{recorded, {Recorded, "v1", true}, inferred}, Finding{Several: true}},
		"one has seen several":     {[]Finding{{}, {Several: true}}, Finding{Several: true}},
		"a start knows too little": {[]Finding{{}, inferred}, inferred},
		"one saw more than others": {[]Finding{inferred, {Several: true}}, Finding{Several: true}},
	} {
		assert.Equal(t, test.want, Merge(test.findings...), name)
	}
}

// Streams that began before a second version joined are known to other routers once it has.
func TestUnsharedRecordsAreReturnedOnce(t *testing.T) {
	table := NewTable()
	table.Record(1, "v1", false, at(0), lifespan)
	table.Record(2, "v1", true, at(0), lifespan)
	table.Record(3, "v1", false, at(-30), lifespan)
	assert.Equal(t, []Record{{1, "v1"}}, table.Unshared(at(1)))
	assert.Empty(t, table.Unshared(at(2)))
	table.Record(1, "v1", false, at(3), lifespan)
	assert.Empty(t, table.Unshared(at(4)))
}

// Guards against a version that is forgotten before its streams have ended, as a configuration with
// shorter time-outs came into force.
func TestShorterLifetimeWaitsForStreamsInProgress(t *testing.T) {
	tracker := NewTracker(time.Hour)
	assert.Equal(t, time.Hour, tracker.lifetime.get(at(0)))
	for _, step := range []struct{ at, set, want float64 }{
		{0, 20, 20}, {1, 60, 60}, {2, 10, 60}, {61, 10, 60}, {62, 10, 10}, {63, 5, 10}, {64, 20, 20}, {65, 10, 20}, {84, 10, 20}, {85, 10, 10},
	} {
		tracker.SetLifetime(time.Duration(step.set)*time.Second, at(step.at))
		assert.Equal(t, time.Duration(step.want)*time.Second, tracker.lifetime.get(at(step.at)), "at %v", step.at)
	}
}
