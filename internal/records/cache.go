package records

import (
	"maps"
	"slices"
	"sync"
)

// recordCache caches the records of a list longer than one page, as of an origin. It is
// safe for concurrent use, because calls to All and Some may overlap.
type recordCache struct {
	mu      sync.Mutex
	asOf    Origin
	records map[string]*Record
	// The cached result of list, nil once a record has changed.
	cachedList *List
}

// origin returns the origin of the cached records and whether any are cached.
func (k *recordCache) origin() (Origin, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.asOf, k.records != nil
}

// len returns the number of cached records.
func (k *recordCache) len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.records)
}

// drop clears the cache if it is still at the given origin, whose later changes are no
// longer available.
func (k *recordCache) drop(origin Origin) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.asOf == origin {
		k.records, k.cachedList = nil, nil
	}
}

// replace caches the result of a full read as of its first page, so that the next changes
// include again what changed during the read. It returns the resulting list. A result
// from an earlier generation is returned without being cached.
func (k *recordCache) replace(records []*Record, origin Origin) *List {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.records != nil && origin.Generation < k.asOf.Generation {
		return &List{Records: records, Origin: origin}
	}
	k.setLocked(records, origin)
	return k.listLocked()
}

// setIfEmpty caches the result of a partial read if the cache is empty.
func (k *recordCache) setIfEmpty(records []*Record, origin Origin) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.records == nil {
		k.setLocked(records, origin)
	}
}

// setLocked replaces the cached records; nil clears the cache. The caller holds k.mu.
func (k *recordCache) setLocked(records []*Record, origin Origin) {
	k.records, k.asOf, k.cachedList = nil, origin, nil
	if records == nil {
		return
	}
	k.records = make(map[string]*Record, len(records))
	for _, r := range records {
		k.records[r.Key] = r
	}
}

// add caches a record if the cache is of the same generation and lacks its key.
func (k *recordCache) add(r *Record, origin Origin) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.records != nil && k.asOf.Generation == origin.Generation && k.records[r.Key] == nil {
		k.records[r.Key], k.cachedList = r, nil
	}
}

// apply applies changes up to an origin. It skips changes that another read has already
// applied and changes from another generation.
func (k *recordCache) apply(changes []Change, to Origin) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.records == nil || k.asOf.Generation != to.Generation {
		return
	}
	for i := range changes {
		c := &changes[i]
		if c.Revision <= k.asOf.At {
			continue
		}
		// A record cached by add may be newer than the cache's origin.
		if old := k.records[c.Key]; old != nil && c.Revision < old.Revision {
			continue
		}
		k.cachedList = nil
		if c.Gone {
			delete(k.records, c.Key)
		} else {
			k.records[c.Key] = &c.Record
		}
	}
	k.asOf.At = max(k.asOf.At, to.At)
}

// list returns the cached records, sorted by key.
func (k *recordCache) list() *List {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.listLocked()
}

// listLocked is list for callers that hold k.mu.
func (k *recordCache) listLocked() *List {
	if k.cachedList == nil {
		k.cachedList = &List{Origin: k.asOf}
		for _, key := range slices.Sorted(maps.Keys(k.records)) {
			k.cachedList.Records = append(k.cachedList.Records, k.records[key])
		}
	}
	return k.cachedList
}
