package origin

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a version that left and returns and is missing from the record: the first router by
// rank removed it, which the second one has not read, and cannot write now.
func TestNextKeeperRecordsAVersionThatReturns(t *testing.T) {
	tracker := NewTracker(lifespan)
	k := keeperAfterRead(1, "v1", "v2")
	tracker.Observe("s", []string{"v1", "v2"}, true, at(0))
	tracker.Recall("s", []string{"v1", "v2"}, at(0))
	calls := 0
	next := func(now time.Time, versions ...string) {
		tracker.Observe("s", versions, true, now)
		step := k.Next([]Served{tracker.Served("s", now)}, 1, 1, now)
		if step.Read || len(step.Write) > 0 {
			calls++
		}
	}
	for second := 1.0; second < 60; second++ {
		next(at(second), "v2")
	}
	assert.Equal(t, []string{"v2"}, tracker.Served("s", at(59)).Versions, "the first router by rank has removed v1 from the record")
	calls = 0
	for second := 60.0; second < 90; second++ {
		next(at(second), "v1", "v2")
	}
	assert.NotZero(t, calls, "30 s after v1 returned")
}

// Guards against versions that are taken for all that served: a longer time-out was set, and a version
// that left was forgotten by the shorter one.
func TestLongerLifetimeIsNotKnownAtOnce(t *testing.T) {
	tracker := NewTracker(time.Second)
	tracker.SetLifetime(10*time.Second, at(0))
	tracker.Recall("s", nil, at(0))
	tracker.Observe("s", []string{"v1", "v2"}, true, at(0))
	for second := 1.0; second <= 12; second++ {
		tracker.Observe("s", []string{"v2"}, true, at(second))
	}
	tracker.SetLifetime(60*time.Second, at(13))
	tracker.Observe("s", []string{"v2"}, true, at(13))
	f := tracker.Find("s", KeyOf("s", "a"), at(13))
	assert.Equal(t, Unknown, f.Source, "v1 served 12 s ago, and a stream may last for 60 s: %+v", f)
}

// Guards against the same if the store's record, which was kept for the shorter lifetime, is read again,
// and if the lifetime grows again before the first growth is covered.
func TestLongerLifetimeIsKnownOnceItHasPassed(t *testing.T) {
	type step struct{ at, lifetime float64 }
	for name, test := range map[string]struct {
		lifetimes []step
		// unknown are times at which a version may have been forgotten, known others.
		unknown, known []float64
	}{
		"grows":                        {[]step{{0, 10}, {13, 60}}, []float64{13, 40, 62}, []float64{12, 63, 100}},
		"grows twice":                  {[]step{{0, 10}, {13, 60}, {20, 90}}, []float64{13, 63, 92}, []float64{12, 93}},
		"grows long after":             {[]step{{0, 10}, {13, 60}, {200, 90}}, []float64{13, 200, 229}, []float64{63, 199, 230}},
		"returns to the shorter one":   {[]step{{0, 10}, {13, 60}, {14, 10}, {74, 10}}, []float64{13, 62}, []float64{63, 75}},
		"shorter, then as long again":  {[]step{{0, 60}, {13, 10}, {14, 60}}, nil, []float64{12, 13, 14, 60}},
		"shorter in effect, then long": {[]step{{0, 60}, {13, 10}, {73, 10}, {90, 60}}, []float64{90, 139}, []float64{89, 140}},
		"longer than assumed":          {[]step{{0, 300}, {13, 305}}, []float64{13, 17}, []float64{12, 18}},
	} {
		for kind, recall := range map[string]bool{"": false, ", record read again": true} {
			t.Run(name+kind, func(t *testing.T) {
				tracker := NewTracker(lifespan)
				rest := test.lifetimes
				for second := 0.0; second <= 230; second++ {
					for len(rest) > 0 && rest[0].at <= second {
						tracker.SetLifetime(time.Duration(rest[0].lifetime)*time.Second, at(second))
						rest = rest[1:]
					}
					if second == 0 || recall {
						tracker.Recall("s", []string{"v2"}, at(second))
					}
					tracker.Observe("s", []string{"v2"}, true, at(second))
					complete := tracker.Served("s", at(second)).Complete
					if slices.Contains(test.unknown, second) {
						assert.False(t, complete, "at %v", second)
					}
					if slices.Contains(test.known, second) {
						assert.True(t, complete, "at %v", second)
					}
				}
			})
		}
	}
}

// Guards against a record that was kept for a shorter lifetime and is relied on by routers that all
// start under a longer one.
func TestRecordOfAShorterLifetimeIsNotRelied(t *testing.T) {
	before := NewTracker(lifespan)
	before.SetLifetime(10*time.Second, at(0))
	before.Recall("s", nil, at(0))
	before.Observe("s", []string{"v1", "v2"}, true, at(0))
	var k Keeper
	k.Loaded(nil, 1, at(0))
	stored := Stored{Service: "s"}
	for second := 1.0; second <= 13; second++ {
		before.Observe("s", []string{"v2"}, true, at(second))
		for _, r := range k.Next([]Served{before.Served("s", at(second))}, 1, 0, at(second)).Write {
			r.Revision = stored.Revision + 1
			stored = ReadStored("s", r.Value(), r.Revision)
			k.Written([]Stored{stored}, r.Revision)
		}
	}
	assert.Equal(t, []string{"v2"}, stored.Versions, "v1 last served a lifetime ago")
	after := NewTracker(lifespan)
	after.SetLifetime(60*time.Second, at(14))
	after.Observe("s", []string{"v2"}, true, at(14))
	after.RecallRecord(stored, at(14))
	f := after.Find("s", KeyOf("s", "a"), at(14))
	assert.Equal(t, Unknown, f.Source, "v1 served 13 s ago, and a stream may last for 60 s: %+v", f)
}

// Guards against the opposite: streams of a single version that are refused under a longer lifetime, though
// the other version was removed from the record longer ago than that. The record is the same.
func TestRecordOfAShorterLifetimeIsReliedOnLongAfterARemoval(t *testing.T) {
	stored := Stored{"s", []string{"v2"}, 1, 8, 10 * time.Second}
	after := NewTracker(lifespan)
	after.SetLifetime(60*time.Second, at(100))
	after.Observe("s", []string{"v2"}, true, at(100))
	after.RecallRecord(stored, at(100))
	f := after.Find("s", KeyOf("s", "a"), at(100))
	assert.Equal(t, Finding{Source: Inferred, Version: "v2"}, f)
}
