package policy

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// maxEdits bounds the edits kept in the head, and with it how far operators can roll
// back, how long a lost answer can be resolved, and how far a router may lag and still
// catch up by a delta.
const maxEdits = 128

// Head is the single stored value that decides which configuration is in force.
type Head struct {
	Version  uint64  `json:"version"`
	Segments []Entry `json:"segments"`
	Edits    []Edit  `json:"edits"`
}

// Entry holds the kind and name of one segment and the hash of its text. Entries are
// sorted by kind and name.
type Entry struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name,omitempty"`
	Hash Hash   `json:"hash"`
}

// Edit records one accepted change, newest last in Head.Edits.
type Edit struct {
	// ID is chosen by the editor; it shows whether an edit whose answer was lost took effect.
	ID      string    `json:"id"`
	Version uint64    `json:"version"`
	Author  string    `json:"author,omitempty"`
	Note    string    `json:"note,omitempty"`
	At      time.Time `json:"at"`
	Changes []Change  `json:"changes"`
}

// Change is the change of one segment in an edit. An empty hash means that the segment
// does not exist.
type Change struct {
	Kind   Kind   `json:"kind"`
	Name   string `json:"name,omitempty"`
	Before Hash   `json:"before,omitempty"`
	After  Hash   `json:"after,omitempty"`
}

// DecodeHead decodes a stored head. An empty value is version 0.
func DecodeHead(value []byte) (Head, error) {
	var h Head
	if len(value) == 0 {
		return h, nil
	}
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, fmt.Errorf("%w: head: %v", ErrInvalid, err)
	}
	return h, nil
}

// Encode returns the head as it is stored.
func (h Head) Encode() []byte {
	b, err := json.Marshal(h)
	if err != nil {
		// Every field of Head can be encoded as JSON.
		panic(err)
	}
	return b
}

// SegmentHash returns the hash of a segment in this head, or "" if there is none.
func (h Head) SegmentHash(kind Kind, name string) Hash {
	for _, e := range h.Segments {
		if e.Kind == kind && e.Name == name {
			return e.Hash
		}
	}
	return ""
}

// EditByID returns the edit with this ID, if the head still contains it.
func (h Head) EditByID(id string) (Edit, bool) {
	for _, e := range h.Edits {
		if e.ID == id {
			return e, true
		}
	}
	return Edit{}, false
}

// apply returns the head after an edit and leaves the receiver unchanged.
func (h Head) apply(edit Edit) Head {
	next := Head{
		Version:  h.Version + 1,
		Segments: slices.Clone(h.Segments),
		Edits:    append(slices.Clone(h.Edits), edit),
	}
	next.Edits[len(next.Edits)-1].Version = next.Version
	if extra := len(next.Edits) - maxEdits; extra > 0 {
		next.Edits = next.Edits[extra:]
	}
	for _, c := range edit.Changes {
		next.Segments = applyChange(next.Segments, c)
	}
	return next
}

func applyChange(entries []Entry, c Change) []Entry {
	at, found := slices.BinarySearchFunc(entries, c, func(e Entry, c Change) int {
		return compareNames(e.Kind, e.Name, c.Kind, c.Name)
	})
	if c.After == "" {
		if found {
			entries = slices.Delete(entries, at, at+1)
		}
		return entries
	}
	entry := Entry{Kind: c.Kind, Name: c.Name, Hash: c.After}
	if found {
		entries[at] = entry
		return entries
	}
	return slices.Insert(entries, at, entry)
}

func compareNames(kindA Kind, a string, kindB Kind, b string) int {
	switch {
	case kindA < kindB:
		return -1
	case kindA > kindB:
		return 1
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// SegmentsAt returns the segments in force at an earlier version by undoing the later
// edits.
func (h Head) SegmentsAt(version uint64) ([]Entry, error) {
	if version > h.Version {
		return nil, fmt.Errorf("%w: %d is newer than %d", ErrVersionUnknown, version, h.Version)
	}
	entries := slices.Clone(h.Segments)
	for i := len(h.Edits) - 1; i >= 0 && h.Edits[i].Version > version; i-- {
		for _, c := range slices.Backward(h.Edits[i].Changes) {
			entries = applyChange(entries, Change{Kind: c.Kind, Name: c.Name, After: c.Before})
		}
		if h.Edits[i].Version == version+1 {
			return entries, nil
		}
	}
	if version == h.Version {
		return entries, nil
	}
	return nil, fmt.Errorf("%w: %d is older than the %d edits kept", ErrVersionUnknown, version, len(h.Edits))
}
