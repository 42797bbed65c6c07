package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/croftyard/croftyard/review/rig2"
)

// stillWorks is how long the replica before may go on once a request goes on elsewhere.
const stillWorks = 400 * time.Millisecond

// twice: a model replica that does not drop a request when its connection is closed preempts a sound stream
// for a while. TWICE: no request goes on at another replica while the one before still works on it 400 ms later.
func twice(w *world) (bool, error) {
	const rounds, between = 4, time.Second
	all, stop, err := w.startEngines()
	if err != nil {
		return false, err
	}
	defer stop()
	all[0].Stays = true
	var replies []rig2.Reply
	for round := range rounds {
		client := rig2.NewClient(fmt.Sprintf("twice-%d", round+1))
		replies = append(replies, client.SendPrompt(w.routers[0], http.MethodPost, rig2.ResumePath+"x", rig2.Key, prompt(round, 0, 0), "a prompt", deadline))
		client.Close()
		time.Sleep(between)
	}
	time.Sleep(deadline)
	w.sum(replies)
	wrong := 0
	for attempt, runs := range w.runs.ByAttempt() {
		for _, before := range runs {
			for _, next := range runs {
				if next.At.After(before.At) && before.Ended.Sub(next.At) > stillWorks {
					wrong++
					w.note("TWICE broken: %s went on at %s %v after it began at %s, which worked on it for %v more", attempt, next.Replica,
						next.At.Sub(before.At).Round(time.Millisecond), before.Replica, before.Ended.Sub(next.At).Round(time.Millisecond))
				}
			}
		}
	}
	return wrong > 0, nil
}
