package origin

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a stream: a service and the attempt whose answer began it.
type Key uint64

// KeyOf returns the key of a stream.
func KeyOf(service, attempt string) Key {
	return Key(xxhash.Sum64String(service + "\x00" + attempt))
}

// maxRecords bounds the records of a Table, which take some 120 bytes each.
const maxRecords = 1 << 15

// Table maps streams to the versions at which they began. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	records map[Key]record
	// order holds the keys in the order in which they were recorded, from next on.
	order []Key
	next  int
	// unshared holds the keys of records that no other router has; some may have expired.
	unshared []Key
	// versions shares the texts of equal versions.
	versions map[string]string
}

type record struct {
	version string
	expires time.Time
	shared  bool
}

// Record is the version at which a stream began.
type Record struct {
	Key     Key
	Version string
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: make(map[Key]record), versions: make(map[string]string)}
}

// Record notes the version at which a stream began, for a time. The first version of a stream
// holds until its record expires. shared is set if other routers have the record too.
func (t *Table) Record(k Key, version string, shared bool, now time.Time, lifetime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, found := t.records[k]; found && now.Before(known.expires) {
		if known.version == version {
			t.records[k] = record{known.version, now.Add(lifetime), known.shared || shared}
		}
		return
	}
	t.expire(now)
	if _, found := t.records[k]; !found {
		t.order = append(t.order, k)
	}
	t.records[k] = record{t.sharedText(version), now.Add(lifetime), shared}
	if !shared {
		t.addUnshared(k)
	}
}

// addUnshared notes a record that no other router has, and drops the notes of removed ones.
func (t *Table) addUnshared(k Key) {
	if len(t.unshared) >= 2*maxRecords {
		t.unshared = slices.DeleteFunc(t.unshared, func(k Key) bool { _, found := t.records[k]; return !found })
	}
	t.unshared = append(t.unshared, k)
}

// maxSharedVersions bounds the texts that are shared. Others may send any.
const maxSharedVersions = 256

func (t *Table) sharedText(version string) string {
	if text, known := t.versions[version]; known {
		return text
	}
	if len(t.versions) >= maxSharedVersions {
		clear(t.versions)
	}
	t.versions[version] = version
	return version
}

// expire removes the oldest records that have expired, or are too many.
func (t *Table) expire(now time.Time) {
	for t.next < len(t.order) {
		k := t.order[t.next]
		if now.Before(t.records[k].expires) && len(t.records) < maxRecords {
			break
		}
		delete(t.records, k)
		t.next++
	}
	if t.next > len(t.order)/2 {
		t.order = append(t.order[:0], t.order[t.next:]...)
		t.next = 0
	}
}

// Version returns the version at which a stream began.
func (t *Table) Version(k Key, now time.Time) (version string, found bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, found := t.records[k]
	if !found || !now.Before(known.expires) {
		return "", false
	}
	return known.version, true
}

// Unshared returns the records that no other router has, and marks them as shared.
func (t *Table) Unshared(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Record
	for _, k := range t.unshared {
		r, found := t.records[k]
		if !found || r.shared || !now.Before(r.expires) {
			continue
		}
		r.shared = true
		t.records[k] = r
		list = append(list, Record{k, r.version})
	}
	t.unshared = t.unshared[:0]
	return list
}

// All returns the records that have not expired.
func (t *Table) All(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Record
	for k, r := range t.records {
		if now.Before(r.expires) {
			list = append(list, Record{k, r.version})
		}
	}
	return list
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}
