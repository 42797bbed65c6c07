package front

import (
	"sync"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/upstream"
	"github.com/croftyard/croftyard/pkg/poison"
)

// brokenOff is a request that a replica broke off.
type brokenOff struct {
	digest poison.Digest
	at     time.Time
	fate   upstream.Fate
	// life is which of the replica's lives it was sent to.
	life   string
	fields []event.Field
}

// breaks keeps requests that were broken off while it was not seen that their replica
// ended: it may be back already, or something that stands before it takes connections
// still. What it says of its start, or that its entry goes, tells later.
type breaks struct {
	mu   sync.Mutex
	kept map[string][]brokenOff
}

const (
	// breakLife is how long after a break a restart, or the end of the replica's entry,
	// tells that the replica had crashed: its entry goes after three heartbeats, a replica is
	// back after some seconds, and the list may be read late.
	breakLife = 8 * time.Second
	// maxBreaks bounds what is kept of one replica.
	maxBreaks = 64
)

func (b *breaks) note(id string, one brokenOff, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.kept == nil {
		b.kept = make(map[string][]brokenOff)
	}
	for other, list := range b.kept {
		if now.Sub(list[len(list)-1].at) > breakLife {
			delete(b.kept, other)
		}
	}
	if len(b.kept[id]) < maxBreaks {
		b.kept[id] = append(b.kept[id], one)
	}
}

// take returns the requests that a replica broke off lately, which are then forgotten.
func (b *breaks) take(id string, now time.Time) []brokenOff {
	b.mu.Lock()
	defer b.mu.Unlock()
	var lately []brokenOff
	for _, one := range b.kept[id] {
		if now.Sub(one.at) <= breakLife {
			lately = append(lately, one)
		}
	}
	delete(b.kept, id)
	return lately
}

// Restarted notes that a replica started again under its id: what it broke off lately it
// crashed under, and what it showed before says nothing any more.
func (f *Front) Restarted(id string, now time.Time) {
	f.follower.Statements().Restarted(id, now)
	for _, b := range f.breaks.take(id, now) {
		f.crashed(id, b, now)
	}
}

// Gone notes that a replica is listed no more. One that was there after it broke a
// request off has left, and behind a cut entries lapse too.
func (f *Front) Gone(id string, now time.Time) {
	for _, b := range f.breaks.take(id, now) {
		if b.fate == upstream.Closes {
			f.crashed(id, b, now)
		}
	}
}
