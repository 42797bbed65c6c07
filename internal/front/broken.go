package front

import (
	"sync"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/upstream"
	"github.com/croftyard/croftyard/pkg/poison"
)

// brokenRequest is a request whose answer ended early at a replica.
type brokenRequest struct {
	digest poison.Digest
	// parts are those of its prompt if its answer had not got beyond its beginning, and
	// organisation is whose prompt it is.
	parts        []poison.Digest
	organisation uint32
	at           time.Time
	state        upstream.ProcessState
	// incarnation identifies the replica's process that had the request, address is its.
	incarnation string
	address     string
	fields      []event.Field
}

// brokenRequests keeps broken requests whose replica was not seen to have ended: it may
// already run again, or a proxy in front of it may still accept connections. A later report
// of the replica's start, or the removal of its entry, shows whether it crashed. One that refused
// connections while this router reached no other replica is probed again once it does.
type brokenRequests struct {
	mu   sync.Mutex
	kept map[string][]brokenRequest
}

const (
	// brokenTTL is how long after a broken request a restart of the replica, or the removal
	// of its entry, counts as a crash: an entry expires after three heartbeats, a replica is
	// back after some seconds, and the list may be read late.
	brokenTTL = 8 * time.Second
	// maxBrokenPerReplica bounds how many requests are kept for one replica.
	maxBrokenPerReplica = 64
)

func (b *brokenRequests) note(id string, one brokenRequest, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.kept == nil {
		b.kept = make(map[string][]brokenRequest)
	}
	for other, list := range b.kept {
		if now.Sub(list[len(list)-1].at) > brokenTTL {
			delete(b.kept, other)
		}
	}
	if len(b.kept[id]) < maxBrokenPerReplica {
		b.kept[id] = append(b.kept[id], one)
	}
}

// take removes a replica's broken requests and returns the recent ones.
func (b *brokenRequests) take(id string, now time.Time) []brokenRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	var recent []brokenRequest
	for _, one := range b.kept[id] {
		if now.Sub(one.at) <= brokenTTL {
			recent = append(recent, one)
		}
	}
	delete(b.kept, id)
	return recent
}

// refused returns, by replica, the last recent request after which it refused connections.
func (b *brokenRequests) refused(now time.Time) map[string]brokenRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	last := make(map[string]brokenRequest)
	for id, list := range b.kept {
		for _, one := range list {
			if one.state == upstream.Ended && now.Sub(one.at) <= brokenTTL {
				last[id] = one
			}
		}
	}
	return last
}

// settle applies what a probe of a replica found, which began at a time, to earlier requests after
// which the replica refused connections. If it still does, they are removed and returned.
func (b *brokenRequests) settle(id string, state upstream.ProcessState, began time.Time) []brokenRequest {
	if state == upstream.Unreachable {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var crashed, rest []brokenRequest
	for _, one := range b.kept[id] {
		switch {
		case one.state != upstream.Ended || one.at.After(began):
			rest = append(rest, one)
		case state == upstream.Ended:
			crashed = append(crashed, one)
		default:
			one.state = state
			rest = append(rest, one)
		}
	}
	b.kept[id] = rest
	if len(rest) == 0 {
		delete(b.kept, id)
	}
	return crashed
}

// ReplicaRestarted records that a replica started again under its id. The requests that it
// recently broke off count as crashes, and its earlier statements no longer hold.
func (f *Front) ReplicaRestarted(id string, now time.Time) {
	f.watcher.Statements().MarkRestarted(id, now)
	for _, b := range f.broken.take(id, now) {
		f.recordCrash(id, b, now)
	}
}

// ReplicaRemoved records that a replica is no longer listed. Only one that rejected
// connections after a broken request counts as crashed: a replica that still listened has
// left, and behind a network partition entries expire too. One that refused connections is
// still probed.
func (f *Front) ReplicaRemoved(id string, now time.Time) {
	for _, b := range f.broken.take(id, now) {
		switch b.state {
		case upstream.Rejecting:
			f.recordCrash(id, b, now)
		case upstream.Ended:
			f.broken.note(id, b, now)
		}
	}
}

// confirmEnds records the crashes of replicas that refused connections while this router reached
// no other one, if they still do now that it does.
func (f *Front) confirmEnds(now time.Time) {
	for id, last := range f.broken.refused(now) {
		if !f.balancer.ReachedSince(last.at, id) {
			continue
		}
		f.lostPathProbes.Go(func() {
			began := steady.Now()
			state := f.processState(id, last.address, began)
			for _, b := range f.broken.settle(id, state, began) {
				f.recordCrash(id, b, steady.Now())
			}
		})
	}
}
