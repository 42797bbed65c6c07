package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/croftyard/croftyard/platform"
)

// Announce makes each further answer announce the replica's shutdown.
func (r *Replica) Announce() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.announcing = true
}

// rest is a time in which requests are turned away.
type rest struct {
	until time.Time
	// asked is for how long each answer asks for no further requests.
	asked time.Duration
}

// Rest turns all requests away for a while, each with an answer that asks for no further
// ones for a time, which may end before the while does or after it.
func (r *Replica) Rest(d, asked time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rest = rest{until: time.Now().Add(d), asked: asked}
}

// restAsked returns for how long a request's answer is to ask for no further ones; 0 if
// the request is taken.
func (r *Replica) restAsked() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().After(r.rest.until) {
		return 0
	}
	return r.rest.asked
}

// turnAway answers that a request is not run, and asks for rest.
func (r *Replica) turnAway(w http.ResponseWriter, run *ReplicaRun, asked time.Duration) {
	r.change(run, func() { run.Refused, run.Rest = true, asked })
	w.Header().Set(platform.Dialect().NotExecuted, "resting")
	w.Header().Set("Retry-After", strconv.FormatFloat(asked.Seconds(), 'f', -1, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (r *Replica) isAnnouncing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.announcing
}
