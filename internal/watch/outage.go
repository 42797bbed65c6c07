package watch

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/directory"
)

// unansweredAfter is how long a read may go unanswered before it counts as failed. It
// exceeds the time that a list of several hundred replicas takes over a slow link.
const unansweredAfter = 200 * time.Millisecond

// peerProofDivisor divides the maximum age of the list into how long ago another router
// may have been asked for its answer to count. That is longer than a gossip round of a
// large fleet, so that an answer counts until the next round, and shorter than the time
// after which a recovered store is relied upon again.
const peerProofDivisor = 2

// outage distinguishes a source that answers no router from late reads of this router. It
// is guarded by Watcher.mu.
type outage struct {
	// timedOut reports that the last failed read timed out, so the network may be the
	// cause.
	timedOut bool
	// pendingSince is when the reads in progress were sent, by kind; zero means none is.
	pendingSince [readKinds]time.Time
	// answering is set while the answer to a read arrives, which may take long over a narrow link.
	answering [readKinds]bool
	// peerAsked is when the latest request was sent that another router answered, and
	// peerProven the newest proof that any router had.
	peerAsked, peerProven time.Time
	// lastUnavailable is when the source was last found to answer no router.
	lastUnavailable time.Time
}

// readKind distinguishes reads that may run concurrently.
type readKind int

// The kinds of reads.
const (
	fullRead readKind = iota
	listRead
	readKinds
)

// begin records that a read was sent.
func (o *outage) begin(kind readKind, now time.Time) {
	o.pendingSince[kind], o.answering[kind] = now, false
}

// observeAnswer returns a context with which a read records that its answer has begun.
func (w *Watcher) observeAnswer(ctx context.Context, kind readKind) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.outage.answering[kind] = true
	}})
}

// end records how a read ended.
func (o *outage) end(kind readKind, err error) {
	o.pendingSince[kind] = time.Time{}
	if err != nil {
		o.timedOut = errors.Is(err, context.DeadlineExceeded)
	}
}

// noteReadEnd records the result of a read that was sent at the given time. w.mu is held.
func (w *Watcher) noteReadEnd(kind readKind, err error, sent time.Time) {
	w.outage.end(kind, err)
	if err != nil {
		w.turns.ObserveFailure(steady.Now())
		return
	}
	w.turns.ObserveSuccess(sent)
}

// LastFailure returns the age of the last failed read, by this router or another, that is
// newer than any answered read, or false if there is none. Gossip carries it to other
// routers.
func (w *Watcher) LastFailure(now time.Time) (age time.Duration, failed bool) {
	last := w.turns.LastFailure()
	return now.Sub(last), !last.IsZero()
}

// ObservePeerFailure records that a read of another router failed at the given time.
func (w *Watcher) ObservePeerFailure(at time.Time) { w.turns.ObservePeerFailure(at) }

// unanswered reports whether a read failed after since or has no answer yet, and whether
// it is only known to be late. A failure of this router counts for as long as failures of
// other routers, which try in its place, follow it. w.mu is held.
func (w *Watcher) unanswered(since, now time.Time) (unanswered, late bool) {
	if w.turns.SourceLost() && w.turns.LastFailure().After(since) {
		return true, w.outage.timedOut
	}
	for kind, began := range w.outage.pendingSince {
		if !began.IsZero() && !w.outage.answering[kind] && now.Sub(began) >= unansweredAfter {
			return true, true
		}
	}
	return false, false
}

// ObservePeerProof records another router's answer to a request sent at asked: its
// knowledge was the newest at proven, whether or not it can be applied.
func (w *Watcher) ObservePeerProof(asked, proven time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turns.ObservePeer(asked)
	if asked.After(w.outage.peerAsked) {
		w.outage.peerAsked = asked
	}
	if proven.After(w.outage.peerProven) {
		w.outage.peerProven = proven
	}
}

// StoreUnavailable reports whether, as far as this router can know, the source answers no
// router: this router's read has no answer, and another router that was asked recently
// has no proof within limit either. Without that, a late read may be this router's own
// fault. A router that knows no other router trusts a plain failure.
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
	if !unanswered || o.peerProven.After(since) {
		return false
	}
	silent := o.peerAsked.After(now.Add(-limit / peerProofDivisor))
	if o.peerAsked.IsZero() {
		silent = !late
	}
	if silent {
		o.lastUnavailable = now
	}
	return silent
}

// NotListedSince returns the replicas that no list read since the given time names,
// without those that are unconfirmed after an outage that this router noticed.
func (w *Watcher) NotListedSince(since time.Time) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.directory.NotListedSince(since, w.outage.lastUnavailable)
}

// Exclusions returns the replicas of a service that are listed as ready but receive no
// new requests, with limit as the maximum age of the list.
func (w *Watcher) Exclusions(service string, limit time.Duration, now time.Time) []directory.Exclusion {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.directory.Exclusions(service, w.conditions(limit, now))
}

// Exclusion reports whether a replica receives no new requests, and why.
func (w *Watcher) Exclusion(id string, limit time.Duration, now time.Time) (directory.Exclusion, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.directory.Exclusion(id, w.conditions(limit, now))
}

// conditions returns the conditions for eligibility at now. w.mu is held.
func (w *Watcher) conditions(limit time.Duration, now time.Time) directory.Conditions {
	return directory.Conditions{
		Now:              now,
		MaxListAge:       limit,
		StoreUnavailable: sync.OnceValue(func() bool { return w.storeUnavailable(limit, now) }),
		LastUnavailable:  w.outage.lastUnavailable,
	}
}

// Ready reports whether a replica may receive new requests according to the current list.
func (w *Watcher) Ready(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.directory.Ready(id)
}
