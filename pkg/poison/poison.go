// Package poison detects requests that crash the replicas which run them, so that the
// fleet stops sending them and keeps serving all others.
//
//	NewDigest      identifies a request by its content, the same for every attempt
//	RecordCrash    a replica crashed while it ran a request: one mark against it, and
//	               one against each other request that ran there
//	RecordSuccess  a replica answered in full: clears the request's marks
//	Check          tells whether a request may be sent or is held
//	BeginRun       starts a run of a suspected request, at most one at a time
//	TakePending, Recent, Sample, Merge
//	               exchange marks between routers, so that those of all routers count
//	Held, Restore  carry what is held over an end of all routers, by a record in a store
//
// A mark names a request, a replica and a time. Marks are only added, or removed by a
// later full answer, so routers converge whatever the order of delivery. A harmless
// request collects marks by chance when it runs beside a harmful one; its next answer
// clears them, and the harmful one never gets an answer. A request that was answered
// recently, such as a look-up that every client sends, is held only after answeredFactor
// times as many crashes: it runs beside every request that crashes a replica and would
// otherwise be held with them.
//
// The package does no I/O. The caller passes the time, from a monotonic clock.
package poison

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Mark records that a replica crashed while it ran a request, or answered it in full.
type Mark struct {
	Digest Digest
	// Replica is the hash of the replica's id, 0 in the mark of an answer.
	Replica uint32
	// Organisation is, in the mark of a crash under a part of a prompt, the hash of the
	// organisation that sent it; else 0.
	Organisation uint32
	// Shared is set, in the mark of a crash under a part of a prompt, if another part of the prompt
	// is the likelier cause.
	Shared bool
	// At is when the replica crashed or finished its answer, by the local clock.
	At time.Time
	// Served tells that the replica answered in full.
	Served bool
}

// Limits holds the settings of a Tracker. They can change while it is in use.
type Limits struct {
	// Crashes is how many replicas in a row a request may crash before it is held;
	// 0: requests are never held.
	Crashes int
	// Hold is how long a held request is not sent. One trial follows; each further crash
	// multiplies the time by holdGrowth.
	Hold time.Duration
}

// Options configures a Tracker. The callbacks run without a lock and may be nil.
type Options struct {
	Limits Limits
	// OnHeld is called when a request becomes held, OnCleared when a held one was answered.
	OnHeld    func(d Digest, crashes int, hold time.Duration)
	OnCleared func(d Digest)
}

const (
	// maxSuspects bounds the requests with marks that are kept, the latest first: at ten
	// requests a crash, those of the last four hundred crashes.
	maxSuspects = 4096
	// maxHeld bounds the held requests. They are kept apart, so that suspects don't evict
	// them: each held request cost three replicas.
	maxHeld = 1024
	// markLifetime is how long marks count, so that a request which comes only once an hour
	// is still detected.
	markLifetime = 24 * time.Hour
	// maxTrials bounds the trials of a held request within markLifetime, as often as users
	// accept that it reaches replicas. With the default hold of two minutes the trials
	// come after 2, 12 and 72 minutes. A trial of a harmful request crashes a replica and
	// with it the other requests that run there.
	maxTrials  = 3
	holdGrowth = 6
	// A request that was answered in full within answeredWindow is held after
	// answeredFactor times as many crashes; maxAnswered bounds how many are remembered.
	answeredFactor = 4
	answeredWindow = 10 * time.Minute
	maxAnswered    = 8192
	// maxCrashes bounds the crashes kept of one request where holding is turned off.
	maxCrashes = 64
	// Marks of one replica within crashWindow are of the same crash: several routers saw
	// it, and their marks arrive over paths of different delay. A replica that restarts
	// within the window differs by its start. answerWindow is the same for answers.
	crashWindow  = 10 * time.Second
	answerWindow = 5 * time.Second
)

// Tracker records requests that crash replicas. It is safe for concurrent use.
type Tracker struct {
	options Options
	policy  policy
	updates chan struct{}

	mu       sync.Mutex
	limits   Limits
	suspects *simplelru.LRU[Digest, *suspect]
	held     *simplelru.LRU[Digest, *suspect]
	// answered is when requests were last answered in full through this router.
	answered     *simplelru.LRU[Digest, time.Time]
	pending      []Mark
	recent       []learnedMark
	sampleOffset int
}

// policy is what differs between trackers of requests and of parts.
type policy struct {
	answeredWindow time.Duration
	// settleTime is how long after a request becomes held further crashes are of runs that
	// had begun before. Zero means not at all.
	settleTime time.Duration
	// sharesOnMerge is set if this router sends its own recent answer when a crash mark of another
	// router arrives.
	sharesOnMerge bool
	// reportsOnCheck is set if OnHeld is called by the first refusal, not by the last mark.
	reportsOnCheck bool
}

// New returns an empty Tracker.
func New(o Options) *Tracker {
	return newTracker(o, policy{answeredWindow: answeredWindow, sharesOnMerge: true})
}

func newTracker(o Options, p policy) *Tracker {
	m := &Tracker{options: o, policy: p, limits: o.Limits, updates: make(chan struct{}, 1)}
	m.suspects, m.held = newLRU[*suspect](maxSuspects), newLRU[*suspect](maxHeld)
	m.answered = newLRU[time.Time](maxAnswered)
	return m
}

