package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/croftyard/croftyard/internal/settings"
	"github.com/croftyard/croftyard/internal/standin"
	"github.com/croftyard/croftyard/platform"
)

// retries is how much of the budget for repeats was spent.
type retries struct{}

const (
	allFull   = "all turn away"
	halfFails = "half fail"
)

const (
	retryReplicas = 6
	// spentTime is how long repeats are wanted before the routers end: the allowance is spent, and
	// the window in which it was lasts on.
	spentTime  = 3 * time.Second
	retryAfter = 6 * time.Second
)

func (retries) name() string                    { return "retries" }
func (retries) changes() []string               { return []string{allFull, halfFails} }
func (retries) lifetime(scenario) time.Duration { return settings.Default().Bounds.RepeatWindow }

func (r retries) play(f *fleet) (outcome, error) {
	f.store.Put(platform.ConfigKey, plainConfiguration(1, key))
	replicas, err := f.addReplicas("b", retryReplicas, standin.ReplicaOptions{Slots: 64, Work: 5 * time.Millisecond})
	if err != nil {
		return outcome{}, err
	}
	if err := f.start(); err != nil {
		return outcome{}, err
	}
	f.copied = f.store.Copy()
	const manyFaults = 100_000
	for i, replica := range replicas {
		switch {
		case f.change == allFull:
			replica.Fail(slices.Repeat([]standin.ReplicaFault{standin.FaultFull}, manyFaults)...)
		case i%2 == 0:
			replica.Fail(slices.Repeat([]standin.ReplicaFault{standin.FaultError}, manyFaults)...)
		}
	}
	const callers, pause = 8, 20 * time.Millisecond
	calls := f.call(callers, pause, func() *exchange { return f.plain(pathRepeat) })
	s, err := f.endUnder(calls, spentTime, retryAfter)
	if err != nil {
		return outcome{}, err
	}
	return r.check(f, s), nil
}

// check compares the repeats in each window with the bound. Source: the users' rules.
func (retries) check(f *fleet, s span) outcome {
	o := outcomeOf(s)
	bounds := settings.Default().Bounds
	var requests, repeats []time.Time
	for _, e := range s.sent {
		requests = append(requests, e.sent)
	}
	first := make(map[string]bool)
	for _, run := range f.runs() {
		if first[run.Attempt] {
			repeats = append(repeats, run.At)
		}
		first[run.Attempt] = true
	}
	worst := 0.0
	for i, from := range repeats {
		most := 0
		for _, before := range []time.Duration{0, bounds.RepeatWindow / 2, bounds.RepeatWindow} {
			most = max(most, within(requests, from.Add(-before), bounds.RepeatWindow))
		}
		repeated := within(repeats[i:], from, bounds.RepeatWindow)
		allowed := bounds.RepeatRatio*float64(most) + bounds.RepeatAllowance
		worst = max(worst, float64(repeated)/allowed)
		if over := repeated - int(allowed); over > o.broken {
			o.broken = over
			o.violations = []string{fmt.Sprintf("%d repeats within %s, %.0f allowed for %d requests", repeated, bounds.RepeatWindow, allowed, most)}
		}
	}
	early := 0
	for _, at := range repeats {
		if at.Before(s.ended) {
			early++
		}
	}
	o.notes = fmt.Sprintf("%.2f of the budget used in the worst window; %d repeats before, %d since", worst, early, len(repeats)-early)
	return o
}

// within counts the times in a window.
func within(times []time.Time, from time.Time, window time.Duration) (n int) {
	for _, at := range times {
		if !at.Before(from) && !at.After(from.Add(window)) {
			n++
		}
	}
	return n
}
