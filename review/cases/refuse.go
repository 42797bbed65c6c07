package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/croftyard/croftyard/review/rig"
)

// playRefuse sends requests that may run at most once to replicas of which one, while its health
// check is good, fails a part of its requests: it runs them and answers 429 of its own, without the
// mark of not having run.
func playRefuse(r *rig.Rig, trouble bool) (bool, error) {
	replicas, err := r.Replicas(rig.API, 3, 6, func(p *rig.Replica, w http.ResponseWriter, q *http.Request, run *rig.Run) {
		time.Sleep(60 * time.Millisecond)
		if trouble && p.ID == "i-"+rig.API+"1" && strings.HasSuffix(run.Attempt, "3") {
			p.Note("has run request %s, and fails it with 429", run.Attempt)
			w.WriteHeader(http.StatusTooManyRequests)
			fmt.Fprintln(w, "too many changes of this record")
			return
		}
		fmt.Fprintln(w, "done", run.Attempt)
	})
	if err != nil {
		return false, err
	}
	r.Store.Put("op/config", rig.Config(7))
	routers, err := r.StartRouters(3)
	if err != nil {
		return false, err
	}
	broken := false
	for i := range 120 {
		client, err := r.Dial(routers[i%len(routers)])
		if err != nil {
			return false, err
		}
		q := rig.Request{Method: http.MethodPost, Path: "/puxa403/2f", Attempt: fmt.Sprintf("d%03d", i), Deadline: 3 * time.Second, Body: "one change"}
		a := client.Ask(q)
		client.Close()
		// Clients repeat what may run at most once only after a promise that it has not run.
		if again := q; a.Status == http.StatusTooManyRequests {
			again.Attempt = "e" + q.Attempt[1:]
			if other, err := r.Dial(routers[(i+1)%len(routers)]); err == nil {
				r.Log("the client believes that %s has not run, and sends the same change again", q.Attempt)
				other.Ask(again)
				other.Close()
			}
		}
		if !trouble && a.Status != http.StatusOK {
			return false, errors.New("a request without the disruption was not served")
		}
		ran := 0
		for _, replica := range replicas {
			ran += len(replica.Runs(q.Attempt))
		}
		if promises(a.Status) && ran > 0 {
			// REFUSED: it has run, yet the answer promises that it has not.
			r.Log("request %s has run and was answered %d", q.Attempt, a.Status)
			broken = true
		}
	}
	return broken, nil
}

// promises reports whether a status promises that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