func newLRU[V any](size int) *simplelru.LRU[Digest, V] {
	store, err := simplelru.NewLRU[Digest, V](size, nil)
	if err != nil {
		// NewLRU fails only for a size of zero or less, and the sizes are positive constants.
		panic(err)
	}
	return store
}

// SetLimits changes the limits.
func (m *Tracker) SetLimits(l Limits) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limits = l
}

// HasMarks tells whether there are any marks. Without marks, no request needs a digest
// before it is sent.
func (m *Tracker) HasMarks() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.suspects.Len()+m.held.Len() > 0
}

// Counts returns how many requests have marks, and how many of them are held.
func (m *Tracker) Counts() (marked, held int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.suspects.Len() + m.held.Len(), m.held.Len()
}

// RecordCrash records that a replica crashed at a time while it ran a request.
func (m *Tracker) RecordCrash(d Digest, replica uint32, at, now time.Time) {
	m.applyMarks([]Mark{{Digest: d, Replica: replica, At: at}}, true, true, now)
}

// RecordSuccess records that a replica answered a request in full.
func (m *Tracker) RecordSuccess(d Digest, now time.Time) {
	m.mu.Lock()
	m.answered.Add(d, now)
	s := m.find(d)
	marked := s != nil && len(s.crashes) > 0
	m.mu.Unlock()
	if marked {
		m.applyMarks([]Mark{{Digest: d, At: now, Served: true}}, true, true, now)
	}
}

// find returns the record of a request, or nil. The caller holds m.mu.
func (m *Tracker) find(d Digest) *suspect {
	if s, found := m.held.Get(d); found {
		return s
	}
	s, _ := m.suspects.Get(d)
	return s
}

// applyMarks applies marks. If forward is set, it queues the new ones for other routers, and if
// share is set, this router's own answers too.
func (m *Tracker) applyMarks(marks []Mark, forward, share bool, now time.Time) {
	var callbacks []func()
	updated := false
	m.mu.Lock()
	for _, mark := range marks {
		if !m.apply(mark, now) {
			continue
		}
		m.addRecent(mark, now)
		if forward {
			m.pending = append(m.pending, mark)
			updated = true
		}
		if share && m.shareAnswer(mark, now) {
			updated = true
		}
		if callback := m.updateHeld(mark.Digest, now); callback != nil {
			callbacks = append(callbacks, callback)
		}
	}
	if over := len(m.pending) - maxPending; over > 0 {
		m.pending = m.pending[over:]
	}
	m.mu.Unlock()
	if updated {
		m.signalUpdate()
	}
	for _, callback := range callbacks {
		callback()
	}
}

// shareAnswer queues this router's own recent answer to a request for the other routers
// when a crash mark of the request arrives. The caller holds m.mu.
func (m *Tracker) shareAnswer(mark Mark, now time.Time) bool {
	at, proven := m.answered.Peek(mark.Digest)
	if mark.Served || !proven || now.Sub(at) > m.policy.answeredWindow || !m.find(mark.Digest).addAnswer(at) {
		return false
	}
	answer := Mark{Digest: mark.Digest, At: at, Served: true}
	m.addRecent(answer, now)
	m.pending = append(m.pending, answer)
	return true
}

// apply applies one mark and tells whether it was new. The caller holds m.mu.
func (m *Tracker) apply(mark Mark, now time.Time) bool {
	if now.Sub(mark.At) > markLifetime {
		return false
	}
	s := m.find(mark.Digest)
	if s == nil {
		if mark.Served {
			return false
		}
		s = &suspect{}
		m.suspects.Add(mark.Digest, s)
	}
	if mark.Served {
		return s.addAnswer(mark.At)
	}
	return s.addCrash(crash{mark.Replica, mark.Organisation, mark.Shared, mark.At, false})
}

// crashLimit returns how many crashes in a row hold a request. The caller holds m.mu.
func (m *Tracker) crashLimit(s *suspect, now time.Time) int {
	if !s.answeredAt.IsZero() && now.Sub(s.answeredAt) <= m.policy.answeredWindow {
		return answeredFactor * m.limits.Crashes
	}
	return m.limits.Crashes
}

// updateHeld moves a request into or out of the held ones and returns the callback to run
// without the lock, or nil. The caller holds m.mu.
func (m *Tracker) updateHeld(d Digest, now time.Time) func() {
	s := m.find(d)
	wasHeld := m.held.Contains(d)
	isHeld := m.limits.Crashes > 0 && weightOf(s.crashes) >= crashWeight*m.crashLimit(s, now)
	if wasHeld == isHeld {
		return nil
	}
	if isHeld {
		m.suspects.Remove(d)
		m.held.Add(d, s)
		s.heldSince = now
		if m.policy.reportsOnCheck {
			return nil
		}
		s.reported = true
		crashes, hold := len(s.crashes), m.heldUntil(s, now).Sub(now)
		return func() {
			if m.options.OnHeld != nil {
				m.options.OnHeld(d, crashes, hold)
			}
		}
	}
	m.held.Remove(d)
	m.suspects.Add(d, s)
	if !s.reported {
		return nil
	}
	s.reported = false
	return func() {
		if m.options.OnCleared != nil {
			m.options.OnCleared(d)
		}
	}
}
