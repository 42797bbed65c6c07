package fleet

import (
	"math"
	"time"
)

// Times of the view's corrections.
const (
	// minSuspect is how long a target that failed once is set aside.
	minSuspect = time.Second
	// maxSuspect bounds the doubling for a target that fails again and again.
	maxSuspect = time.Minute
	// forgiveAfter is the quiet time after which earlier failures are forgotten.
	forgiveAfter = 2 * time.Minute
	// leavingFor is how long a word of leaving holds against a list that still
	// says live. The list lags by seconds; a target that came back is used again.
	leavingFor = time.Minute
	// rampTime is how long a target that came back takes to get its full share.
	rampTime = 10 * time.Second
)

// View is one router's live view of the targets and peers. It is not safe for
// concurrent use.
type View struct {
	listed map[string]Instance
	notes  map[string]*note
}

// note is the correction of one instance by own observation.
//
//	failures 1, 2, 3 ... -> set aside for 1 s, 2 s, 4 s ... up to a minute
type note struct {
	failures     int
	lastFailure  time.Time
	suspectUntil time.Time
	leavingUntil time.Time
	// restUntil is the latest end of a rest that it asked for.
	restUntil time.Time
}

// NewView returns an empty view.
func NewView() *View {
	return &View{listed: make(map[string]Instance), notes: make(map[string]*note)}
}

// SetList takes a new list of the platform. Corrections stay until they age
// out, since the list lags what was seen.
func (v *View) SetList(list []Instance, now time.Time) {
	clear(v.listed)
	for _, i := range list {
		v.listed[i.Name] = i
	}
	v.DropExpired(now)
}

// DropExpired drops corrections that no longer say anything.
func (v *View) DropExpired(now time.Time) {
	for name, n := range v.notes {
		_, listed := v.listed[name]
		if n.aged(now) && (!listed || n.failures == 0) {
			delete(v.notes, name)
		}
	}
}

func (n *note) aged(now time.Time) bool {
	return now.After(n.suspectUntil) && now.After(n.leavingUntil) && now.After(n.restUntil.Add(rampTime)) && now.Sub(n.lastFailure) > forgiveAfter
}

// MarkFailed notes that an instance could not be reached. It is set aside for
// twice as long each time, so that one that flaps gets little.
func (v *View) MarkFailed(name string, now time.Time) {
	n := v.note(name)
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

// MarkReachable notes that an instance answered, which ends its setting aside. The
// count of failures stays, so that the next one weighs more.
func (v *View) MarkReachable(name string, now time.Time) {
	if n := v.notes[name]; n != nil && now.Before(n.suspectUntil) {
		n.suspectUntil = now
	}
}

// MarkLeaving notes that an instance said, or a peer heard, that it leaves.
func (v *View) MarkLeaving(name string, now time.Time) {
	v.note(name).leavingUntil = now.Add(leavingFor)
}

// MarkResting notes that an instance asked for no requests until a time. Of several the latest
// holds.
func (v *View) MarkResting(name string, until time.Time) {
	if n := v.note(name); until.After(n.restUntil) {
		n.restUntil = until
	}
}

func (v *View) note(name string) *note {
	n := v.notes[name]
	if n == nil {
		n = &note{}
		v.notes[name] = n
	}
	return n
}

// Health is what the view believes of one instance.
type Health uint8

// The healths.
const (
	// Unknown: not in the list.
	Unknown Health = iota
	// Live: may get new work.
	Live
	// Suspect: does not answer; tried again later.
	Suspect
	// Departing: leaving; must get no new work.
	Departing
	// Resting: asked for no requests for a time.
	Resting
)

var healthNames = [...]string{"unknown", "live", "suspect", "leaving", "resting"}

// String returns the name used in the state dump.
func (h Health) String() string { return healthNames[h] }

// Health returns what is believed of an instance.
func (v *View) Health(name string, now time.Time) Health {
	i, listed := v.listed[name]
	if !listed {
		return Unknown
	}
	n := v.notes[name]
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

// RampFactor returns the part of its full share that an instance should get, above
// 0 to 1: one that came back after failures or a rest is loaded gradually.
func (v *View) RampFactor(name string, now time.Time) float64 {
	const least = 0.1
	n := v.notes[name]
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

// ForEach calls visit for each listed instance with its health.
func (v *View) ForEach(now time.Time, visit func(Instance, Health)) {
	for name, i := range v.listed {
		visit(i, v.Health(name, now))
	}
}

// Get returns the list's row of an instance.
func (v *View) Get(name string) (Instance, bool) {
	i, listed := v.listed[name]
	return i, listed
}
