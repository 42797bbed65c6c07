package front

import (
	"time"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/upstream"
)

// ReplicaRestarted records that a replica started again under its id. The requests that it
// recently broke off count as crashes, and its earlier statements no longer hold.
func (f *Front) ReplicaRestarted(id string, now time.Time) {
	f.watcher.Statements().MarkRestarted(id, now)
	for _, b := range f.broken.Take(id, now) {
		f.recordCrash(id, b, now)
	}
}

// ReplicaRemoved records that a replica is no longer listed. Only one that rejected
// connections after a broken request counts as crashed: a replica that still listened has
// left, and behind a network partition entries expire too. One that refused connections is
// still probed.
func (f *Front) ReplicaRemoved(id string, now time.Time) {
	for _, b := range f.broken.Take(id, now) {
		switch b.State {
		case upstream.Rejecting:
			f.recordCrash(id, b, now)
		case upstream.Ended:
			f.broken.Note(id, b, now)
		}
	}
}

// confirmEnds records the crashes of replicas that refused connections while this router reached
// no other one, if they still do now that it does.
func (f *Front) confirmEnds(now time.Time) {
	for id, last := range f.broken.Refused(now) {
		if !f.balancer.ReachedSince(last.At, id) {
			continue
		}
		f.lostPathProbes.Go(func() {
			began := steady.Now()
			state := f.processState(id, last.Address, began)
			for _, b := range f.broken.Settle(id, state, began) {
				f.recordCrash(id, b, steady.Now())
			}
		})
	}
}
