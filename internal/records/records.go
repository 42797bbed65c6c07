// Package records reads the current records of a key-value store with few calls.
//
// A list that fits one page is read in full each time. A longer list is read in full once
// and then updated incrementally:
//
//	page of a few records     ->  the store's revision
//	changes since the last    ->  what changed up to that revision, or later
//
// The first response is current, as is every response of the store unless a stale read is
// requested: the changes up to its revision include every write accepted before it was
// sent. So the two calls together give the same guarantee as a full read, and while
// nothing changes a reader fetches one small response instead of every page.
//
// The store may be restored, in a new generation, from a copy that is some seconds old. It
// then issues the same revisions again, so revisions of different generations are never
// compared.
package records

import (
	"context"
	"errors"
	"fmt"
)

var (
	// ErrHistoryUnavailable means that the changes since the last read are no longer
	// available.
	ErrHistoryUnavailable = errors.New("records: change history is no longer available")
	// ErrMixedGenerations means that the store was restored from a copy during a read, so
	// that its responses are of two generations. The next read sees only one.
	ErrMixedGenerations = errors.New("records: responses are of two generations")
	// ErrNoRevision means that a response lacks the store's revision, so what it does not list may
	// exist.
	ErrNoRevision = errors.New("records: response without a revision")
	// ErrLongList means that the list would have to be read in full, and is too long for that.
	ErrLongList = errors.New("records: list too long to be read in full")
)

// Record is a key with its value.
type Record struct {
	Key      string
	Value    []byte
	Revision uint64
	// Decoded is for the store's user, who may keep there what the value says.
	Decoded any
}

// Change is a written record or a deleted key.
type Change struct {
	Record
	Gone bool
}

// Page is one page of records. More reports whether further pages follow.
type Page struct {
	Records []*Record
	More    bool
	Origin
}

// Changes holds the changes up to an origin.
type Changes struct {
	Changes []Change
	Origin
}

// Store is the client of the key-value store.
type Store interface {
	// Page returns, sorted by key, records whose keys begin with prefix and sort after
	// the given key.
	Page(ctx context.Context, prefix, after string) (Page, error)
	// Changes returns the changes since a revision, or ErrHistoryUnavailable.
	Changes(ctx context.Context, since uint64) (Changes, error)
}

// List is the result of a read. If a read returns the same pointer again, the list has not
// changed.
type List struct {
	Records []*Record
	Origin
}

// Find returns the record of a key, or nil if there is none.
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
	store   Store
	tracker originTracker
	cache   recordCache
	// A prefix with few records, whose page is read to learn the store's revision.
	probePrefix string
}

// NewReader returns a reader that learns the store's revision by reading the records under
// probePrefix, of which there should be few.
func NewReader(s Store, probePrefix string) *Reader {
	return &Reader{store: s, probePrefix: probePrefix}
}

// Anomalies returns how often the store was restored from a copy without reporting it, and
// whether it has stopped reporting its generation.
func (r *Reader) Anomalies() (revisionDrops uint64, generationMissing bool) {
	return r.tracker.anomalies()
}

// Seed makes the reader start from a list that was learned elsewhere, if that is newer than
// what it holds itself and longer than one page. list is called only then. Only what has
// changed since is read then, as long as the store's history reaches back.
func (r *Reader) Seed(origin Origin, onePage int, list func() (Origin, []*Record)) {
	had, known := r.cache.origin()
	if known && (had.Generation != origin.Generation || had.At >= origin.At) {
		return
	}
	if origin, records := list(); len(records) > onePage {
		r.cache.replace(records, origin)
	}
}

// Head returns the first page of all records, and whether it holds all of them.
func (r *Reader) Head(ctx context.Context) (list *List, complete bool, err error) {
	p, err := r.fetchPage(ctx, "", "")
	if err != nil {
		return nil, false, err
	}
	return &List{Records: p.Records, Origin: p.Origin}, !p.More, nil
}

// All returns all records, except that a cached list that a call to Some started may lack
// some of them.
func (r *Reader) All(ctx context.Context) (*List, error) {
	list, err := r.refresh(ctx)
	if !errors.Is(err, ErrHistoryUnavailable) {
		return list, err
	}
	pages, list, err := r.readPrefix(ctx, "")
	if err != nil {
		return nil, err
	}
	if pages == 1 {
		r.cache.replace(nil, list.Origin)
		return list, nil
	}
	return r.cache.replace(list.Records, list.Origin), nil
}

