package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/croftyard/croftyard/platform"
	"github.com/croftyard/croftyard/review/rig2"
)

const (
	// preempted is for how long a stream is silent: less than the 2.4 s for which its clients wait.
	preempted = 1700 * time.Millisecond
	// shortEvents are those of the streams that may be resumed, longEvents those of the others.
	shortEvents, shortGap = 24, 50 * time.Millisecond
	longEvents, longGap   = 93, 50 * time.Millisecond
)

// silent: a model replica preempts a sound stream for a while, as the others fill up, each with streams of its
// own zone and none of which they reject. The router that has the stream got a SIGHUP before it. LOST: no
// answer is ended sooner because a replica is silent.
func silent(w *world) (bool, error) {
	const rounds, between = 2, 6 * time.Second
	all, stop, err := w.startEngines()
	if err != nil {
		return false, err
	}
	defer stop()
	var replies []rig2.Reply
	wrong := 0
	for round := range rounds {
		reply, others := w.playRound(round, all)
		replies = append(append(replies, reply), others...)
		if reply.Begun == http.StatusOK && reply.Ended.Sub(reply.Sent) < 4*time.Second {
			wrong++
			w.note("LOST broken: %s got %d of %d events and then the end of its connection, %v after it was sent: %s", reply.Attempt, strings.Count(reply.Body, "data:"), shortEvents, reply.Ended.Sub(reply.Sent).Round(time.Millisecond), reply.Problem)
			for _, e := range all {
				if at, was := e.Rejected(reply.Attempt); was {
					w.note("%s rejected it %v after it was sent, as full", e.ID, at.Sub(reply.Sent).Round(time.Millisecond))
				}
			}
		}
		time.Sleep(between)
	}
	w.sum(replies)
	return wrong > 0, nil
}

// startEngines starts model replicas of two services, one of each in each zone, and waits as long as traffic comes after the machines.
func (w *world) startEngines() (all []*rig2.Engine, stop func(), err error) {
	const engines, calm = routers, 10 * time.Second
	w.store.Put(platform.ConfigKey, rig2.ModelConfig(4, rig2.Model))
	ended := make(chan struct{})
	stop = func() {
		close(ended)
		for _, e := range all {
			e.Close()
		}
	}
	for i := range 2 * engines {
		service := rig2.Model
		if i >= engines {
			service = rig2.OtherModel
		}
		e, err := rig2.StartEngine(fmt.Sprintf("i-e%d", i+1), service, fmt.Sprintf("zone-%d", i%engines+1), &w.runs, w.store, pieces, w.preemption)
		if err != nil {
			stop()
			return nil, nil, err
		}
		all = append(all, e)
	}
	go beatEngines(w.store, all, ended)
	time.Sleep(calm)
	return all, stop, nil
}

// longDeadline is that of the clients of long streams.
const longDeadline = 15 * time.Second

// prompt names the parts of a prompt, of which the first is shared by all of a zone.
func prompt(round, zone, n int) string {
	return fmt.Sprintf("%x:800,%x:110", 0xa0+zone, 0x10000+0x1000*round+0x100*zone+n)
}

func pieces(path string) (int, time.Duration) {
	if strings.HasPrefix(path, rig2.ResumePath) {
		return shortEvents, shortGap
	}
	return longEvents, longGap
}

func (w *world) preemption(path string) time.Duration {
	if w.trouble && strings.HasPrefix(path, rig2.ResumePath) {
		return preempted
	}
	return 0
}

// beatEngines rewrites the entries of model replicas, as these do.
func beatEngines(store *rig2.Store, all []*rig2.Engine, stop <-chan struct{}) {
	const heartbeat = 1200 * time.Millisecond
	for n := uint64(2); ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
		for _, e := range all {
			store.Put(platform.ReplicaKey(e.ID), e.Entry(n))
		}
	}
}

// playRound sends a stream that may be resumed, and a second later as many long streams as there are places
// left. Routers prefer the replica of their own zone, so each zone's clients fill theirs.
func (w *world) playRound(round int, all []*rig2.Engine) (rig2.Reply, []rig2.Reply) {
	const later, hupBefore = 1100 * time.Millisecond, 300 * time.Millisecond
	if w.trouble {
		w.routers[0].Signal(syscall.SIGHUP)
		w.list("%s SIGHUP to %s", time.Now().Format(clock), w.routers[0].Name)
	}
	time.Sleep(hupBefore)
	first := make(chan rig2.Reply, 1)
	go func() {
		client := rig2.NewClient(fmt.Sprintf("silent-%d", round+1))
		defer client.Close()
		first <- client.SendPrompt(w.routers[0], http.MethodPost, rig2.ResumePath+"x", rig2.Key, prompt(round, 0, 0), "a prompt", deadline)
	}()
	time.Sleep(later)
	var mu sync.Mutex
	var others []rig2.Reply
	var running sync.WaitGroup
	for i, e := range all[:routers] {
		places := rig2.EnginePlaces
		if i == 0 {
			places--
		}
		for n := range places {
			running.Go(func() {
				client := rig2.NewClient(fmt.Sprintf("long-%d-%s-%d", round+1, e.ID, n))
				defer client.Close()
				reply := client.SendPrompt(w.routers[i], http.MethodPost, rig2.StreamPath+"x", rig2.Key, prompt(round, i, n+1), "a prompt", longDeadline)
				mu.Lock()
				defer mu.Unlock()
				others = append(others, reply)
			})
			time.Sleep(10 * time.Millisecond)
		}
	}
	running.Wait()
	return <-first, others
}
