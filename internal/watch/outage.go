package watch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/directory"
)

// silentAfter is how long a read may go unanswered before it counts as one that
// failed: longer than a list of some hundred replicas takes over a narrow link.
const silentAfter = 200 * time.Millisecond

// peerProofPart of the greatest age of the list is how long ago another router may have
// been asked for its answer to count: longer than a gossip round of a large fleet, so that
// it counts from one to the next, and shorter than the time after which a store that is
// back binds again.
const peerProofPart = 2

// outage is what tells a source that answers nobody from a router whose reads are
// late. It is guarded by Watcher.mu.
type outage struct {
	// late: the last failed read timed out, so the network may be to blame.
	late bool
	// began is when the reads under way were sent, by kind; zero: none is.
	began [readKinds]time.Time
	// asked is when another router was asked that answered, the latest of all, and
	// proven the newest proof that any had.
	asked, proven time.Time
	// seen is when the source was last found to answer nobody.
	seen time.Time
}

// readKind names the reads that may be under way beside each other.
type readKind int

// The kinds of reads.
const (
	wholeRead readKind = iota
	listRead
	readKinds
)

// begin notes that a read was sent.
func (o *outage) begin(kind readKind, now time.Time) { o.began[kind] = now }

// end notes how a read ended.
func (o *outage) end(kind readKind, err error) {
	o.began[kind] = time.Time{}
	if err != nil {
		o.late = errors.Is(err, context.DeadlineExceeded)
	}
}

// ended notes how a read ended that was sent at a time. w.mu is held.
func (w *Watcher) ended(kind readKind, err error, sent time.Time) {
	w.outage.end(kind, err)
	if err != nil {
		w.turns.ObserveFailure(steady.Now())
		return
	}
	w.turns.ObserveSuccess(sent)
}

// LastFailure returns how long ago a read failed last, here or elsewhere, that is newer than
// any with an answer; false if none is. Gossip carries it to other routers.
func (w *Watcher) LastFailure(now time.Time) (age time.Duration, failed bool) {
	last := w.turns.LastFailure()
	return now.Sub(last), !last.IsZero()
}

// ObservePeerFailure records that a read of another router failed at a time.
func (w *Watcher) ObservePeerFailure(at time.Time) { w.turns.ObservePeerFailure(at) }

// unanswered reports whether a read failed since a time or has no answer by now, and
// whether it is only known to be late. A failure of this router's counts for as long as
// those of others that try in its place follow it.
// w.mu is held.
func (w *Watcher) unanswered(since, now time.Time) (unanswered, late bool) {
	if w.turns.SourceLost() && w.turns.LastFailure().After(since) {
		return true, w.outage.late
	}
	for _, began := range w.outage.began {
		if !began.IsZero() && now.Sub(began) >= silentAfter {
			return true, true
		}
	}
	return false, false
}

// ObservePeerProof records another router's answer to a request sent at a time: that its
// knowledge was the newest at another, whether or not that can be applied.
func (w *Watcher) ObservePeerProof(asked, proven time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turns.ObservePeer(asked)
	if asked.After(w.outage.asked) {
		w.outage.asked = asked
	}
	if proven.After(w.outage.proven) {
		w.outage.proven = proven
	}
}

// StoreUnavailable reports whether the source answers nobody, as far as can be known here:
// this router's read has no answer, and another router that was asked recently has nothing
// newer than limit either. Without that a late read may be this router's own fault. A
// router that knows no other trusts a plain failure.
func (w *Watcher) StoreUnavailable(limit time.Duration, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.storeUnavailable(limit, now)
}

// storeUnavailable is StoreUnavailable with w.mu held.
func (w *Watcher) storeUnavailable(limit time.Duration, now time.Time) bool {
	o := &w.outage
	since := now.Add(-limit)
	unanswered, late := w.unanswered(since, now)
	if !unanswered || o.proven.After(since) {
		return false
	}
	silent := o.asked.After(now.Add(-limit / peerProofPart))
	if o.asked.IsZero() {
		silent = !late
	}
	if silent {
		o.seen = now
	}
	return silent
}

// NotListedSince returns the replicas that no list read since a time names, without unconfirmed
// ones of an outage that was seen here.
func (w *Watcher) NotListedSince(since time.Time) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.directory.NotListedSince(since, w.outage.seen)
}

// Exclusions returns those of a service's replicas that are listed as ready and get no new
// requests, by a greatest age of the list.
func (w *Watcher) Exclusions(service string, limit time.Duration, now time.Time) []directory.Exclusion {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.directory.Exclusions(service, w.conditions(limit, now))
}

// Exclusion tells whether a replica gets no new requests, and why.
func (w *Watcher) Exclusion(id string, limit time.Duration, now time.Time) (directory.Exclusion, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.directory.Exclusion(id, w.conditions(limit, now))
}

// conditions are those of now. w.mu is held.
func (w *Watcher) conditions(limit time.Duration, now time.Time) directory.Conditions {
	return directory.Conditions{
		Now:              now,
		MaxListAge:       limit,
		StoreUnavailable: sync.OnceValue(func() bool { return w.storeUnavailable(limit, now) }),
		LastUnavailable:  w.outage.seen,
	}
}

// Ready reports whether a replica may have new work by the list at hand.
func (w *Watcher) Ready(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.directory.Ready(id)
}
