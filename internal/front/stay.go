package front

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/upstream"
	"github.com/croftyard/croftyard/pkg/mechanism"
	"github.com/croftyard/croftyard/pkg/poison"
)

// errHeldBack: a request was not written, since by then it was no longer allowed.
var errHeldBack = errors.New("front: held back")

// stayed keeps, by replica, when a request was sent to it whose answer shows that it
// was not leaving: one that leaves closes its connections, from its word on.
type stayed struct {
	mu     sync.Mutex
	sent   map[string]time.Time
	pruned time.Time
}

// note notes that a replica answered a request that was sent at a time.
func (s *stayed) note(id string, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sent == nil {
		s.sent = make(map[string]time.Time)
	}
	if sent.After(s.sent[id]) {
		s.sent[id] = sent
	}
}

// forget takes what a replica showed back: it may be leaving.
func (s *stayed) forget(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sent, id)
}

// since tells whether a replica was not leaving at some moment after a time.
func (s *stayed) since(id string, since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent[id].After(since)
}

// prune forgets, once in a limit, what is older than it.
func (s *stayed) prune(limit time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.pruned) < limit {
		return
	}
	s.pruned = now
	for id, sent := range s.sent {
		if now.Sub(sent) >= limit {
			delete(s.sent, id)
		}
	}
}

// noteStay takes what an answer shows of a replica's staying. Another replica may
// stand at the address now, which then answers as misdirected.
func (f *Front) noteStay(id string, sent time.Time, answer *upstream.Answer) {
	if answer.Response.Close {
		f.stayed.forget(id)
		f.follower.Leaves(id)
		return
	}
	if answer.StatusCode >= http.StatusInternalServerError || answer.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	f.stayed.note(id, sent)
	f.stayed.prune(f.limits.Load().ListProof, steady.Now())
}

// barred returns the replicas that get nothing now, since they may have said too long
// ago that they leave: no list named them within the bound, and neither did they show
// it themselves. While the source answers nobody, nobody can have heard more, and all
// may be used.
func (f *Front) barred(now time.Time) []string {
	limit := f.limits.Load().ListProof
	if limit == 0 || f.options.Without.Has(mechanism.Renew) {
		return nil
	}
	since := now.Add(-limit)
	unlisted := f.follower.Unlisted(since)
	if len(unlisted) == 0 {
		return nil
	}
	if f.follower.ListAge(now) < limit {
		// A list that is young enough names them no more: some that leave say nothing of
		// it themselves and go on answering.
		return unlisted
	}
	if f.follower.Silent(limit, now) {
		return nil
	}
	return slices.DeleteFunc(unlisted, func(id string) bool { return f.stayed.since(id, since) })
}

// mayWrite looks, when a connection to a replica is there, whether the request may
// still be written to it: opening the connection may have taken its time.
func (c *call) mayWrite(id string, now time.Time) error {
	if c.left() {
		return errCallerGone
	}
	if !c.front.follower.Ready(id) {
		// A newer list came meanwhile. That the old one is not needed any more does not
		// make the choice by it young.
		return fmt.Errorf("%w: replica leaves", errHeldBack)
	}
	if !c.trial && c.front.poison.Any() && c.front.poison.Ask(c.digest(), now).State == poison.Held {
		return fmt.Errorf("%w: crashes what runs it", errHeldBack)
	}
	if slices.Contains(c.front.barred(now), id) {
		return fmt.Errorf("%w: list of replicas too old", errHeldBack)
	}
	limits := c.front.limits.Load()
	age := c.front.holder.Current().Age(now)
	// By AbsenceProof a proof that was asked for at admission is young enough.
	if c.organisation != nil && age >= max(limits.KeyProof, limits.AbsenceProof) {
		return fmt.Errorf("%w: proof too old for keys", errHeldBack)
	}
	return nil
}
