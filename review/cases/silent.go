package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/croftyard/croftyard/review/rig"
)

const (
	// Each replica works on so many requests at once, and queues so many more.
	slots, queued = 2, 1
	// The watched stream, and the pause within it while its run is preempted and read anew.
	watchedEvents = 24
	pauseAfter    = 4
	preempted     = 1700 * time.Millisecond
)

// engines are replicas that reject what they have no room for.
type engines struct {
	mu     sync.Mutex
	taken  map[string]int
	places map[string]chan struct{}
}

// enter takes a slot or waits for one, and reports whether there was room.
func (e *engines) enter(p *rig.Replica) (leave func(), entered bool) {
	e.mu.Lock()
	if e.places[p.ID] == nil {
		e.places[p.ID] = make(chan struct{}, slots)
	}
	places := e.places[p.ID]
	if e.taken[p.ID] == slots+queued {
		e.mu.Unlock()
		return nil, false
	}
	e.taken[p.ID]++
	e.mu.Unlock()
	places <- struct{}{}
	return func() {
		<-places
		e.mu.Lock()
		e.taken[p.ID]--
		e.mu.Unlock()
	}, true
}

// playSilent has a replica preempt a stream that may be resumed, for less time than clients wait,
// while the other replicas are full.
func playSilent(r *rig.Rig, trouble bool) (bool, error) {
	e := &engines{taken: make(map[string]int), places: make(map[string]chan struct{})}
	replicas, err := r.Replicas(rig.LLM, 3, slots, func(p *rig.Replica, w http.ResponseWriter, q *http.Request, run *rig.Run) {
		leave, entered := e.enter(p)
		if !entered {
			p.Note("is full and rejects request %s", run.Attempt)
			w.Header().Del(rig.SignatureHeader)
			w.Header().Set(rig.NotExecutedHeader, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer leave()
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		flush := func() { _ = http.NewResponseController(w).Flush() }
		if !strings.HasPrefix(run.Body, "watched") {
			p.Stream(w, flush, q, run, longEvents, streamGap)
			return
		}
		p.StreamPaused(w, flush, q, run, watchedEvents, func(n int) time.Duration {
			if trouble && n == pauseAfter {
				p.Note("preempts the run of request %s after %d events", run.Attempt, n)
				return preempted
			}
			return streamGap
		})
	})
	if err != nil {
		return false, err
	}
	r.Store.PutConfig(rig.Config(7))
	routers, err := r.StartRouters(3)
	if err != nil {
		return false, err
	}
	watched := rig.Request{Method: http.MethodPost, Path: "/pufi791/2f", Attempt: "a000", Deadline: 4 * time.Second, Prompt: true, Body: "watched"}
	client, err := r.Dial(routers[0])
	if err != nil {
		return false, err
	}
	if err := client.Send(watched); err != nil {
		return false, err
	}
	time.Sleep(20 * time.Millisecond)
	// Others take all places that are left, through all routers.
	var others sync.WaitGroup
	for i := range 3*(slots+queued) + 6 {
		others.Go(func() {
			c, err := r.Dial(routers[i%len(routers)])
			if err != nil {
				return
			}
			defer c.Close()
			c.Ask(chat(fmt.Sprintf("b%03d", i), "other"))
		})
		time.Sleep(4 * time.Millisecond)
	}
	a := client.Receive(watched)
	ran := 0
	for _, replica := range replicas {
		ran += len(replica.Runs(watched.Attempt))
	}
	r.Log("request %s: came to %d replicas, status %d, %d of %d events, complete %t", watched.Attempt, ran, a.Status, strings.Count(a.Body, "\n\n"), watchedEvents, a.Complete)
	// LOST: the connection ended without a complete answer.
	return a.Status == http.StatusOK && !a.Complete, nil
}
