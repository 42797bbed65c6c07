package kv

import (
	"context"
	"sync"
	"time"
)

// Memory is a Store in memory, for tests and for embedders' stand-ins.
//
//	entries: key -> value, revision, lease
//	leases:  lease -> ttl, end
//	changed: closed and replaced at each write, which wakes the watches
type Memory struct {
	now func() time.Time

	mu      sync.Mutex
	last    uint64
	entries map[string]memoryEntry
	leases  map[LeaseID]memoryLease
	changed chan struct{}
}

type memoryEntry struct {
	Entry
	lease LeaseID
}

type memoryLease struct {
	ttl time.Duration
	end time.Time
}

// NewMemory returns an empty store that reads the time from now.
func NewMemory(now func() time.Time) *Memory {
	return &Memory{
		now:     now,
		entries: make(map[string]memoryEntry),
		leases:  make(map[LeaseID]memoryLease),
		changed: make(chan struct{}),
	}
}

// Get implements Store.
func (m *Memory) Get(_ context.Context, key string) (Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.get(key), nil
}

func (m *Memory) get(key string) Entry {
	e, found := m.entries[key]
	if !found {
		return Entry{}
	}
	if e.lease != NoLease && !m.held(e.lease) {
		delete(m.entries, key)
		return Entry{}
	}
	return e.Entry
}

func (m *Memory) held(lease LeaseID) bool {
	l, found := m.leases[lease]
	return found && m.now().Before(l.end)
}

// Swap implements Store.
func (m *Memory) Swap(_ context.Context, key string, revision uint64, value []byte, lease LeaseID) (uint64, error) {
	if len(value) > MaxValue {
		return 0, ErrTooLarge
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.get(key).Revision != revision {
		return 0, ErrConflict
	}
	if lease != NoLease && !m.held(lease) {
		return 0, ErrLease
	}
	m.last++
	entry := Entry{Value: append([]byte(nil), value...), Revision: m.last}
	m.entries[key] = memoryEntry{Entry: entry, lease: lease}
	close(m.changed)
	m.changed = make(chan struct{})
	return m.last, nil
}

// Watch implements Store. It returns the context's error when that ends first.
func (m *Memory) Watch(ctx context.Context, key string, after uint64) (Entry, error) {
	for {
		m.mu.Lock()
		entry := m.get(key)
		changed := m.changed
		m.mu.Unlock()
		if entry.Revision != after {
			return entry, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return entry, ctx.Err()
		}
	}
}

// Grant implements Store.
func (m *Memory) Grant(_ context.Context, ttl time.Duration) (LeaseID, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.last++
	id := LeaseID(m.last)
	m.leases[id] = memoryLease{ttl: ttl, end: m.now().Add(ttl)}
	m.dropLapsed()
	return id, nil
}

// KeepAlive implements Store.
func (m *Memory) KeepAlive(_ context.Context, lease LeaseID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.held(lease) {
		return ErrLease
	}
	l := m.leases[lease]
	l.end = m.now().Add(l.ttl)
	m.leases[lease] = l
	return nil
}

func (m *Memory) dropLapsed() {
	for id := range m.leases {
		if !m.held(id) {
			delete(m.leases, id)
		}
	}
}
