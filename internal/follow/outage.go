package follow

import (
	"context"
	"errors"
	"time"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/directory"
)

// silentAfter is how long a read may go unanswered before it counts as one that
// failed: longer than a list of some hundred replicas takes over a narrow link.
const silentAfter = 200 * time.Millisecond

// toldPart of the greatest age of the list is how long ago another router may have
// been asked for its word to count: longer than a round of a large fleet, so that it holds
// from one to the next, and shorter than a store has been back before its word binds.
const toldPart = 2

// outage is what tells a source that answers nobody from a router whose reads are
// late. It is guarded by Follower.mu.
type outage struct {
	// late: the time of the read that failed last was over, so the way may be to blame.
	late bool
	// began is when the reads under way were sent, by kind; zero: none is.
	began [readKinds]time.Time
	// asked is when another router was asked that answered, the latest of all, and
	// told the newest proof that any had.
	asked, told time.Time
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

// ended notes how a read ended that was sent at a time. f.mu is held.
func (f *Follower) ended(kind readKind, err error, sent time.Time) {
	f.outage.end(kind, err)
	if err != nil {
		f.turns.Failed(steady.Now())
		return
	}
	f.turns.Answered(sent)
}

// Failure returns how long ago a read failed last, here or elsewhere, that is newer than
// any with an answer; false if none is. It is what other routers are told.
func (f *Follower) Failure(now time.Time) (age time.Duration, failed bool) {
	last := f.turns.LastFailure()
	return now.Sub(last), !last.IsZero()
}

// ToldFailure takes another router's word that a read failed at a time.
func (f *Follower) ToldFailure(at time.Time) { f.turns.Told(at) }

// unanswered tells whether a read failed since a time or has no answer by now, and
// whether it is only known to be late. A failure of this router's counts for as long as
// those of others that try in its place follow it.
// f.mu is held.
func (f *Follower) unanswered(since, now time.Time) (unanswered, late bool) {
	if f.turns.Lost() && f.turns.LastFailure().After(since) {
		return true, f.outage.late
	}
	for _, began := range f.outage.began {
		if !began.IsZero() && now.Sub(began) >= silentAfter {
			return true, true
		}
	}
	return false, false
}

// Told takes another router's word, asked for at a time, that its knowledge was
// the newest at a time, whether or not that knowledge can be taken.
func (f *Follower) Told(asked, proven time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.turns.Heard(asked)
	if asked.After(f.outage.asked) {
		f.outage.asked = asked
	}
	if proven.After(f.outage.told) {
		f.outage.told = proven
	}
}

// Silent tells whether the source answers nobody, as far as can be known here: this
// router's read has no answer, and another router that was asked lately has nothing
// that is newer than limit either. Without another router's word a late read may be
// this router's own fault. A router that never heard of another believes a plain
// failure.
func (f *Follower) Silent(limit time.Duration, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeUnavailable(limit, now)
}

// storeUnavailable is Silent with f.mu held.
func (f *Follower) storeUnavailable(limit time.Duration, now time.Time) bool {
	o := &f.outage
	since := now.Add(-limit)
	unanswered, late := f.unanswered(since, now)
	if !unanswered || o.told.After(since) {
		return false
	}
	silent := o.asked.After(now.Add(-limit / toldPart))
	if o.asked.IsZero() {
		silent = !late
	}
	if silent {
		o.seen = now
	}
	return silent
}

// Unlisted returns the replicas that no list named which was read since a time. One
// that vanished with its list in an outage that was seen here is not among them.
func (f *Follower) Unlisted(since time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directory.Unlisted(since, f.outage.seen)
}

// Exclusions returns those of the replicas that are listed as ready which get no new
// requests, by a greatest age of the list.
func (f *Follower) Exclusions(limit time.Duration, now time.Time) []directory.Exclusion {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directory.Exclusions(f.conditions(limit, now))
}

// Exclusion tells whether a replica gets no new requests, and why.
func (f *Follower) Exclusion(id string, limit time.Duration, now time.Time) (directory.Exclusion, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directory.Exclusion(id, f.conditions(limit, now))
}

// conditions are those of now. f.mu is held.
func (f *Follower) conditions(limit time.Duration, now time.Time) directory.Conditions {
	return directory.Conditions{
		Now:              now,
		Limit:            limit,
		StoreUnavailable: func() bool { return f.storeUnavailable(limit, now) },
		SeenUnavailable:  f.outage.seen,
	}
}

// Ready tells whether a replica may have new work by the list at hand.
func (f *Follower) Ready(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directory.Ready(id)
}
