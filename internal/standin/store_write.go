package standin

import (
	"encoding/json"
	"net/http"
	"path"
	"slices"
	"strings"

	"github.com/croftyard/croftyard/platform"
)

// maxTransaction is how many entries a transaction may hold.
const maxTransaction = 32

// write answers a router's transaction.
func (s *Store) write(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(platform.EraHeader, s.eraNow())
	var t platform.Transaction
	switch err := json.NewDecoder(r.Body).Decode(&t); {
	case err != nil || len(t.Expected)+len(t.Put)+len(t.Remove) > maxTransaction:
		w.WriteHeader(http.StatusBadRequest)
		return
	case writesReserved(t):
		w.WriteHeader(http.StatusForbidden)
		return
	}
	revision, held, done := s.transact(t)
	w.Header().Set("Content-Type", "application/json")
	// A router that left needs no answer.
	if !done {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(platform.Page{Items: held, At: revision})
		return
	}
	_ = json.NewEncoder(w).Encode(struct {
		Revision uint64 `json:"revision"`
	}{revision})
}

// writesReserved reports whether a transaction writes keys that routers may not write.
func writesReserved(t platform.Transaction) bool {
	return slices.ContainsFunc(t.Remove, isReserved) ||
		slices.ContainsFunc(t.Put, func(p platform.Put) bool { return isReserved(p.Key) })
}

// isReserved reports whether a key is the operator's or a replica's, which routers don't write.
func isReserved(key string) bool {
	return strings.HasPrefix(key, path.Dir(platform.ConfigKey)+"/") || strings.HasPrefix(key, platform.ReplicaKey(""))
}

// transact does a write whole if each key has the revision that is expected of it, and else
// returns what is held of these keys.
func (s *Store) transact(t platform.Transaction) (revision uint64, held []platform.Item, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	done = true
	for _, e := range t.Expected {
		item, known := s.items[e.Key]
		if known {
			held = append(held, item)
		}
		done = done && item.Revision == e.Revision
	}
	if !done {
		return s.revision, held, false
	}
	s.revision++
	for _, p := range t.Put {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	return s.revision, nil, true
}
