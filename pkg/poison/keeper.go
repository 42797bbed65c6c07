package poison

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrConflict means that another router wrote the record meanwhile.
var ErrConflict = errors.New("poison: record was written meanwhile")

// Store holds the record.
type Store interface {
	// ReadHeld returns the record. With stale it may be some seconds old. If the error is
	// ErrRecord, the record has its revision and nothing else.
	ReadHeld(ctx context.Context, stale bool) (Record, error)
	// WriteHeld writes a record that has the revision stated, and returns its new revision, or
	// ErrConflict if it has another.
	WriteHeld(ctx context.Context, r Record) (revision uint64, err error)
}

const (
	// Keepers is how many routers look after the record: the first by rank, and some that make up
	// for it. Each waits keeperPatience for the one before it.
	Keepers        = 3
	keeperPatience = 2 * time.Second
	// keeperPause is the pause after a write, or a call that failed, and heldPause what is added for
	// each request or part that is held. An organisation that has ever new requests crash replicas
	// changes the record as often as that, and routers that read the store's changes receive it:
	// some 4 KB a second.
	keeperPause = time.Second
	heldPause   = 50 * time.Millisecond
)

// Step is what a Keeper wants done.
type Step uint8

// The steps.
const (
	NoStep Step = iota
	// ReadRecordStep asks for a read of the record, and WriteRecordStep for a write of what is held.
	ReadRecordStep
	WriteRecordStep
	// AskStep asks for a query of the routers that keep the record, and ReadStaleStep for a stale
	// read of it.
	AskStep
	ReadStaleStep
)

// Keeper decides when this router reads and writes the record. It is safe for concurrent use.
type Keeper struct {
	mu sync.Mutex
	// known is set if the record's revision, and how many crashes it states of each digest, are known.
	known    bool
	revision uint64
	stored   map[Digest]int
	// since is when each digest that is held was first seen.
	since             map[Digest]time.Time
	readAt, pauseFrom time.Time
	recheck           recheck
}

// Next returns what is to be done now, given what is held and how many routers precede this one.
func (k *Keeper) Next(held Record, rank int, now time.Time) Step {
	k.mu.Lock()
	defer k.mu.Unlock()
	if rank >= Keepers {
		k.since = nil
		return NoStep
	}
	wanted := crashCounts(held)
	k.observe(wanted, now)
	extra := time.Duration(len(wanted)) * heldPause
	if !k.pauseFrom.IsZero() && now.Sub(k.pauseFrom) < keeperPause+extra {
		return NoStep
	}
	if rank > 0 {
		return k.makeUp(wanted, time.Duration(rank)*(keeperPatience+extra), now)
	}
	switch {
	case k.known && k.matches(wanted), !k.known && len(wanted) == 0:
		return NoStep
	case !k.known:
		return ReadRecordStep
	}
	return WriteRecordStep
}

// makeUp returns what a router does that waits so long for those before it.
func (k *Keeper) makeUp(wanted map[Digest]int, patience time.Duration, now time.Time) Step {
	step := NoStep
	for d := range wanted {
		due := k.since[d].Add(patience)
		if _, stored := k.stored[d]; stored && k.known || now.Before(due) {
			continue
		}
		if !k.known || k.readAt.Before(due) {
			// Others write meanwhile, so one read is for all that become due within the patience.
			if k.readAt.IsZero() || !k.known || now.Sub(k.readAt) >= patience {
				return ReadRecordStep
			}
			continue
		}
		step = WriteRecordStep
	}
	return step
}

// observe records since when digests are held. k.mu must be held.
func (k *Keeper) observe(wanted map[Digest]int, now time.Time) {
	since := make(map[Digest]time.Time, len(wanted))
	for d := range wanted {
		at, seen := k.since[d]
		if !seen {
			at = now
		}
		since[d] = at
	}
	k.since = since
}

// matches reports whether the record states the wanted digests and crashes. k.mu must be held.
func (k *Keeper) matches(wanted map[Digest]int) bool {
	if len(wanted) != len(k.stored) {
		return false
	}
	for d, crashes := range wanted {
		if k.stored[d] != crashes {
			return false
		}
	}
	return true
}

// crashCounts returns how many crashes a record states of each digest, and the same for brittle
// services. Requests, parts and services have no digest in common.
func crashCounts(r Record) map[Digest]int {
	counts := make(map[Digest]int, r.Len())
	for _, list := range [][]HeldMarks{r.Requests, r.Parts} {
		for _, h := range list {
			counts[h.Digest] = len(h.Crashes)
		}
	}
	r.Brittle.add(counts)
	return counts
}

// Revision returns the record's revision as far as it is known.
func (k *Keeper) Revision() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.revision
}

// Loaded notes the record that was read as it is.
func (k *Keeper) Loaded(r Record, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.load(r, now)
	k.recheck = recheck{}
}

// load notes a record. k.mu must be held.
func (k *Keeper) load(r Record, now time.Time) {
	k.known, k.revision, k.stored, k.readAt = true, r.Revision, crashCounts(r), now
}

// Written notes that a record was written with its revision.
func (k *Keeper) Written(r Record, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.known, k.revision, k.stored, k.pauseFrom = true, r.Revision, crashCounts(r), now
	k.recheck = recheck{}
}

// Distrust makes the record be read again before it is written.
func (k *Keeper) Distrust() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.known = false
	if k.recheck.pending {
		// The revision that another router stated may be one of before.
		k.recheck = recheck{pending: true}
	}
}

// Failed notes that a call to the store failed. What is known of the record may be outdated.
func (k *Keeper) Failed(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.known, k.pauseFrom = false, now
}
