package origin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a shorter time-out that is believed at once by a process that has just started: streams
// that began under the longer one are still taken up. A process that knew the longer one waits for it.
func TestShorterLifetimeIsNotBelievedAtAStart(t *testing.T) {
	for name, begin := range map[string]func(tracker *Tracker){
		"the process ran before": func(tracker *Tracker) { tracker.SetLifetime(5*time.Minute, at(0)) },
		"it has just started":    func(*Tracker) {},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker(5 * time.Minute)
			begin(tracker)
			tracker.SetLifetime(lifespan, at(0))
			tracker.Observe("s", []string{"v2"}, true, at(0))
			tracker.Recall("s", []string{"v1", "v2"}, at(0))
			for second := range 30 {
				tracker.Observe("s", []string{"v2"}, true, at(float64(second)))
			}
			assert.Equal(t, Finding{Several: true}, tracker.Find("s", 1, at(30)))
		})
	}
}

// The time for which a record was kept counts from the start on, and no longer than the streams of before
// may last. A record that does not state it may have been kept for the longest time.
func TestRecordStatesHowLongStreamsMayLast(t *testing.T) {
	const longest = 5 * time.Minute
	for name, test := range map[string]struct {
		kept time.Duration
		// several and single are times at which a version that left before the start counts, and does
		// not any more.
		several, single float64
	}{
		"not stated":         {0, 299, 302},
		"the time-out fell":  {2 * time.Minute, 119, 122},
		"it is the same":     {lifespan, 19, 22},
		"the time-out rises": {10 * time.Second, 19, 22},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker(longest)
			for second := 0.0; second <= test.single; second++ {
				tracker.SetLifetime(lifespan, at(second))
				if second == 0 || second == 15 {
					tracker.RecallRecord(Stored{Service: "s", Versions: []string{"v1", "v2"}, Kept: test.kept}, at(second))
				}
				tracker.Observe("s", []string{"v2"}, true, at(second))
				switch second {
				case test.several:
					assert.Equal(t, Finding{Several: true}, tracker.Find("s", 1, at(second)))
				case test.single:
					assert.Equal(t, Finding{Source: Inferred, Version: "v2"}, tracker.Find("s", 1, at(second)))
				}
			}
			assert.Equal(t, lifespan, tracker.Served("s", at(test.single)).Lifetime)
		})
	}
}

// The first router by rank states the time in effect, also in a record of an earlier build. Others leave it.
func TestFirstKeeperStatesForHowLongVersionsAreKept(t *testing.T) {
	served := servedBy(true, "v1", "v2")
	served[0].Lifetime = lifespan
	for name, test := range map[string]struct {
		stored Stored
		rank   int
		want   Step
	}{
		"not stated":           {Stored{"s", []string{"v1", "v2"}, 1, 7, 0}, 0, Step{Write: []Stored{{"s", []string{"v1", "v2"}, 1, 7, lifespan}}}},
		"longer":               {Stored{"s", []string{"v1", "v2"}, 1, 7, time.Minute}, 0, Step{Write: []Stored{{"s", []string{"v1", "v2"}, 1, 7, lifespan}}}},
		"as stated":            {Stored{"s", []string{"v1", "v2"}, 1, 7, lifespan}, 0, Step{}},
		"longer, second":       {Stored{"s", []string{"v1", "v2"}, 1, 7, time.Minute}, 1, Step{}},
		"a version, at second": {Stored{"s", []string{"v1"}, 1, 7, time.Minute}, 1, Step{Write: []Stored{{"s", []string{"v1", "v2"}, 1, 7, time.Minute}}}},
	} {
		k := keeperAfterReadOf(test.stored, 1)
		step := Step{}
		for second := 1.0; second <= 10 && step.Write == nil; second++ {
			if step = k.Next(served, 1, test.rank, at(second)); step.Read {
				k.Loaded([]Stored{test.stored}, 1, at(second))
				step = k.Next(served, 1, test.rank, at(second))
			}
		}
		assert.Equal(t, test.want, step, name)
	}
}

// Guards against a record that is written anew after each read: it states milliseconds, and the period of
// reads, which is a part of a stream's lifetime, may have a fraction of one.
func TestRecordOfAFractionOfAMillisecondIsWrittenOnce(t *testing.T) {
	served := servedBy(true, "v1")
	served[0].Lifetime = 15*time.Second + 800*time.Microsecond
	k, record, writes := &Keeper{}, Stored{"s", []string{"v1"}, 1, 7, 0}, 0
	for second := range 300 {
		step := k.Next(served, 1, 0, at(float64(second)))
		if step.Read {
			k.Loaded([]Stored{ReadStored("s", record.Value(), record.Revision)}, 1, at(float64(second)))
		}
		for _, r := range step.Write {
			writes++
			r.Revision = record.Revision + 1
			record = r
			k.Written(step.Write, r.Revision)
		}
	}
	assert.Equal(t, 1, writes)
	assert.GreaterOrEqual(t, ReadStored("s", record.Value(), record.Revision).Kept, served[0].Lifetime)
}

// Guards against the same where the period of reads is so long that the lifetime is above what a record can
// state.
func TestRecordOfALongLifetimeIsWrittenOnce(t *testing.T) {
	served := servedBy(true, "v1")
	served[0].Lifetime = maxKept + time.Second
	k, record, writes := &Keeper{}, Stored{"s", []string{"v1"}, 1, 7, 0}, 0
	for second := range 300 {
		step := k.Next(served, 1, 0, at(float64(second)))
		if step.Read {
			k.Loaded([]Stored{ReadStored("s", record.Value(), record.Revision)}, 1, at(float64(second)))
		}
		for _, r := range step.Write {
			writes++
			r.Revision = record.Revision + 1
			record = r
			k.Written(step.Write, r.Revision)
		}
	}
	assert.Equal(t, 1, writes)
	assert.Equal(t, maxKept, ReadStored("s", record.Value(), record.Revision).Kept)
}
