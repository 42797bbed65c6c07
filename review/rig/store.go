package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is the stand-in of the platform's metadata store, of which routers only read.
type Store struct {
	Addr     string
	server   *http.Server
	mu       sync.Mutex
	items    map[string]Item
	revision uint64
	changes  []Change
	wake     chan struct{}
}

// Item is a key with its value, as the store answers it.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Made     uint64 `json:"made"`
	Lease    uint64 `json:"lease"`
}

// Change is a written item, or a key that is gone.
type Change struct {
	Item
	Gone bool `json:"gone,omitempty"`
}

// pageSize is about what a page of the store holds.
const pageSize = 500

// StartStore starts a store at an address.
func StartStore(address string) (*Store, error) {
	s := &Store{Addr: address, items: make(map[string]Item), wake: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.key)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Close ends the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes a value as JSON and returns when the store acknowledged it.
func (s *Store) Put(key string, value any) time.Time {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := Item{Key: key, Value: text, Revision: s.revision, Made: s.revision}
	if old, known := s.items[key]; known {
		item.Made = old.Made
	}
	s.items[key] = item
	s.changed(Change{Item: item})
	return time.Now()
}

// Remove takes a key away.
func (s *Store) Remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.changed(Change{Item: Item{Key: key, Revision: s.revision}, Gone: true})
	return time.Now()
}

func (s *Store) changed(c Change) {
	s.changes = append(s.changes, c)
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, found := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		Item
		At uint64 `json:"at"`
	}{item, at})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("since_revision")
	s.mu.Lock()
	items, at := []Item{}, s.revision
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > pageSize
	reply(w, map[string]any{"items": items[:min(len(items), pageSize)], "more": more, "at": at})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("since_revision"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, at, wake := []Change{}, s.revision, s.wake
		for _, c := range s.changes {
			if c.Revision > since && strings.HasPrefix(c.Key, query.Get("path_prefix")) {
				events = append(events, c)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-wake:
		case <-end:
			reply(w, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
