package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/croftyard/croftyard/platform"
	"github.com/croftyard/croftyard/review/rig2"
)

// moved: the route of a stream is moved to another service while the stream runs, and its replica preempts it
// for a while. LOST: no answer is ended sooner because a replica is silent.
func moved(w *world) (bool, error) {
	const rounds, later, between = 3, 300 * time.Millisecond, 8 * time.Second
	_, stop, err := w.startEngines()
	if err != nil {
		return false, err
	}
	defer stop()
	var replies []rig2.Reply
	service, version, wrong := rig2.Model, uint64(4), 0
	for round := range rounds {
		first := make(chan rig2.Reply, 1)
		go func() {
			client := rig2.NewClient(fmt.Sprintf("moved-%d", round+1))
			defer client.Close()
			first <- client.SendPrompt(w.routers[0], http.MethodPost, rig2.ResumePath+"x", rig2.Key, prompt(round, 0, 0), "a prompt", deadline)
		}()
		time.Sleep(later)
		if w.trouble {
			if version += 3; service == rig2.Model {
				service = rig2.OtherModel
			} else {
				service = rig2.Model
			}
			at := w.store.Put(platform.ConfigKey, rig2.ModelConfig(version, service))
			w.list("%s version %d is acknowledged, the route leads to %s", at.Format(clock), version, service)
		}
		reply := <-first
		replies = append(replies, reply)
		if reply.Begun == http.StatusOK && reply.Ended.Sub(reply.Sent) < deadline {
			wrong++
			w.note("LOST broken: %s got %d of %d events and then the end of its connection, %v after it was sent: %s", reply.Attempt, strings.Count(reply.Body, "data:"), shortEvents, reply.Ended.Sub(reply.Sent).Round(time.Millisecond), reply.Problem)
		}
		time.Sleep(between)
	}
	w.sum(replies)
	return wrong > 0, nil
}
