// Package records reads the records of a key-value store as they are now, with few calls.
//
// What fits one page is read whole each time. A longer list is read whole once, and then
// what has changed in it:
//
//	page of a few records     ->  the store's revision
//	changes since the last    ->  what changed up to that revision, or later
//
// The first answer is the newest, as each of the store's is that is not asked to be
// stale: all that was accepted before it was sent is in the changes up to its revision.
// So both together prove what a whole read does, and while nothing changes a reader takes one
// small answer instead of the pages of the whole list.
//
// The store may come back from a copy that is some seconds old, in a new generation: its
// revisions are given out again, so that nothing of one generation is compared with
// another.
package records

import (
	"context"
	"errors"
	"fmt"
)

var (
	// ErrHistoryUnavailable: the changes since the last read can't be told any more.
	ErrHistoryUnavailable = errors.New("records: changes no longer known")
	// ErrMixedGenerations: the store came back from a copy amid a read, whose answers so are of two
	// generations. The next read is of one.
	ErrMixedGenerations = errors.New("records: answers of two generations")
)

// Record is a key with its value.
type Record struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Change is a record as it was written, or a key that is gone.
type Change struct {
	Record
	Gone bool
}

// Page is what a call for records returns.
type Page struct {
	Records []*Record
	More    bool
	Origin
}

// Changes is what a call for changes returns.
type Changes struct {
	Changes []Change
	Origin
}

// Store makes the calls.
type Store interface {
	// Page returns records in the order of their keys, of those that begin with a prefix
	// and come behind a key.
	Page(ctx context.Context, prefix, after string) (Page, error)
	// Changes returns the changes since a revision, or ErrHistory.
	Changes(ctx context.Context, since uint64) (Changes, error)
}

// List is what a read returned. One that is returned again has not changed.
type List struct {
	Records []*Record
	Origin
}

// Find returns the record of a key, nil if there is none.
func (l *List) Find(key string) *Record {
	for _, r := range l.Records {
		if r.Key == key {
			return r
		}
	}
	return nil
}

// Reader reads from a store. It is safe for concurrent use.
type Reader struct {
	store  Store
	newest newest
	kept   kept
	// least is a prefix of few records, whose page tells the store's revision.
	least string
}

// NewReader returns a reader of a store in which few records begin with a prefix.
func NewReader(s Store, least string) *Reader { return &Reader{store: s, least: least} }

// Anomalies returns how often the store came back from a copy without saying so, and whether
// it does no more say which generation it is.
func (r *Reader) Anomalies() (falls uint64, untold bool) { return r.newest.doubts() }

// All returns all records, or of a long list that was begun without them all but some.
func (r *Reader) All(ctx context.Context) (*List, error) {
	list, err := r.renewed(ctx)
	if !errors.Is(err, ErrHistoryUnavailable) {
		return list, err
	}
	pages, list, err := r.read(ctx, "")
	if err != nil {
		return nil, err
	}
	if pages == 1 {
		r.kept.replace(nil, list.Origin)
		return list, nil
	}
	return r.kept.replace(list.Records, list.Origin), nil
}

// Some returns the records that begin with one of some prefixes, of which the first is the
// one of most, or more than those. If they are long they are kept: a router that was told
// all by others would else take all of it again each time that a request wants a newer
// list.
func (r *Reader) Some(ctx context.Context, prefixes ...string) (*List, error) {
	list, err := r.renewed(ctx)
	if !errors.Is(err, ErrHistoryUnavailable) {
		return list, err
	}
	list, most := &List{}, 0
	for i, prefix := range prefixes {
		pages, part, err := r.read(ctx, prefix)
		if err != nil {
			return nil, err
		}
		if i == 0 {
			list.Origin = part.Origin
		}
		if part.Generation != list.Generation {
			return nil, ErrMixedGenerations
		}
		list.Records = append(list.Records, part.Records...)
		most = max(most, pages)
	}
	if most > 1 {
		r.kept.start(list.Records, list.Origin)
	}
	return list, nil
}

// One returns the record of a key as of a list or later, nil if there is none.
func (r *Reader) One(ctx context.Context, key string, list *List) (*Record, error) {
	if record := list.Find(key); record != nil {
		return record, nil
	}
	_, part, err := r.read(ctx, key)
	if err != nil {
		return nil, err
	}
	if part.Generation != list.Generation {
		return nil, ErrMixedGenerations
	}
	record := part.Find(key)
	if record != nil {
		r.kept.add(record, part.Origin)
	}
	return record, nil
}

// read reads the records that begin with a prefix, page by page, and returns how many
// pages there were. The list is as of the first.
func (r *Reader) read(ctx context.Context, prefix string) (pages int, list *List, err error) {
	list = &List{}
	for after := ""; ; {
		p, err := r.page(ctx, prefix, after)
		if err != nil {
			return 0, nil, err
		}
		if pages++; pages == 1 {
			list.Origin = p.Origin
		}
		if p.Generation != list.Generation {
			return 0, nil, ErrMixedGenerations
		}
		list.Records = append(list.Records, p.Records...)
		if !p.More || len(p.Records) == 0 || p.Records[len(p.Records)-1].Key == after {
			return pages, list, nil
		}
		after = p.Records[len(p.Records)-1].Key
	}
}

// page reads one page.
func (r *Reader) page(ctx context.Context, prefix, after string) (Page, error) {
	before := r.newest.before()
	p, err := r.store.Page(ctx, prefix, after)
	if err != nil {
		return Page{}, err
	}
	p.Generation = r.newest.named(p.Generation)
	r.newest.take(p.Origin, before)
	return p, nil
}

// maxChangePages bounds the answers that one read of changes takes: with more, all is
// read anew.
const maxChangePages = 8

// renewed returns a long list that was read before as it is now, or ErrHistory.
func (r *Reader) renewed(ctx context.Context) (*List, error) {
	had, known := r.kept.since()
	if !known {
		return nil, ErrHistoryUnavailable
	}
	now, err := r.page(ctx, r.least, "")
	if err != nil {
		return nil, err
	}
	if now.Generation != had.Generation || now.At < had.At {
		r.kept.drop(had)
		return nil, fmt.Errorf("%w: kept %v, now %v", ErrHistoryUnavailable, had, now.Origin)
	}
	for range maxChangePages {
		since, _ := r.kept.since()
		if since.Generation != now.Generation {
			return nil, ErrMixedGenerations
		}
		if since.At >= now.At {
			return r.kept.list(), nil
		}
		if err := r.change(ctx, since); err != nil {
			return nil, err
		}
	}
	return nil, fmt.Errorf("%w: over %d answers", ErrHistoryUnavailable, maxChangePages)
}

// change takes the changes since what is kept.
func (r *Reader) change(ctx context.Context, since Origin) error {
	c, err := r.store.Changes(ctx, since.At)
	if err != nil {
		return err
	}
	c.Generation = r.newest.named(c.Generation)
	if c.Generation != since.Generation || c.At <= since.At {
		return fmt.Errorf("%w: %v after %v", ErrHistoryUnavailable, c.Origin, since)
	}
	r.kept.apply(c.Changes, c.Origin)
	return nil
}
