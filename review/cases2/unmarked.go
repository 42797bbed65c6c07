package main

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/croftyard/croftyard/platform"
	"github.com/croftyard/croftyard/review/rig2"
)

// Times of the cases with a replica that fails a part of its requests.
const (
	calmBefore = 3 * time.Second
	failing    = 6 * time.Second
	calmAfter  = 3 * time.Second
	// failClients send as many requests a second as four slots of a replica serve.
	failClients = 12
)

// failPart makes some of each 20 requests of a replica fail. n counts those that fail.
func failPart(bad int64, fail func(w http.ResponseWriter, run *rig2.Run, n int64)) rig2.Answer {
	const of = 20
	var asked, failed atomic.Int64
	return func(w http.ResponseWriter, run *rig2.Run) bool {
		if asked.Add(1)%of >= bad {
			return false
		}
		fail(w, run, failed.Add(1))
		return true
	}
}

// failFirst makes the first replica fail for a time, and returns a function that waits for its end.
func (w *world) failFirst(answer rig2.Answer, lasting time.Duration) (wait func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(calmBefore)
		if w.trouble {
			w.replicas[0].SetAnswer(answer)
			w.list("%s the first replica begins to fail a part of its requests", time.Now().Format(clock))
		}
		time.Sleep(lasting)
		w.replicas[0].SetAnswer(nil)
	}()
	return func() { <-done }
}

// unmarked: one of three replicas runs requests and answers some of them 429 or 408 by itself, without the
// mark of not having run. REFUSED: what may run once and has run is not answered 429, 503, 408 or 421.
func unmarked(w *world) (bool, error) {
	const grey = 9 // of 20: 0.45
	wait := w.failFirst(failPart(grey, func(rw http.ResponseWriter, run *rig2.Run, n int64) {
		run.Status = http.StatusTooManyRequests
		if n%2 == 0 {
			run.Status = http.StatusRequestTimeout
		}
		run.Note = "failed, without " + platform.Dialect().NotExecuted
		const text = "failed after the work"
		rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
		rw.WriteHeader(run.Status)
		_, _ = io.WriteString(rw, text)
	}), failing)
	replies := w.send(failClients, calmBefore+failing+calmAfter, request{http.MethodPost, "/unsafe/", rig2.Key})
	wait()
	w.sum(replies)
	runs := w.runs.ByAttempt()
	wrong := make(map[int]int)
	for _, r := range replies {
		switch r.Status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if len(runs[r.Attempt]) > 0 {
				wrong[r.Status]++
			}
		}
	}
	for status, n := range wrong {
		w.note("REFUSED broken: %d requests that may run once have run and were answered %d", n, status)
	}
	return len(wrong) > 0, nil
}
