package front

import (
	"sync"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/upstream"
	"github.com/croftyard/croftyard/pkg/poison"
)

// brokenOff is a request that a replica broke off.
type brokenRequest struct {
	digest poison.Digest
	at     time.Time
	state  upstream.ProcessState
	// life is which of the replica's lives it was sent to.
	incarnation string
	fields      []event.Field
}

// breaks keeps requests that were broken off while it was not seen that their replica
// ended: it may be back already, or something that stands before it takes connections
// still. What it says of its start, or that its entry goes, tells later.
type brokenRequests struct {
	mu   sync.Mutex
	kept map[string][]brokenRequest
}

const (
	// brokenKept is how long after a break a restart, or the end of the replica's entry,
	// tells that the replica had crashed: its entry goes after three heartbeats, a replica is
	// back after some seconds, and the list may be read late.
	brokenKept = 8 * time.Second
	// maxBrokenKept bounds what is kept of one replica.
	maxBrokenKept = 64
)

func (b *brokenRequests) note(id string, one brokenRequest, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.kept == nil {
		b.kept = make(map[string][]brokenRequest)
	}
	for other, list := range b.kept {
		if now.Sub(list[len(list)-1].at) > brokenKept {
			delete(b.kept, other)
		}
	}
	if len(b.kept[id]) < maxBrokenKept {
		b.kept[id] = append(b.kept[id], one)
	}
}

// take returns the requests that a replica broke off recently, which are then forgotten.
func (b *brokenRequests) take(id string, now time.Time) []brokenRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	var recent []brokenRequest
	for _, one := range b.kept[id] {
		if now.Sub(one.at) <= brokenKept {
			recent = append(recent, one)
		}
	}
	delete(b.kept, id)
	return recent
}

// ReplicaRestarted notes that a replica started again under its id: what it broke off recently it
// crashed under, and its earlier statements end.
func (f *Front) ReplicaRestarted(id string, now time.Time) {
	f.watcher.Statements().MarkRestarted(id, now)
	for _, b := range f.broken.take(id, now) {
		f.noteCrash(id, b, now)
	}
}

// ReplicaRemoved notes that a replica is listed no more. One that was there after it broke a
// request off has left, and behind a cut entries lapse too.
func (f *Front) ReplicaRemoved(id string, now time.Time) {
	for _, b := range f.broken.take(id, now) {
		if b.state == upstream.Rejecting {
			f.noteCrash(id, b, now)
		}
	}
}
