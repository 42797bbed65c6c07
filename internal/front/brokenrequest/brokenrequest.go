// Package brokenrequest keeps the requests whose answers ended early until it shows whether their replicas
// crashed.
package brokenrequest

import (
	"sync"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/upstream"
	"github.com/croftyard/croftyard/pkg/poison"
)

// Request is a request whose answer ended early at a replica.
type Request struct {
	// Digest identifies the request.
	Digest poison.Digest
	// Parts are those of its prompt if its answer had not got beyond its beginning, and
	// Organisation is whose prompt it is.
	Parts        []poison.Digest
	Organisation uint32
	// At is when the answer ended, State what a probe then found of the replica's process.
	At    time.Time
	State upstream.ProcessState
	// Incarnation identifies the replica's process that had the request, Address is its.
	Incarnation string
	Address     string
	// Fields describe the request in the log.
	Fields []event.Field
}

// Store keeps broken requests whose replica was not seen to have ended: it may
// already run again, or a proxy in front of it may still accept connections. A later report
// of the replica's start, or the removal of its entry, shows whether it crashed. One that refused
// connections while this router reached no other replica is probed again once it does.
type Store struct {
	mu   sync.Mutex
	kept map[string][]Request
}

const (
	// ttl is how long after a broken request a restart of the replica, or the removal
	// of its entry, counts as a crash: an entry expires after three heartbeats, a replica is
	// back after some seconds, and the list may be read late.
	ttl = 8 * time.Second
	// maxPerReplica bounds how many requests are kept for one replica.
	maxPerReplica = 64
)

// Note keeps a broken request of a replica.
func (s *Store) Note(id string, one Request, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kept == nil {
		s.kept = make(map[string][]Request)
	}
	for other, list := range s.kept {
		if now.Sub(list[len(list)-1].At) > ttl {
			delete(s.kept, other)
		}
	}
	if len(s.kept[id]) < maxPerReplica {
		s.kept[id] = append(s.kept[id], one)
	}
}

// Take removes a replica's broken requests and returns the recent ones.
func (s *Store) Take(id string, now time.Time) []Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	var recent []Request
	for _, one := range s.kept[id] {
		if now.Sub(one.At) <= ttl {
			recent = append(recent, one)
		}
	}
	delete(s.kept, id)
	return recent
}

// Refused returns, by replica, the last recent request after which it refused connections.
func (s *Store) Refused(now time.Time) map[string]Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := make(map[string]Request)
	for id, list := range s.kept {
		for _, one := range list {
			if one.State == upstream.Ended && now.Sub(one.At) <= ttl {
				last[id] = one
			}
		}
	}
	return last
}

// Settle applies what a probe of a replica found, which began at a time, to earlier requests after
// which the replica refused connections. If it still does, they are removed and returned.
func (s *Store) Settle(id string, state upstream.ProcessState, began time.Time) []Request {
	if state == upstream.Unreachable {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var crashed, rest []Request
	for _, one := range s.kept[id] {
		switch {
		case one.State != upstream.Ended || one.At.After(began):
			rest = append(rest, one)
		case state == upstream.Ended:
			crashed = append(crashed, one)
		default:
			one.State = state
			rest = append(rest, one)
		}
	}
	s.kept[id] = rest
	if len(rest) == 0 {
		delete(s.kept, id)
	}
	return crashed
}
