package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var (
	begin  = time.Now()
	limits = Limits{Crashes: 3, Hold: 10 * time.Minute}
	body   = NewDigest("acme", "POST", "h", "/", []byte("body"))
)

func at(s float64) time.Time { return begin.Add(time.Duration(s * float64(time.Second))) }

// step is a crash of a replica, or a full answer if replica is 0.
type step struct {
	replica uint32
	at      float64
}

func (m *Tracker) play(steps []step) {
	for _, s := range steps {
		if s.replica == 0 {
			m.RecordSuccess(body, at(s.at))
			continue
		}
		m.RecordCrash(body, s.replica, at(s.at), at(s.at))
	}
}

func TestVerdicts(t *testing.T) {
	tests := map[string]struct {
		steps []step
		at    float64
		want  Verdict
	}{
		"nothing known":                              {want: Verdict{}},
		"one crash":                                  {[]step{{1, 0}}, 1, Verdict{Allowed, 1, 0}},
		"two crashes":                                {[]step{{1, 0}, {2, 5}}, 6, Verdict{Suspected, 2, 0}},
		"three crashes":                              {[]step{{1, 0}, {2, 5}, {3, 10}}, 11, Verdict{Held, 3, 599 * time.Second}},
		"three crashes an hour apart":                {[]step{{1, 0}, {2, 3600}, {3, 7200}}, 7201, Verdict{Held, 3, 599 * time.Second}},
		"one crash seen by three routers":            {[]step{{1, 0}, {1, 0.1}, {1, 1}}, 2, Verdict{Allowed, 1, 0}},
		"one replica crashes each time it starts":    {[]step{{1, 0}, {1, 11}, {1, 22}}, 23, Verdict{Held, 3, 599 * time.Second}},
		"answered in between":                        {[]step{{1, 0}, {2, 5}, {0, 6}, {3, 10}}, 11, Verdict{Allowed, 1, 0}},
		"answered after it was held":                 {[]step{{1, 0}, {2, 5}, {3, 10}, {0, 20}}, 21, Verdict{}},
		"a late mark of a crash before the answer":   {[]step{{1, 0}, {0, 6}, {2, 5}}, 7, Verdict{}},
		"the hold is over":                           {[]step{{1, 0}, {2, 0}, {3, 0}}, 601, Verdict{Trial, 3, -time.Second}},
		"each further crash extends the hold":        {[]step{{1, 0}, {2, 0}, {3, 0}, {4, 600}}, 700, Verdict{Held, 4, 3500 * time.Second}},
		"answered recently":                          {[]step{{0, 0}, {1, 1}, {2, 2}, {3, 3}, {4, 4}}, 5, Verdict{Allowed, 4, 0}},
		"answered recently, then crashes only":       {[]step{{0, 0}, {1, 1}, {2, 2}, {3, 3}, {4, 4}, {5, 5}, {6, 6}, {7, 7}, {8, 8}, {9, 9}, {10, 10}, {11, 11}, {12, 12}}, 13, Verdict{Held, 12, 599 * time.Second}},
		"answered long before":                       {[]step{{0, 0}, {1, 1000}, {2, 1000}, {3, 1000}}, 1001, Verdict{Held, 3, 599 * time.Second}},
		"held for a day after three further crashes": {[]step{{1, 0}, {2, 0}, {3, 0}, {4, 1}, {5, 2}, {6, 3}}, 3, Verdict{Held, 6, 24 * time.Hour}},
		"marks expire after a day":                   {[]step{{1, 0}, {2, 0}, {3, 0}}, 25 * 3600, Verdict{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := New(Options{Limits: limits})
			m.play(test.steps)
			assert.Equal(t, test.want, m.Check(body, at(test.at)))
		})
	}
}

