package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"

	"github.com/croftyard/croftyard/platform"
)

// Store is the stand-in of the platform's metadata store, of which routers only read.
type Store struct {
	Addr     string
	server   *http.Server
	mu       sync.Mutex
	items    map[string]platform.Item
	revision uint64
	changes  []platform.Change
}

// pageSize is about what a page of the store holds.
const pageSize = 500

// StartStore starts a store at an address.
func StartStore(address string) (*Store, error) {
	s := &Store{Addr: address, items: make(map[string]platform.Item)}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: platform.StoreHandler(func() string { return "" }, s.list, s.since)}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Close ends the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes a value as JSON.
func (s *Store) Put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := platform.Item{Key: key, Value: text, Revision: s.revision, Made: s.revision}
	if old, known := s.items[key]; known {
		item.Made = old.Made
	}
	s.items[key] = item
	s.changes = append(s.changes, platform.Change{Item: item})
}

// PutConfig writes the operator's configuration.
func (s *Store) PutConfig(value any) { s.Put(platform.ConfigKey, value) }

func (s *Store) list(prefix, after string) platform.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []platform.Item{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	return platform.Page{Items: items[:min(len(items), pageSize)], More: len(items) > pageSize, At: s.revision}
}

func (s *Store) since(revision uint64) (platform.Changes, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := platform.Changes{At: s.revision}
	for _, c := range s.changes {
		if c.Revision > revision {
			answer.Events = append(answer.Events, c)
		}
	}
	return answer, true
}
