package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/croftyard/croftyard/review/rig"
)

// Streams of a chat route: most are short, one is long. All are within the route's time-out.
const (
	streamGap   = 50 * time.Millisecond
	shortEvents = 10
	longEvents  = 100
)

// playStop has a client with an open connection send a long stream to a router 3.3 s after
// the router's SIGTERM.
func playStop(r *rig.Rig, trouble bool) (bool, error) {
	replicas, err := r.Replicas(rig.LLM, 3, 64, func(p *rig.Replica, w http.ResponseWriter, q *http.Request, run *rig.Run) {
		n := shortEvents
		if strings.HasPrefix(run.Body, "long") {
			n = longEvents
		}
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		flush := func() { _ = http.NewResponseController(w).Flush() }
		p.Stream(w, flush, q, run, n, streamGap)
	})
	if err != nil {
		return false, err
	}
	r.Store.PutConfig(rig.Config(7))
	routers, err := r.StartRouters(3)
	if err != nil {
		return false, err
	}
	stopped := routers[0]
	busy, err := r.Dial(stopped)
	if err != nil {
		return false, err
	}
	for i := range 8 {
		q := chat(fmt.Sprintf("a0%02d", i), "short")
		if a := busy.Ask(q); a.Status != http.StatusOK || !a.Complete {
			return false, errors.New("a stream before the disruption was not served")
		}
	}
	// The client's connection rests for about 4 s, of the 15 s that the limits allow.
	waiting, err := r.Dial(stopped)
	if err != nil {
		return false, err
	}
	if a := waiting.Ask(chat("b000", "short")); a.Status != http.StatusOK || !a.Complete {
		return false, errors.New("a stream before the disruption was not served")
	}
	asked := time.Now()
	if trouble {
		stopped.Signal(syscall.SIGTERM)
	}
	time.Sleep(time.Until(asked.Add(3300 * time.Millisecond)))
	q := chat("c000", "long")
	r.Log("%.2f s after the SIGTERM:", time.Since(asked).Seconds())
	a := waiting.Ask(q)
	ran := 0
	for _, replica := range replicas {
		ran += len(replica.Runs(q.Attempt))
	}
	r.Log("request %s: runs %d, status %d, events %d of %d, complete %t, %.2f s after the SIGTERM", q.Attempt, ran, a.Status, strings.Count(a.Body, "\n\n"), longEvents, a.Complete, time.Since(asked).Seconds())
	// LOST: the request was passed on to a replica, and the connection ended without a complete answer.
	return ran > 0 && !a.Complete, nil
}

func chat(attempt, body string) rig.Request {
	return rig.Request{Method: http.MethodPost, Path: "/volo102/2f", Attempt: attempt, Deadline: 15 * time.Second, Prompt: true, Body: body}
}
