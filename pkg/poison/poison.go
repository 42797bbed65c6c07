// Package poison recognises requests that crash the replicas which run them, so that the
// fleet stops sending them while all others are served.
//
//	Of        names a request by what it asks for, the same for each of its tries
//	Crashed   a replica crashed while it ran a request: one mark against it, and one
//	          against each other request that ran there
//	Served    a replica answered it whole: all marks against it go
//	Ask       may it be sent? Held after marks of so many replicas in a row
//	Begin     it is sent though suspected, at most once at a time
//	Untold, Recent, Sample, Merge
//	          what routers tell each other, so that marks of all of them count
//
// Marks name a request, a replica and a time, and are only ever added or taken away by a
// later whole answer, so routers agree in whatever order they hear. A request that is
// sound gathers marks by chance, beside one that is not; it sheds them with the next
// answer, which the other one never gets. One that was answered lately, as a look-up that
// everybody sends, is held after provenTimes as many crashes: it runs beside each of those
// that crash replicas, and would be held with them.
//
// The package does no I/O; time comes from the caller and is steady.
package poison

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Mark says that a replica crashed while it ran a request, or that one answered it.
type Mark struct {
	Digest Digest
	// Replica is the hash of the replica's id, 0 in a mark of an answer.
	Replica uint32
	// At is when the replica crashed, or when it had answered, by the holder's clock.
	At time.Time
	// Served: the replica answered whole.
	Served bool
}

// Limits can change while the memory is used.
type Limits struct {
	// Crashes is how many replicas in a row a request may crash before it is held;
	// 0: requests are never held.
	Crashes int
	// Hold is for how long it is then not sent. One try is made after it; each further
	// crash makes it holdGrowth times as long.
	Hold time.Duration
}

// Options of a memory. Its functions are called without a lock and may be nil.
type Options struct {
	Limits Limits
	// OnHeld is told when a request is held, Cleared when one that was held ended well.
	OnHeld    func(d Digest, crashes int, hold time.Duration)
	OnCleared func(d Digest)
}

const (
	// maxSuspects is how many requests with marks are remembered, the latest: at ten a
	// crash those of the last four hundred crashes.
	maxSuspects = 4096
	// maxHeld is the same for those that are held, which the others are not to push out:
	// each cost three replicas.
	maxHeld = 1024
	// life is how long marks hold: a request that comes once an hour is known in time.
	life = 24 * time.Hour
	// maxTrials is how often a held request is tried again in life: as often as the users
	// allow it to reach replicas. By the default of two minutes that is after 2, 12 and
	// 72 minutes: each costs those beside it a replica if the request is what it seems.
	maxTrials  = 3
	holdGrowth = 6
	// provenTimes is how many times as many crashes hold a request that was answered whole
	// in provenLife, and maxProven how many of them are remembered.
	provenTimes = 4
	provenLife  = 10 * time.Minute
	maxProven   = 8192
	// maxCrashes bounds what is kept of one request, where none is ever held.
	maxCrashes = 64
	// oneCrash is within what time marks of one replica are of one crash, as several
	// routers saw it and as it comes over ways of different length; a replica that starts
	// again within it is told from before by its start. oneAnswer is the same for answers.
	oneCrash  = 10 * time.Second
	oneAnswer = 5 * time.Second
)

// Tracker is what a router knows of requests that crash replicas. It is safe for
// concurrent use.
type Tracker struct {
	options Options
	news    chan struct{}

	mu       sync.Mutex
	limits   Limits
	suspects *simplelru.LRU[Digest, *suspect]
	held     *simplelru.LRU[Digest, *suspect]
	// proven is when requests were last answered whole by way of this router.
	proven *simplelru.LRU[Digest, time.Time]
	untold []Mark
	recent []learned
	next   int
}

// suspect is a request that marks were made against.
type suspect struct {
	crashes []crash
	// past are crashes that an answer took back: they may be told of again.
	past []crash
	// served is when it was last answered whole.
	served time.Time
	// trial is when it was last tried though held, trials how often.
	trial  time.Time
	trials int
	// running: a run that is to be the only one from this router is under way.
	running bool
}

// crash is one replica's.
type crash struct {
	replica uint32
	at      time.Time
}

// New returns an empty memory.
func New(o Options) *Tracker {
	m := &Tracker{options: o, limits: o.Limits, news: make(chan struct{}, 1)}
	m.suspects, m.held = newStore[*suspect](maxSuspects), newStore[*suspect](maxHeld)
	m.proven = newStore[time.Time](maxProven)
	return m
}