// Some returns at least the records whose keys begin with one of the prefixes; the prefix
// with the most records comes first. A prefix longer than one page is cached: otherwise a
// router that learned the full list from its peers would fetch everything again each time
// a request needs a newer list.
//
// A list that was longer than maxOwnRead is not read in full. All routers may need a newer one
// at the same time, so Some returns ErrLongList, and the router whose turn it is calls All.
func (r *Reader) Some(ctx context.Context, prefixes ...string) (*List, error) {
	before := r.cache.len()
	list, err := r.refresh(ctx)
	if !errors.Is(err, ErrHistoryUnavailable) {
		return list, err
	}
	if before > maxOwnRead {
		return nil, fmt.Errorf("%w: %w", ErrLongList, err)
	}
	list, maxPages := &List{}, 0
	for i, prefix := range prefixes {
		pages, part, err := r.readPrefix(ctx, prefix)
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
		maxPages = max(maxPages, pages)
	}
	if maxPages > 1 {
		r.cache.setIfEmpty(list.Records, list.Origin)
	}
	return list, nil
}

// maxOwnRead is the number of records up to which each of many routers may read them all: some
// 300 KB, which a narrow link takes in a quarter of a second.
const maxOwnRead = 1000

// One returns the record of a key as of list or later, or nil if there is none.
func (r *Reader) One(ctx context.Context, key string, list *List) (*Record, error) {
	if record := list.Find(key); record != nil {
		return record, nil
	}
	_, part, err := r.readPrefix(ctx, key)
	if err != nil {
		return nil, err
	}
	if part.Generation != list.Generation {
		return nil, ErrMixedGenerations
	}
	record := part.Find(key)
	if record != nil {
		r.cache.add(record, part.Origin)
	}
	return record, nil
}

// Prefix returns the current records whose keys begin with prefix.
func (r *Reader) Prefix(ctx context.Context, prefix string) (*List, error) {
	_, list, err := r.readPrefix(ctx, prefix)
	return list, err
}

// readPrefix reads the records whose keys begin with prefix and returns the number of
// pages. The list has the origin of the first page.
func (r *Reader) readPrefix(ctx context.Context, prefix string) (pages int, list *List, err error) {
	list = &List{}
	for after := ""; ; {
		p, err := r.fetchPage(ctx, prefix, after)
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

// fetchPage fetches one page and observes its origin.
func (r *Reader) fetchPage(ctx context.Context, prefix, after string) (Page, error) {
	before := r.tracker.current()
	p, err := r.store.Page(ctx, prefix, after)
	if err == nil && p.At == 0 {
		err = ErrNoRevision
	}
	if err != nil {
		return Page{}, err
	}
	p.Generation = r.tracker.resolveGeneration(p.Generation)
	r.tracker.observe(p.Origin, before)
	return p, nil
}

// errTooManyChanges means that reading the list in full takes fewer responses.
var errTooManyChanges = fmt.Errorf("%w: more changes than records", ErrHistoryUnavailable)

// refresh brings the cached list up to date and returns it. It returns
// ErrHistoryUnavailable if nothing is cached or the changes are not available.
func (r *Reader) refresh(ctx context.Context) (*List, error) {
	had, known := r.cache.origin()
	if !known {
		return nil, ErrHistoryUnavailable
	}
	now, err := r.fetchPage(ctx, r.probePrefix, "")
	if err != nil {
		return nil, err
	}
	if now.Generation != had.Generation || now.At < had.At {
		r.cache.drop(had)
		return nil, fmt.Errorf("%w: cached origin %v, store is at %v", ErrHistoryUnavailable, had, now.Origin)
	}
	for fetched := 0; ; {
		since, _ := r.cache.origin()
		if since.Generation != now.Generation {
			return nil, ErrMixedGenerations
		}
		if since.At >= now.At {
			return r.cache.list(), nil
		}
		count, err := r.fetchChanges(ctx, since)
		if err != nil {
			return nil, err
		}
		if fetched += count; fetched > max(r.cache.len(), minChanges) {
			return nil, errTooManyChanges
		}
	}
}

// minChanges is how many changes are fetched for short lists too, which may grow.
const minChanges = 2000

// fetchChanges fetches the changes since an origin, applies them to the cache, and returns
// their number.
func (r *Reader) fetchChanges(ctx context.Context, since Origin) (count int, err error) {
	c, err := r.store.Changes(ctx, since.At)
	if err != nil {
		return 0, err
	}
	c.Generation = r.tracker.resolveGeneration(c.Generation)
	if c.Generation != since.Generation || c.At <= since.At {
		return 0, fmt.Errorf("%w: received %v after %v", ErrHistoryUnavailable, c.Origin, since)
	}
	r.cache.apply(c.Changes, c.Origin)
	return len(c.Changes), nil
}
