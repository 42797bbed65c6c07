package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/croftyard/croftyard/review/rig2"
)

// request is what the clients of a case send.
type request struct {
	method, path, key string
}

// deadline is that of the clients of the small sites' plain services.
const deadline = 4 * time.Second

// send has clients send requests to all routers for a time, each some five a second.
func (w *world) send(clients int, lasting time.Duration, one request) []rig2.Reply {
	const pause = 200 * time.Millisecond
	var mu sync.Mutex
	var replies []rig2.Reply
	var running sync.WaitGroup
	end := time.Now().Add(lasting)
	for i := range clients {
		running.Go(func() {
			client := rig2.NewClient(fmt.Sprintf("%s-%.4s-%d", one.method, one.key, i+1))
			defer client.Close()
			for n := i; time.Now().Before(end); n++ {
				body := ""
				if one.method == http.MethodPost {
					body = fmt.Sprintf("deposit %d of client %d", n, i+1)
				}
				reply := client.Send(w.routers[n%len(w.routers)], one.method, one.path+fmt.Sprint(n), one.key, body, deadline)
				mu.Lock()
				replies = append(replies, reply)
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	running.Wait()
	return replies
}

// clock is how the record writes times.
const clock = "15:04:05.000"

// sum writes what was sent, answered and run, and how many answers had which status.
func (w *world) sum(replies []rig2.Reply) {
	slices.SortFunc(replies, func(a, b rig2.Reply) int { return a.Sent.Compare(b.Sent) })
	runs := w.runs.ByAttempt()
	counts := make(map[string]int)
	for _, r := range replies {
		ran := "did not run"
		for _, one := range runs[r.Attempt] {
			ran = fmt.Sprintf("ran at %s %s, answered %d %s", one.Replica, one.At.Format(clock), one.Status, one.Note)
		}
		w.list("%s %s %s key %s by %s: %s; the client got %d %q %s", r.Sent.Format(clock), r.Attempt, r.Path, r.Key, r.Router, ran, r.Status, r.Signature, r.Problem)
		name := fmt.Sprint(r.Status)
		if r.Status == 0 {
			name = "no whole answer"
		}
		if r.Signature == "" {
			name += ", no signature"
		}
		counts[name]++
	}
	w.note("sent %d, runs %d", len(replies), w.runs.Len())
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		w.note("answers %s: %d", name, counts[name])
	}
}
