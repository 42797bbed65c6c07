package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftyard/croftyard/internal/standin"
	"github.com/croftyard/croftyard/platform"
)

// deadly is which requests, or parts of their prompts, crash the replicas that run them.
type deadly struct{}

const (
	deadlyBody = "a body"
	deadlyPart = "a part"
)

const (
	deadlyReplicas = 8
	deadlyPause    = 100 * time.Millisecond
	// deadlyRun is how long a request that crashes its replica runs before, replicaAway how long
	// that replica is away.
	deadlyRun   = 60 * time.Millisecond
	replicaAway = 1500 * time.Millisecond
	// deadlyBefore is for how long it is sent before the routers end, deadlyAfter for how long
	// from their return on.
	deadlyBefore = 8 * time.Second
	deadlyAfter  = 6 * time.Second
	// From crashSettled after the crash numbered crashesKnown on, a request may reach
	// mostLateRuns more replicas. Source: the users' rules.
	crashesKnown = 3
	crashSettled = 3 * time.Second
	mostLateRuns = 3
	// deadlyText begins a deadly body, deadlyPartID is a deadly part.
	deadlyText   = "deadly"
	deadlyPartID = "dead01"
)

func (deadly) name() string                    { return "deadly" }
func (deadly) changes() []string               { return []string{deadlyBody, deadlyPart} }
func (deadly) lifetime(scenario) time.Duration { return 2 * time.Minute }

func (d deadly) play(f *fleet) (outcome, error) {
	f.store.Put(platform.ConfigKey, plainConfiguration(1, key))
	var over atomic.Bool
	var seats sync.WaitGroup
	defer seats.Wait()
	defer over.Store(true)
	options := standin.ReplicaOptions{Slots: 16, Work: 5 * time.Millisecond, Deadly: isDeadly}
	replicas, err := f.addReplicas("d", deadlyReplicas, options)
	if err != nil {
		return outcome{}, err
	}
	if err := f.start(); err != nil {
		return outcome{}, err
	}
	f.copied = f.store.Copy()
	for n, r := range replicas {
		seats.Go(func() { d.replace(f, n, r, &over) })
	}
	var number atomic.Uint64
	calls := f.call(1, deadlyPause, func() *exchange { return d.request(f, number.Add(1)) })
	s, err := f.endUnder(calls, deadlyBefore, deadlyAfter)
	if err != nil {
		return outcome{}, err
	}
	return d.check(f, s), nil
}

// replace starts a replica at a seat whenever the one before has crashed.
func (deadly) replace(f *fleet, seat int, r *standin.Replica, over *atomic.Bool) {
	const poll = 50 * time.Millisecond
	for n := 1; ; n++ {
		for !isEnded(r) {
			if over.Load() {
				return
			}
			time.Sleep(poll)
		}
		time.Sleep(replicaAway)
		f.store.Remove(platform.ReplicaKey(r.ID))
		next, err := f.addReplica(fmt.Sprintf("i-d-%d.%d", seat, n), r.Options)
		if err != nil {
			return
		}
		r = next
	}
}

func isEnded(r *standin.Replica) bool {
	select {
	case <-r.Ended():
		return true
	default:
		return false
	}
}

// request returns the next request: the same body each time, or another with the same part.
func (deadly) request(f *fleet, number uint64) *exchange {
	e := f.plain(pathRepeat)
	if f.change == deadlyBody {
		e.body = deadlyText
	} else {
		e.parts = fmt.Sprintf("%s:100,%x:100", deadlyPartID, number)
	}
	return e
}

func isDeadly(request *http.Request, body []byte) (time.Duration, bool) {
	parts := request.Header.Get(platform.Dialect().PromptParts)
	return deadlyRun, string(body) == deadlyText || strings.HasPrefix(parts, deadlyPartID)
}

// check counts the crashes, and what came late.
func (deadly) check(f *fleet, s span) outcome {
	o := outcome{before: s.before, since: s.since}
	var crashes []time.Time
	for _, r := range f.allReplicas() {
		if isEnded(r) {
			crashes = append(crashes, r.EndedAt())
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	more := 0
	for _, at := range crashes {
		if at.After(s.ended) {
			more++
		}
	}
	late := 0
	for _, run := range f.runs() {
		if len(crashes) >= crashesKnown && run.At.Sub(crashes[crashesKnown-1]) > crashSettled {
			late++
		}
	}
	// What the routers keep is that none is sent any more.
	for _, e := range s.afterReturn() {
		o.asked++
		if e.refused() {
			o.kept++
			o.slowest = max(o.slowest, e.headAfter)
		} else {
			o.failed++
		}
	}
	if late > mostLateRuns {
		o.broken = late - mostLateRuns
		o.violations = append(o.violations, fmt.Sprintf("%d came later than %s after crash %d, %d allowed", late, crashSettled, crashesKnown, mostLateRuns))
	}
	o.notes = fmt.Sprintf("%d crashes before, %d since", len(crashes)-more, more)
	return o
}
