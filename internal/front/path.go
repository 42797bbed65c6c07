package front

import (
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/upstream"
	"github.com/croftyard/croftyard/pkg/balance"
)

// probePath opens a connection to a replica and reports the result to the balancer.
func (f *Front) probePath(id, address string) upstream.ProcessState {
	state := f.processState(id, address)
	switch state {
	case upstream.Listening:
		f.balancer.Connected(id, steady.Now())
	case upstream.Unreachable:
		f.reportFailure("", id, balance.Unreachable)
	case upstream.Rejecting, upstream.Ended:
		f.reportFailure("", id, balance.Refused)
	}
	return state
}

// VerifyReplica checks in the background whether this router reaches a replica that others
// reported to be out of reach.
func (f *Front) VerifyReplica(id, address string) { go f.probePath(id, address) }

// ProbeLostPaths opens connections to replicas that this router lost the path to, so that
// its return is noticed without a request.
func (f *Front) ProbeLostPaths() {
	for _, r := range f.balancer.PathProbes(steady.Now()) {
		go func() {
			if f.processState(r.ID, r.Address) == upstream.Listening {
				f.balancer.Connected(r.ID, steady.Now())
				return
			}
			f.balancer.ProbeFailed(r.ID, steady.Now())
		}()
	}
}
