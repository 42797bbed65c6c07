package policy

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/croftyard/croftyard/pkg/kv"
)

// Keys in the store.
const (
	// HeadKey holds the head.
	HeadKey = "croftyard/config/head"
	// segmentKeyPrefix followed by a hash holds a segment's text.
	segmentKeyPrefix = "croftyard/config/segment/"
)

// SegmentKey returns the key under which a segment's text is stored.
func SegmentKey(h Hash) string { return segmentKeyPrefix + string(h) }

// Proposal is an edit that an operator requests.
type Proposal struct {
	// ID must be new and random; it shows whether an edit took effect whose answer was lost.
	ID     string
	Author string
	Note   string
	At     time.Time
	// Base is the version on which the operator based the edit.
	Base uint64
	// Put lists the segments to set, Delete those to remove.
	Put    []Segment
	Delete []SegmentID
}

// Conflict is the error of an edit whose segment another edit changed.
type Conflict struct {
	Segment SegmentID
	// Base is the segment's hash at the proposal's base version, Current the one in force.
	Base    Hash
	Current Hash
	// Version is the version in force.
	Version uint64
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("%v: [%s] was changed since the base version, in force is version %d", ErrConflict, c.Segment, c.Version)
}

// Unwrap lets errors.Is find ErrConflict.
func (c *Conflict) Unwrap() error { return ErrConflict }

// maxAttempts bounds how often an edit is rebased on others' edits or repeated
// after a lost answer.
const maxAttempts = 16

// Apply brings a proposal into force and returns the head that contains it.
//
// The proposal is silently rebased on edits of other segments since its base; an
// edit of the same segment results in a *Conflict. After a lost answer the head is
// read again: if it contains the edit's ID, the edit took effect. After
// ErrOutcomeUnknown, call Apply again with the same proposal to learn the outcome.
func Apply(ctx context.Context, store kv.Store, p Proposal) (Head, error) {
	for _, s := range p.Put {
		if err := putSegment(ctx, store, s); err != nil {
			return Head{}, err
		}
	}
	unsettled := false
	for range maxAttempts {
		head, err := tryApply(ctx, store, p)
		switch {
		case err == nil:
			return head, nil
		case errors.Is(err, kv.ErrConflict):
			continue
		case errors.Is(err, kv.ErrUnknown):
			unsettled = true
			continue
		case unsettled && (errors.Is(err, kv.ErrUnavailable) || errors.Is(err, ErrUnavailable)):
			// The swap whose answer was lost may be in force or still be delivered.
			return Head{}, fmt.Errorf("%w: edit %s: %v", ErrOutcomeUnknown, p.ID, err)
		default:
			return Head{}, convertError(err)
		}
	}
	if unsettled {
		return Head{}, fmt.Errorf("%w: edit %s: no answer in %d tries", ErrOutcomeUnknown, p.ID, maxAttempts)
	}
	return Head{}, fmt.Errorf("%w: edit %s lost %d races", ErrUnavailable, p.ID, maxAttempts)
}

func tryApply(ctx context.Context, store kv.Store, p Proposal) (Head, error) {
	entry, err := readRetrying(ctx, store, HeadKey)
	if err != nil {
		return Head{}, err
	}
	head, err := DecodeHead(entry.Value)
	if err != nil {
		return Head{}, err
	}
	if _, done := head.EditByID(p.ID); done {
		return head, nil
	}
	next, err := rebase(ctx, store, head, p)
	if err != nil {
		return Head{}, err
	}
	if _, err := store.Swap(ctx, HeadKey, entry.Revision, next.Encode(), kv.NoLease); err != nil {
		return Head{}, err
	}
	return next, nil
}

// rebase checks the proposal against the head in force and returns the next head.
func rebase(ctx context.Context, store kv.Store, head Head, p Proposal) (Head, error) {
	base, err := head.SegmentsAt(p.Base)
	if err != nil {
		return Head{}, err
	}
	edit := Edit{ID: p.ID, Author: p.Author, Note: p.Note, At: p.At.UTC()}
	for _, s := range p.Put {
		edit.Changes = append(edit.Changes, Change{Kind: s.ID.Kind, Name: s.ID.Name, After: s.Hash})
	}
	for _, n := range p.Delete {
		edit.Changes = append(edit.Changes, Change{Kind: n.Kind, Name: n.Name})
	}
	atBase := Head{Segments: base}
	for i, c := range edit.Changes {
		was, is := atBase.SegmentHash(c.Kind, c.Name), head.SegmentHash(c.Kind, c.Name)
		if was != is {
			return Head{}, &Conflict{Segment: SegmentID{Kind: c.Kind, Name: c.Name}, Base: was, Current: is, Version: head.Version}
		}
		edit.Changes[i].Before = is
	}
	edit.Changes = slices.DeleteFunc(edit.Changes, func(c Change) bool { return c.Before == c.After })
	next := head.apply(edit)
	if len(next.Encode()) > kv.MaxValue {
		return Head{}, fmt.Errorf("%w: the head would exceed %d bytes", ErrInvalid, kv.MaxValue)
	}
	_, err = LoadSnapshot(ctx, store, next, nil)
	return next, err
}

// Rollback returns the segments to put and to remove to restore an earlier version.
func Rollback(head Head, version uint64) (put []Entry, remove []SegmentID, err error) {
	old, err := head.SegmentsAt(version)
	if err != nil {
		return nil, nil, err
	}
	for _, e := range old {
		if head.SegmentHash(e.Kind, e.Name) != e.Hash {
			put = append(put, e)
		}
	}
	past := Head{Segments: old}
	for _, e := range head.Segments {
		if past.SegmentHash(e.Kind, e.Name) == "" {
			remove = append(remove, SegmentID{Kind: e.Kind, Name: e.Name})
		}
	}
	return put, remove, nil
}

// putSegment stores a segment. Segments are immutable, so an existing one is a success.
func putSegment(ctx context.Context, store kv.Store, s Segment) error {
	var err error
	for range maxAttempts {
		_, err = store.Swap(ctx, SegmentKey(s.Hash), 0, s.Text, kv.NoLease)
		if err == nil || errors.Is(err, kv.ErrConflict) {
			return nil
		}
		if !errors.Is(err, kv.ErrUnknown) {
			return convertError(err)
		}
	}
	// The head was not changed, so the edit is not in force even if the segment was stored.
	return fmt.Errorf("%w: storing [%s]: %v", ErrUnavailable, s.ID, err)
}

// readRetrying reads a key and repeats reads whose answer was lost.
func readRetrying(ctx context.Context, store kv.Store, key string) (kv.Entry, error) {
	var err error
	for range maxAttempts {
		var entry kv.Entry
		entry, err = store.Get(ctx, key)
		if !errors.Is(err, kv.ErrUnknown) {
			return entry, err
		}
	}
	return kv.Entry{}, fmt.Errorf("%w: %v", kv.ErrUnavailable, err)
}

// convertError converts the store's errors into this package's.
func convertError(err error) error {
	switch {
	case errors.Is(err, kv.ErrUnavailable):
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	case errors.Is(err, kv.ErrUnknown):
		return fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
	case errors.Is(err, kv.ErrTooLarge):
		return fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	return err
}
