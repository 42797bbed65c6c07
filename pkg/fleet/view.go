package fleet

import (
	"math"
	"time"
)

// Durations of the corrections.
const (
	// minSuspect is how long a target is suspect after one failure.
	minSuspect = time.Second
	// maxSuspect bounds the exponential backoff for a target that fails repeatedly.
	maxSuspect = time.Minute
	// forgiveAfter is the time without failures after which earlier ones are forgotten.
	forgiveAfter = 2 * time.Minute
	// leavingFor is how long an announced departure overrides a list that still says live.
	// The list lags by seconds; after that a target that came back is used again.
	leavingFor = time.Minute
	// rampTime is how long a target takes to regain its full share.
	rampTime = 10 * time.Second
)

// View is one router's view of the targets and peers. It is not safe for concurrent use.
type View struct {
	listed      map[string]Instance
	corrections map[string]*correction
}

// correction is what was observed of one instance, and overrides the list.
//
//	failures 1, 2, 3 ... -> suspect for 1 s, 2 s, 4 s ... up to a minute
type correction struct {
	failures     int
	lastFailure  time.Time
	suspectUntil time.Time
	leavingUntil time.Time
	// restUntil is the latest end of the rests that the instance asked for.
	restUntil time.Time
}

// NewView returns an empty view.
func NewView() *View {
	return &View{listed: make(map[string]Instance), corrections: make(map[string]*correction)}
}

// SetList replaces the platform's list. Corrections stay until they expire, since the list
// lags behind observations.
func (v *View) SetList(list []Instance, now time.Time) {
	clear(v.listed)
	for _, i := range list {
		v.listed[i.Name] = i
	}
	v.DropExpired(now)
}

// DropExpired removes corrections that have no effect any more.
func (v *View) DropExpired(now time.Time) {
	for name, n := range v.corrections {
		_, listed := v.listed[name]
		if n.expired(now) && (!listed || n.failures == 0) {
			delete(v.corrections, name)
		}
	}
}

func (n *correction) expired(now time.Time) bool {
	return now.After(n.suspectUntil) && now.After(n.leavingUntil) && now.After(n.restUntil.Add(rampTime)) && now.Sub(n.lastFailure) > forgiveAfter
}

// MarkFailed records that an instance could not be reached. Each failure doubles the time for
// which it is suspect, so that a flapping instance gets little work.
func (v *View) MarkFailed(name string, now time.Time) {
	n := v.correction(name)
	if now.Sub(n.lastFailure) > forgiveAfter {
		n.failures = 0
	}
	if now.Before(n.suspectUntil) {
		return
	}
	n.failures++
	n.lastFailure = now
	n.suspectUntil = now.Add(suspectTime(n.failures))
}

func suspectTime(failures int) time.Duration {
	d := float64(minSuspect) * math.Pow(2, float64(failures-1))
	return time.Duration(min(d, float64(maxSuspect)))
}

// MarkReachable records that an instance answered, so that it is no longer suspect. The number
// of failures stays, so that the next one has more weight.
func (v *View) MarkReachable(name string, now time.Time) {
	if n := v.corrections[name]; n != nil && now.Before(n.suspectUntil) {
		n.suspectUntil = now
	}
}

// MarkLeaving records that an instance is leaving, as it or a peer reported.
func (v *View) MarkLeaving(name string, now time.Time) {
	v.correction(name).leavingUntil = now.Add(leavingFor)
}

// MarkResting records that an instance asked for no requests until a time. Of several times
// the latest holds.
func (v *View) MarkResting(name string, until time.Time) {
	if n := v.correction(name); until.After(n.restUntil) {
		n.restUntil = until
	}
}

func (v *View) correction(name string) *correction {
	n := v.corrections[name]
	if n == nil {
		n = &correction{}
		v.corrections[name] = n
	}
	return n
}

// Health is the state of an instance according to the view.
type Health uint8

// The values of Health.
const (
	// Unknown: the list does not name the instance.
	Unknown Health = iota
	// Live: the instance may get new work.
	Live
	// Suspect: the instance does not answer; it is tried again later.
	Suspect
	// Departing: the instance is leaving and must get no new work.
	Departing
	// Resting: the instance asked for no requests for a time.
	Resting
)

var healthNames = [...]string{"unknown", "live", "suspect", "leaving", "resting"}

// String returns the name used in the state dump.
func (h Health) String() string { return healthNames[h] }

// Health returns the health of an instance.
func (v *View) Health(name string, now time.Time) Health {
	i, listed := v.listed[name]
	if !listed {
		return Unknown
	}
	n := v.corrections[name]
	switch {
	case i.State == StateLeaving:
		return Departing
	case n == nil:
		return Live
	case now.Before(n.leavingUntil):
		return Departing
	case now.Before(n.restUntil):
		return Resting
	case now.Before(n.suspectUntil):
		return Suspect
	}
	return Live
}

// RampFactor returns the fraction of its full share that an instance should get, above 0 and
// up to 1: after failures or a rest its load rises gradually.
func (v *View) RampFactor(name string, now time.Time) float64 {
	const least = 0.1
	n := v.corrections[name]
	if n == nil || n.failures == 0 && n.restUntil.IsZero() {
		return 1
	}
	from := n.restUntil
	if n.failures > 0 && n.suspectUntil.After(from) {
		from = n.suspectUntil
	}
	back := now.Sub(from)
	if back < 0 {
		return least
	}
	return min(1, max(least, back.Seconds()/rampTime.Seconds()))
}

// ForEach calls visit with each listed instance and its health.
func (v *View) ForEach(now time.Time, visit func(Instance, Health)) {
	for name, i := range v.listed {
		visit(i, v.Health(name, now))
	}
}

// Get returns an instance's row of the list.
func (v *View) Get(name string) (Instance, bool) {
	i, listed := v.listed[name]
	return i, listed
}
