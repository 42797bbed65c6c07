package policy

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/croftyard/croftyard/pkg/kv"
)

// Cache holds segments by hash, so that after an edit only changed segments are fetched.
type Cache map[Hash]Segment

// LoadSnapshot fetches the head's segments that are not in cache (which may be nil),
// validates them together and returns the snapshot. The cache then holds only
// the head's segments.
func LoadSnapshot(ctx context.Context, store kv.Store, head Head, cache Cache) (*Snapshot, error) {
	segments := make([]Segment, 0, len(head.Segments))
	for _, e := range head.Segments {
		if s, found := cache[e.Hash]; found {
			segments = append(segments, s)
			continue
		}
		entry, err := readRetrying(ctx, store, SegmentKey(e.Hash))
		if err != nil {
			return nil, convertError(err)
		}
		s, err := ParseSegment(e.Hash, entry.Value)
		if err != nil {
			return nil, err
		}
		segments = append(segments, s)
	}
	return resolveSnapshot(head, segments, cache)
}

func resolveSnapshot(head Head, segments []Segment, cache Cache) (*Snapshot, error) {
	snapshot, err := Resolve(head.Version, segments)
	if err != nil {
		return nil, err
	}
	if cache != nil {
		clear(cache)
		for _, s := range segments {
			cache[s.Hash] = s
		}
	}
	return snapshot, nil
}

// AssembleSnapshot builds a snapshot from a head and texts from a peer. Every text is
// checked against its hash, so a peer can delay a segment but not forge it.
func AssembleSnapshot(head Head, texts map[Hash][]byte, cache Cache) (*Snapshot, error) {
	segments := make([]Segment, 0, len(head.Segments))
	for _, e := range head.Segments {
		if s, found := cache[e.Hash]; found {
			segments = append(segments, s)
			continue
		}
		text, found := texts[e.Hash]
		if !found {
			return nil, fmt.Errorf("%w: segment %s is missing", ErrInvalid, e.Hash)
		}
		s, err := ParseSegment(e.Hash, text)
		if err != nil {
			return nil, err
		}
		segments = append(segments, s)
	}
	return resolveSnapshot(head, segments, cache)
}

// ActiveSnapshot holds the snapshot in force in one process. Its version only grows.
type ActiveSnapshot struct {
	current atomic.Pointer[Snapshot]
}

// Current returns the snapshot in force, or nil before the first.
func (a *ActiveSnapshot) Current() *Snapshot {
	return a.current.Load()
}

// AdoptIfNewer adopts s if its version is larger than the one in force and tells
// whether it did.
func (a *ActiveSnapshot) AdoptIfNewer(s *Snapshot) bool {
	for {
		old := a.current.Load()
		if old != nil && s.Version <= old.Version {
			return false
		}
		if a.current.CompareAndSwap(old, s) {
			return true
		}
	}
}
