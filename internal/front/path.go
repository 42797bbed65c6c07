package front

import (
	"slices"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/upstream"
	"github.com/croftyard/croftyard/pkg/balance"
)

// probePath opens a connection to a replica and reports to the balancer if it stays open or is
// reset. Other failures may be those of a replica that starts again. The probe begins at since or
// later.
func (f *Front) probePath(id, address string, since time.Time) upstream.ProcessState {
	state := f.processState(id, address, since)
	switch state {
	case upstream.Listening:
		f.balancer.Connected(id, steady.Now())
	case upstream.Rejecting:
		f.reportFailure("", id, balance.Refused)
		f.balancer.ConnectionsReset(id)
	}
	return state
}

// VerifyReplica checks in the background whether this router reaches a replica that others
// reported to be out of reach.
func (f *Front) VerifyReplica(id, address string) {
	go func() {
		switch f.processState(id, address, steady.Now()) {
		case upstream.Listening:
			f.balancer.Connected(id, steady.Now())
		case upstream.Rejecting:
			f.verificationFailed(id, balance.Refused)
			f.balancer.ConnectionsReset(id)
		case upstream.Ended:
			f.verificationFailed(id, balance.Refused)
		case upstream.Unreachable:
			f.verificationFailed(id, balance.Unreachable)
		}
	}()
}

func (f *Front) verificationFailed(id string, kind balance.Failure) {
	f.balancer.VerificationFailed(id, kind, f.options.DataCentre, steady.Now())
	f.log.Write(event.EngineSuspect, event.F("request", ""), event.F("replica", id), event.F("kind", kind.String()))
}

// maxControlProbes bounds the other replicas that are probed before one that refuses
// connections is taken to have ended.
const maxControlProbes = 16

// reachesOthers reports whether this router reached another replica of any service after a
// time, or reaches one now. If it reaches none, its own path may be lost. Other services count
// too, since a request may crash all replicas of its own. Without other replicas there is
// nothing to compare with, and the path is assumed to be sound.
func (f *Front) reachesOthers(id string, since time.Time) bool {
	if f.balancer.ReachedSince(since, id) {
		return true
	}
	others := f.balancer.OtherReplicas(id, maxControlProbes)
	reached := make(chan bool, len(others))
	for _, r := range others {
		go func() { reached <- f.probePath(r.ID, r.Address, since) == upstream.Listening }()
	}
	for range others {
		if <-reached {
			return true
		}
	}
	return len(others) == 0
}

// ProbeLostPaths opens connections to replicas that this router lost the path to, so that
// its return is noticed without a request, and to those that refused connections while no other
// replica was reached. It logs which services were lost or reached again since the last call, and
// is not safe for concurrent use.
func (f *Front) ProbeLostPaths() {
	f.confirmEnds(steady.Now())
	f.logLostServices(f.balancer.LostServices(steady.Now()))
	for _, r := range f.balancer.PathProbes(steady.Now()) {
		f.lostPathProbes.Go(func() {
			if f.processState(r.ID, r.Address, steady.Now()) == upstream.Listening {
				f.balancer.Connected(r.ID, steady.Now())
				return
			}
			f.balancer.ProbeFailed(r.ID, steady.Now())
		})
	}
}

func (f *Front) logLostServices(lost []string) {
	for _, name := range lost {
		if !slices.Contains(f.lostServices, name) {
			f.log.Write(event.ServiceLost, event.F("service", name))
		}
	}
	for _, name := range f.lostServices {
		if !slices.Contains(lost, name) {
			f.log.Write(event.ServiceReached, event.F("service", name))
		}
	}
	f.lostServices = lost
}
