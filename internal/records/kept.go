package records

import (
	"maps"
	"slices"
	"sync"
)

// kept are the records of a long list as of an origin. It is safe for concurrent use: a
// read of all and one of some may run beside each other.
type kept struct {
	mu      sync.Mutex
	of      Origin
	records map[string]*Record
	// listed is what list returns, nil once a record has changed.
	listed *List
}

// since returns what is kept is of, and whether anything is.
func (k *kept) since() (Origin, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.of, k.records != nil
}

// drop forgets what is kept of one origin: its changes are not told any more.
func (k *kept) drop(of Origin) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.of == of {
		k.records, k.listed = nil, nil
	}
}

// replace keeps what a read of all returned, as of its first page: what changed while
// it was read is in the next changes once more. It returns what is kept then: what an
// earlier generation answered replaces nothing.
func (k *kept) replace(records []*Record, of Origin) *List {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.records != nil && of.Generation < k.of.Generation {
		return &List{Records: records, Origin: of}
	}
	k.keep(records, of)
	return k.lists()
}

// start keeps what a read of some returned, if nothing is kept.
func (k *kept) start(records []*Record, of Origin) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.records == nil {
		k.keep(records, of)
	}
}

// keep keeps records, or nothing if there are none. k.mu is held.
func (k *kept) keep(records []*Record, of Origin) {
	k.records, k.of, k.listed = nil, of, nil
	if records == nil {
		return
	}
	k.records = make(map[string]*Record, len(records))
	for _, r := range records {
		k.records[r.Key] = r
	}
}

// add adds a record to what is kept of the same generation without it.
func (k *kept) add(r *Record, of Origin) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.records != nil && k.of.Generation == of.Generation && k.records[r.Key] == nil {
		k.records[r.Key], k.listed = r, nil
	}
}

// apply takes changes up to an origin. Those that another read has taken are passed over,
// and those of another generation.
func (k *kept) apply(changes []Change, to Origin) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.records == nil || k.of.Generation != to.Generation {
		return
	}
	for i := range changes {
		c := &changes[i]
		if c.Revision <= k.of.At {
			continue
		}
		// A record that was added may be newer than what else is kept.
		if old := k.records[c.Key]; old != nil && c.Revision < old.Revision {
			continue
		}
		k.listed = nil
		if c.Gone {
			delete(k.records, c.Key)
		} else {
			k.records[c.Key] = &c.Record
		}
	}
	k.of.At = max(k.of.At, to.At)
}

// list returns what is kept.
func (k *kept) list() *List {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lists()
}

// lists is list with k.mu held.
func (k *kept) lists() *List {
	if k.listed == nil {
		k.listed = &List{Origin: k.of}
		for _, key := range slices.Sorted(maps.Keys(k.records)) {
			k.listed.Records = append(k.listed.Records, k.records[key])
		}
	}
	return k.listed
}
