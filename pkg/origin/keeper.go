package origin

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// The versions that served lately are lost with the routers that observed them. One small record
// per service in the store outlives them:
//
//	a version begins to serve            the first router by rank adds it
//	it last served a lifetime ago        that router removes it
//	a router lacks what served before    it reads the records once, when it needs them
//
// A record holds at least the versions that served within a stream's lifetime before it is read,
// but for those that are not written yet, at which streams begin only if no others have room
// (confirmed.go).

// ErrConflict means that another router wrote a record meanwhile.
var ErrConflict = errors.New("origin: record was written meanwhile")

// Store holds the records.
type Store interface {
	// ReadServed returns all records, and the store's generation, 0 if it states none.
	ReadServed(ctx context.Context) (records []Stored, generation uint64, err error)
	// WriteServed writes records that have the revisions stated, all or none, and returns their
	// new revision, or ErrConflict if one of them has another.
	WriteServed(ctx context.Context, records []Stored) (revision uint64, err error)
}

const (
	// Keepers is how many routers look after the records: the first by rank, and some that make
	// up for it.
	Keepers = 3
	// keeperPatience is how long each waits for the one before it.
	keeperPatience = 2 * time.Second
	// keeperPause is the pause after a call to the store that failed.
	keeperPause = time.Second
	// rereadPeriod is after what time these routers read the records again. Another writer, or a
	// write whose answer was lost, may have changed them.
	rereadPeriod = 30 * time.Second
	// maxWrites is how many records are written at a time. Each is two entries of a transaction.
	maxWrites = 16
)

// Keeper decides when this router reads and writes the records. It is safe for concurrent use.
type Keeper struct {
	mu         sync.Mutex
	stored     map[string]Stored
	generation uint64
	readAt     time.Time
	// missingSince is when the records were first seen to lack something, or not to be known.
	missingSince time.Time
	failedAt     time.Time
	// overtaken is set if a record was changed since the last read began.
	overtaken bool
	// follows is set while another router is the first by rank.
	follows bool
}

// Step is what a Keeper wants done: a read of the records, or the write of some.
type Step struct {
	Read  bool
	Write []Stored
}

// Next returns what is to be done now, given what served lately, the store's generation as far as it is
// known, and how many routers precede this one.
func (k *Keeper) Next(served []Served, generation uint64, rank int, now time.Time) Step {
	k.mu.Lock()
	defer k.mu.Unlock()
	if rank == 0 && k.follows {
		// Another router looked after the records until now.
		k.readAt = time.Time{}
	}
	k.follows = rank > 0
	known := !k.readAt.IsZero() && k.generation >= generation && now.Sub(k.readAt) < rereadPeriod
	outdated := k.outdated(served, rank)
	if known && len(outdated) == 0 || len(served) == 0 {
		k.missingSince = time.Time{}
		return Step{}
	}
	if k.missingSince.IsZero() {
		k.missingSince = now
	}
	if rank >= Keepers || now.Sub(k.missingSince) < time.Duration(rank)*keeperPatience || now.Sub(k.failedAt) < keeperPause {
		return Step{}
	}
	if !known || rank > 0 && k.readAt.Before(k.missingSince.Add(time.Duration(rank)*keeperPatience)) {
		return Step{Read: true}
	}
	return Step{Write: outdated[:min(len(outdated), maxWrites)]}
}

// outdated returns the records that lack something or, for the first router by rank, hold too much:
// two routers may see at different times that a version left. k.mu must be held.
func (k *Keeper) outdated(served []Served, rank int) []Stored {
	var list []Stored
	for _, s := range served {
		had := k.stored[s.Service]
		reliable := had.Revision > 0 && had.Generation == k.generation
		wanted, kept := s.Versions, statable(s.Lifetime)
		// By a list that is too old, versions that serve may be missing.
		complete := s.Complete && !s.Stale
		switch {
		case len(s.Versions) == 0:
			// No replica was listed for a lifetime. A record that names no version is not relied on.
			continue
		case !complete && !reliable:
			// A record claims to hold all versions of a lifetime.
			continue
		case !complete || rank > 0:
			if reliable && containsAll(had.Versions, s.Serving) {
				continue
			}
			wanted = union(had.Versions, s.Versions)
			if reliable && had.Kept == 0 {
				kept = 0
			} else if reliable {
				kept = max(had.Kept, kept)
			}
		case reliable && slices.Equal(had.Versions, s.Versions) && had.Kept == kept:
			continue
		}
		list = append(list, Stored{s.Service, wanted, k.generation, had.Revision, kept})
	}
	return list
}

func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

func containsAll(list, wanted []string) bool {
	return !slices.ContainsFunc(wanted, func(version string) bool { return !slices.Contains(list, version) })
}

// Loaded notes the records of a read that began at a time, and returns those that can be relied on: not one
// that another call found changed meanwhile.
func (k *Keeper) Loaded(records []Stored, generation uint64, begun time.Time) (reliable []Stored) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known := k.stored
	k.overtaken = false
	k.stored, k.generation, k.readAt = make(map[string]Stored), generation, begun
	for _, r := range records {
		k.stored[r.Service] = r
		switch {
		case r.Generation != generation:
		case known[r.Service].Generation == generation && known[r.Service].Revision > r.Revision:
			// The store may also have come back from a copy.
			k.overtaken, k.readAt = true, time.Time{}
		default:
			reliable = append(reliable, r)
		}
	}
	return reliable
}

// Overtaken reports whether a record was changed since the last read began, so that another one is due.
func (k *Keeper) Overtaken() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.overtaken
}

// Written notes that records were written with a revision.
func (k *Keeper) Written(records []Stored, revision uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range records {
		r.Revision = revision
		k.stored[r.Service] = r
	}
}

// Distrust makes the records be read again.
func (k *Keeper) Distrust() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.readAt = time.Time{}
}

// Failed notes that a call to the store failed. What is known of the records may be outdated.
func (k *Keeper) Failed(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.readAt, k.failedAt = time.Time{}, now
}

// MayName reports whether the record of a service names a version that replicas state, or was not read.
func (k *Keeper) MayName(service string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stored == nil || slices.ContainsFunc(k.stored[service].Versions, func(version string) bool { return version != "" })
}

// Lacks reports whether the records were read and none is of the service.
func (k *Keeper) Lacks(service string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, recorded := k.stored[service]
	return k.stored != nil && !recorded
}

// Recorded returns the versions that the record of a service names and the record's generation. Only
// the first router by rank knows what was removed from it, so there are none for others, or while the
// record is not reliable.
func (k *Keeper) Recorded(service string) (versions []string, generation uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := k.stored[service]
	if k.follows || k.readAt.IsZero() || r.Revision == 0 || r.Generation != k.generation {
		return nil, 0
	}
	return r.Versions, r.Generation
}
