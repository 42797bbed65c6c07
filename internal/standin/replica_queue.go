package standin

import (
	"fmt"
	"net/http"
	"sync/atomic"

	"github.com/croftyard/croftyard/platform"
)

// queue is the slots of a replica, and how many requests run or wait.
type queue struct {
	slots  chan struct{}
	inside atomic.Int64
}

// enter waits for a slot. It reports whether the request got one; a request that finds the queue
// full is turned away, marked as not run. leave frees the slot.
func (r *Replica) enter(w http.ResponseWriter, request *http.Request, run *ReplicaRun) (leave func(), entered bool) {
	if r.Options.Queue == 0 {
		return func() {}, true
	}
	if inside := r.queue.inside.Add(1); inside > int64(r.Options.Slots+r.Options.Queue) {
		r.queue.inside.Add(-1)
		r.change(run, func() { run.Refused = true })
		r.stateLoad(w)
		w.Header().Set(platform.Dialect().NotExecuted, "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return nil, false
	}
	select {
	case r.queue.slots <- struct{}{}:
	case <-request.Context().Done():
		r.queue.inside.Add(-1)
		return nil, false
	}
	r.stateLoad(w)
	return func() {
		<-r.queue.slots
		r.queue.inside.Add(-1)
	}, true
}

// stateLoad states the requests that run and wait, and the slots.
func (r *Replica) stateLoad(w http.ResponseWriter) {
	if !r.Options.StatesLoad {
		return
	}
	inside, slots := int(r.queue.inside.Load()), r.Options.Slots
	w.Header().Set(platform.Dialect().Load, fmt.Sprintf("%d,%d,%d", min(inside, slots), max(inside-slots, 0), slots))
}
