package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/croftyard/croftyard/internal/standin"
	"github.com/croftyard/croftyard/platform"
)

// rest is which replicas asked to be sent nothing for a while.
type rest struct{}

const (
	someRest = "some replicas rest"
	mostRest = "all but one rest"
)

const (
	restReplicas = 6
	restBefore   = 3 * time.Second
	restAfter    = 3 * time.Second
	// restBegins is how long after the answer that asks for it a rest binds, mostResting how many
	// requests a process of a router may send in it. Source: the users' rules.
	restBegins  = 500 * time.Millisecond
	mostResting = 2
)

func (rest) name() string      { return "rest" }
func (rest) changes() []string { return []string{someRest, mostRest} }

// lifetime is how long the replicas rest.
func (rest) lifetime(s scenario) time.Duration {
	const around = 15 * time.Second
	return around + s.absence + time.Duration(s.size)*(graceTime+s.absence+time.Second)
}

func (r rest) play(f *fleet) (outcome, error) {
	f.store.Put(platform.ConfigKey, plainConfiguration(1, key))
	replicas, err := f.addReplicas("r", restReplicas, standin.ReplicaOptions{Slots: 64, Work: 5 * time.Millisecond})
	if err != nil {
		return outcome{}, err
	}
	if err := f.start(); err != nil {
		return outcome{}, err
	}
	f.copied = f.store.Copy()
	resting := replicas[:restReplicas/2]
	if f.change == mostRest {
		resting = replicas[1:]
	}
	for _, replica := range resting {
		replica.Rest(r.lifetime(f.scenario), r.lifetime(f.scenario))
	}
	const callers, pause = 6, 10 * time.Millisecond
	calls := f.call(callers, pause, func() *exchange { return f.plain(pathRepeat) })
	s, err := f.endUnder(calls, restBefore, restAfter)
	if err != nil {
		return outcome{}, err
	}
	return r.check(f, resting, s), nil
}

// check counts what came to replicas that rest.
func (rest) check(f *fleet, resting []*standin.Replica, s span) outcome {
	o := outcomeOf(s)
	router := make(map[string]string)
	for _, e := range s.sent {
		router[e.id] = e.router
	}
	earlier, since := 0, 0
	for _, replica := range resting {
		// first is when each process of a router was first asked for rest, late what came then.
		first, late := make(map[string]time.Time), make(map[string]int)
		for _, run := range replica.Runs() {
			process := router[run.Attempt]
			if run.At.Before(s.ended) {
				earlier++
			} else {
				since++
				process += " returned"
			}
			at, asked := first[process]
			if !asked {
				first[process] = run.Ended
			} else if run.At.Sub(at) > restBegins {
				late[process]++
			}
		}
		for process, n := range late {
			if n > mostResting {
				o.broken += n - mostResting
				o.violations = append(o.violations, fmt.Sprintf("%s sent %d to %s in its rest", process, n, replica.ID))
			}
		}
	}
	slices.Sort(o.violations)
	o.notes = fmt.Sprintf("%d came to resting replicas before, %d since", earlier, since)
	return o
}