func newStore[V any](size int) *simplelru.LRU[Digest, V] {
	store, err := simplelru.NewLRU[Digest, V](size, nil)
	if err != nil {
		// The sizes are constants above zero.
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

// HasMarks tells whether there are marks at all: if not, no request needs a digest before it
// is sent.
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

// RecordCrash notes that a replica crashed at a time while it ran a request.
func (m *Tracker) RecordCrash(d Digest, replica uint32, at, now time.Time) {
	m.learn([]Mark{{Digest: d, Replica: replica, At: at}}, true, now)
}

// RecordSuccess notes that a replica answered a request whole.
func (m *Tracker) RecordSuccess(d Digest, now time.Time) {
	m.mu.Lock()
	m.proven.Add(d, now)
	s := m.find(d)
	marked := s != nil && len(s.crashes) > 0
	m.mu.Unlock()
	if marked {
		m.learn([]Mark{{Digest: d, At: now, Served: true}}, true, now)
	}
}

// find returns what is known of a request, or nil. m.mu is held.
func (m *Tracker) find(d Digest) *suspect {
	if s, found := m.held.Get(d); found {
		return s
	}
	s, _ := m.suspects.Get(d)
	return s
}

// learn takes marks, those that are new to be told on if asked for.
func (m *Tracker) learn(marks []Mark, tell bool, now time.Time) {
	var told []func()
	fresh := false
	m.mu.Lock()
	for _, mark := range marks {
		if !m.take(mark, now) {
			continue
		}
		m.noteRecent(mark, now)
		if tell {
			m.untold = append(m.untold, mark)
			fresh = true
		}
		if m.vouch(mark, now) {
			fresh = true
		}
		if tellOperator := m.settle(mark.Digest, now); tellOperator != nil {
			told = append(told, tellOperator)
		}
	}
	if over := len(m.untold) - maxTold; over > 0 {
		m.untold = m.untold[over:]
	}
	m.mu.Unlock()
	if fresh {
		m.wake()
	}
	for _, tell := range told {
		tell()
	}
}

// vouch tells the others of an answer from before a mark of a crash, if this router saw
// one. m.mu is held.
func (m *Tracker) vouch(mark Mark, now time.Time) bool {
	at, proven := m.proven.Peek(mark.Digest)
	if mark.Served || !proven || now.Sub(at) > provenLife || !m.find(mark.Digest).serve(at) {
		return false
	}
	answer := Mark{Digest: mark.Digest, At: at, Served: true}
	m.noteRecent(answer, now)
	m.untold = append(m.untold, answer)
	return true
}

// take takes one mark and tells whether it was new. m.mu is held.
func (m *Tracker) take(mark Mark, now time.Time) bool {
	if now.Sub(mark.At) > life {
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
		return s.serve(mark.At)
	}
	return s.add(crash{mark.Replica, mark.At})
}

// serve takes an answer and tells whether it was news.
func (s *suspect) serve(at time.Time) bool {
	var left, cleared []crash
	for _, c := range s.crashes {
		if c.at.After(at) {
			left = append(left, c)
		} else {
			cleared = append(cleared, c)
		}
	}
	// It comes over several ways, each a little later than the last: what clears nothing is
	// the answer that is known.
	if len(cleared) == 0 && at.Sub(s.served) < oneAnswer {
		return false
	}
	s.crashes, s.past = left, append(s.past, cleared...)
	s.past = s.past[max(len(s.past)-maxCrashes, 0):]
	s.served, s.trials, s.trial = at, 0, time.Time{}
	return true
}

// add takes a crash and tells whether it is another one.
func (s *suspect) add(c crash) bool {
	if !c.at.After(s.served) {
		return false
	}
	for _, known := range slices.Concat(s.crashes, s.past) {
		if known.replica == c.replica && known.at.Sub(c.at).Abs() < oneCrash {
			return false
		}
	}
	if len(s.crashes) >= maxCrashes {
		return false
	}
	s.crashes = append(s.crashes, c)
	return true
}

// limit is how many crashes in a row hold a request. m.mu is held.
func (m *Tracker) limit(s *suspect, now time.Time) int {
	if !s.served.IsZero() && now.Sub(s.served) <= provenLife {
		return provenTimes * m.limits.Crashes
	}
	return m.limits.Crashes
}

// settle puts a request among those that are held, or takes it from them, and returns who
// is to be told of it, or nil. m.mu is held.
func (m *Tracker) settle(d Digest, now time.Time) func() {
	s := m.find(d)
	was := m.held.Contains(d)
	is := m.limits.Crashes > 0 && len(s.crashes) >= m.limit(s, now)
	if was == is {
		return nil
	}
	if is {
		m.suspects.Remove(d)
		m.held.Add(d, s)
		crashes, hold := len(s.crashes), m.heldUntil(s, now).Sub(now)
		return func() {
			if m.options.OnHeld != nil {
				m.options.OnHeld(d, crashes, hold)
			}
		}
	}
	m.held.Remove(d)
	m.suspects.Add(d, s)
	return func() {
		if m.options.OnCleared != nil {
			m.options.OnCleared(d)
		}
	}
}
