package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/croftyard/croftyard/platform"
)

// brittle is what a replica bears that says it is brittle.
type brittle struct {
	// bears is how many requests it may turn away in a second.
	bears int
	// from is when it lets none wait any more; work is how long each takes.
	from time.Time
	work time.Duration
	// fall is called once it turned away too many.
	fall     func()
	rejected []time.Time
}

// Brittle makes each further answer say that the replica is brittle. From a time on requests
// take longer, those beyond its slots are turned away, and fall is called if these are more
// than it bears in a second.
func (r *Replica) Brittle(bears int, from time.Time, work time.Duration, fall func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.brittle = &brittle{bears: bears, from: from, work: work, fall: fall}
}

// Sturdy ends that.
func (r *Replica) Sturdy() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.brittle = nil
}

// admitBrittle reports whether a request is taken, and how long it takes longer than usual. One
// that is not is answered.
func (r *Replica) admitBrittle(w http.ResponseWriter, run *ReplicaRun) (longer time.Duration, taken bool) {
	now := time.Now()
	r.mu.Lock()
	b := r.brittle
	if b == nil {
		r.mu.Unlock()
		return 0, true
	}
	w.Header().Set(platform.Dialect().Brittle, strconv.Itoa(b.bears))
	if now.Before(b.from) {
		r.mu.Unlock()
		return 0, true
	}
	running := 0
	for _, other := range r.runs {
		if other != run && other.Ended.IsZero() {
			running++
		}
	}
	if running < r.Options.Slots {
		r.mu.Unlock()
		return b.work, true
	}
	b.rejected = append(b.rejected, now)
	for now.Sub(b.rejected[0]) >= time.Second {
		b.rejected = b.rejected[1:]
	}
	falls := len(b.rejected) > b.bears
	if falls {
		r.brittle = nil
	}
	run.Refused = true
	r.mu.Unlock()
	w.Header().Set(platform.Dialect().NotExecuted, "full")
	w.WriteHeader(http.StatusServiceUnavailable)
	if falls {
		go b.fall()
	}
	return 0, false
}