func TestZeroLimitHoldsNothing(t *testing.T) {
	m := New(Options{})
	m.play([]step{{1, 0}, {2, 0}, {3, 0}})
	assert.Equal(t, Verdict{}, m.Check(body, at(1)))
	m.SetLimits(limits)
	m.play([]step{{4, 1}})
	assert.Equal(t, Held, m.Check(body, at(2)).State)
}

func TestSuspectRunsOnceAtATime(t *testing.T) {
	m := New(Options{Limits: limits})
	m.play([]step{{1, 0}, {2, 5}})
	assert.True(t, m.BeginRun(body, Suspected, at(6)))
	assert.False(t, m.BeginRun(body, Suspected, at(6)))
	m.EndRun(body)
	assert.True(t, m.BeginRun(body, Suspected, at(6)))
}

// A trial whose caller disconnects has no result. Further trials must still wait for the
// next hold, since each of them reaches a replica.
func TestOneTrialPerHold(t *testing.T) {
	m := New(Options{Limits: limits})
	m.play([]step{{1, 0}, {2, 0}, {3, 0}})
	trials := 0
	for s := 0.0; s < 20*3600; s += 10 {
		if m.Check(body, at(s)).State == Trial && m.BeginRun(body, Trial, at(s)) {
			trials++
			m.EndRun(body)
		}
	}
	assert.Equal(t, maxTrials, trials)
}

// Marks arrive in any order, repeatedly and over any path.
func TestMergeIsOrderIndependent(t *testing.T) {
	source := New(Options{Limits: limits})
	var marks []Mark
	for n := range 6 {
		d := NewDigest("acme", "POST", "h", "/", fmt.Append(nil, n))
		for replica := range uint32(4) {
			source.RecordCrash(d, replica+1, at(float64(n)+10*float64(replica)), at(50))
		}
		if n%2 == 0 {
			source.RecordSuccess(d, at(float64(25)))
		}
		marks = append(marks, source.TakePending()...)
	}
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, seed))
		other := New(Options{Limits: limits})
		for range 3 {
			rnd.Shuffle(len(marks), func(i, j int) { marks[i], marks[j] = marks[j], marks[i] })
			other.Merge(marks, false, at(51))
		}
		for n := range 6 {
			d := NewDigest("acme", "POST", "h", "/", fmt.Append(nil, n))
			assert.Equal(t, source.Check(d, at(52)).State, other.Check(d, at(52)).State, "seed %d, body %d", seed, n)
		}
		assert.Empty(t, other.TakePending(), "marks are not forwarded in a small fleet")
	}
}

func TestNewMarkIsForwardedOnce(t *testing.T) {
	m := New(Options{Limits: limits})
	mark := Mark{Digest: body, Replica: 1, At: at(0)}
	m.Merge([]Mark{mark}, true, at(1))
	<-m.Updates()
	assert.Equal(t, []Mark{mark}, m.TakePending())
	m.Merge([]Mark{mark}, true, at(1))
	assert.Empty(t, m.TakePending())
	select {
	case <-m.Updates():
		assert.Fail(t, "unexpected update")
	default:
	}
	assert.Equal(t, []Mark{mark}, m.Recent(at(2)))
	assert.Empty(t, m.Recent(at(10)))
	assert.Equal(t, []Mark{mark}, m.Sample(5))
}

func TestCallbacksOnHoldAndClear(t *testing.T) {
	var told []string
	m := New(Options{Limits: limits,
		OnHeld: func(_ Digest, crashes int, hold time.Duration) {
			told = append(told, fmt.Sprint("held ", crashes, " ", hold))
		},
		OnCleared: func(Digest) { told = append(told, "cleared") },
	})
	m.play([]step{{1, 0}, {2, 0}, {3, 0}, {4, 3}, {0, 4}})
	assert.Equal(t, []string{"held 3 10m0s", "cleared"}, told)
}

