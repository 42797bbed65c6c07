package entry

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/directory"
)

// restingReplica is the replica of a service that asks for rest, and how many requests it got since.
type restingReplica struct {
	address  atomic.Pointer[string]
	arrivals atomic.Int64
}

// answer answers as one of the replicas of a service.
func (r *restingReplica) answer(w http.ResponseWriter, q *http.Request, number int) {
	own := q.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
	if resting := r.address.Load(); resting == nil || *resting != own {
		answers(w, q, number)
		return
	}
	r.arrivals.Add(1)
	w.Header().Set("Retry-After", "30")
	rejects(w, q, number)
}

// newRestingFleet starts routers, all of which know that a replica asked for rest.
func newRestingFleet(t *testing.T, routers int) (*retryFleet, *restingReplica) {
	t.Helper()
	r := &restingReplica{}
	f := newRetryFleet(t, routers, testRetryBounds(0.1, 10), map[string]replicaAnswer{"a": r.answer})
	rests := f.source.snapshot.Replicas[0]
	r.address.Store(&rests.Address)
	for _, e := range f.routers {
		for !f.knowsRest(e, rests) {
			f.post(e, "/a/x")
		}
	}
	r.arrivals.Store(0)
	return f, r
}

func (f *retryFleet) knowsRest(e *Entry, r directory.Replica) bool {
	x, excluded := e.front.Exclusion(r.ID, steady.Now())
	return excluded && x.Reason == directory.RestRequested
}

// replace ends a router and starts another one.
func (f *retryFleet) replace(n int) *Entry {
	routers := len(f.routers)
	f.routers[n].Kill()
	f.routers[n].Stop()
	assert.NoError(f.t, f.routers[n].Wait())
	f.routers = append(f.routers[:n], f.routers[n+1:]...)
	f.start(false)
	f.settle(routers)
	return f.routers[routers-1]
}

// Guards against requests to a replica that asked for rest, from a router that was not there when it did.
func TestRouterThatStartsKnowsWhoAskedForRest(t *testing.T) {
	const requests = 40
	f, rests := newRestingFleet(t, 3)
	for range f.routers {
		served, e := 0, f.replace(0)
		for range requests {
			if f.post(e, "/a/x") {
				served++
			}
		}
		assert.Equal(t, requests, served)
	}
	assert.Zero(t, rests.arrivals.Load())
}