// Marks of many other requests must not evict a held request.
func TestTrackerIsBoundedAndKeepsHeldRequests(t *testing.T) {
	m := New(Options{Limits: limits})
	m.play([]step{{1, 0}, {2, 0}, {3, 0}})
	for n := range 3 * maxSuspects {
		m.RecordCrash(NewDigest("acme", "POST", "h", "/", fmt.Append(nil, n)), 9, at(1), at(1))
	}
	marked, held := m.Counts()
	assert.Equal(t, maxSuspects+1, marked)
	assert.Equal(t, 1, held)
	assert.Equal(t, Held, m.Check(body, at(2)).State)
	assert.LessOrEqual(t, len(m.TakePending()), maxPending)
	assert.LessOrEqual(t, len(m.Recent(at(1))), maxPending)
	assert.Equal(t, body, m.Sample(1)[0].Digest, "held requests come first")
}

// With holding turned off, one request may crash any number of replicas.
func TestCrashesOfARequestAreBounded(t *testing.T) {
	m := New(Options{})
	for replica := range uint32(1000) {
		m.RecordCrash(body, replica+1, at(1), at(1))
	}
	m.SetLimits(limits)
	assert.Equal(t, maxCrashes, m.Check(body, at(2)).Crashes)
}

// A look-up that every client sends runs on each replica that crashes for another reason,
// and is answered in between.
func TestCommonRequestIsNotHeldForOthersCrashes(t *testing.T) {
	m := New(Options{Limits: limits})
	now := 0.0
	for replica := range uint32(100) {
		m.RecordCrash(body, replica+1, at(now), at(now))
		now += 0.2
		m.RecordSuccess(body, at(now))
		now += 0.2
		assert.Equal(t, Allowed, m.Check(body, at(now)).State)
	}
}

func BenchmarkCheckAllowed(b *testing.B) {
	m := New(Options{Limits: limits})
	m.RecordCrash(NewDigest("other", "", "", "", nil), 1, at(0), at(0))
	for b.Loop() {
		m.Check(body, at(1))
	}
}

// One router saw the request answered, another saw the crashes.
func TestAnswerSeenByAnotherRouterReleasesRequest(t *testing.T) {
	saw, other := New(Options{Limits: limits}), New(Options{Limits: limits})
	saw.RecordSuccess(body, at(0))
	for replica := range uint32(4) {
		other.RecordCrash(body, replica+1, at(1+float64(replica)), at(5))
	}
	assert.Equal(t, Held, other.Check(body, at(5)).State)
	saw.Merge(other.TakePending(), false, at(6))
	assert.Equal(t, Allowed, saw.Check(body, at(6)).State)
	<-saw.Updates()
	other.Merge(saw.TakePending(), false, at(7))
	assert.Equal(t, Allowed, other.Check(body, at(7)).State)
}

// Forwarded marks come back over other paths with a slightly later time by the receiver's
// clock. When each was taken for a newer answer, all routers forwarded it endlessly:
// gigabytes between the routers of a large fleet in a day of crashes.
func TestDelayedDuplicateIsNotForwarded(t *testing.T) {
	m := New(Options{Limits: limits})
	crashed, served := Mark{Digest: body, Replica: 1, At: at(0)}, Mark{Digest: body, At: at(1), Served: true}
	m.Merge([]Mark{crashed, served}, true, at(1))
	assert.Len(t, m.TakePending(), 2)
	for _, late := range []float64{0.004, 0.1, 1, 3} {
		after := time.Duration(late * float64(time.Second))
		crashed.At, served.At = at(0).Add(after), at(1).Add(after)
		m.Merge([]Mark{crashed, served}, true, at(1).Add(after))
		assert.Empty(t, m.TakePending(), "%s later", after)
	}
	m.Merge([]Mark{{Digest: body, Replica: 2, At: at(10)}}, true, at(10))
	assert.Len(t, m.TakePending(), 1, "another crash is new")
	m.Merge([]Mark{{Digest: body, At: at(10.5), Served: true}}, true, at(11))
	assert.Len(t, m.TakePending(), 1, "an answer that clears a crash is new")
}
