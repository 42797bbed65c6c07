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
	// spentTime is how long repeats are wanted before the routers end: the budget is spent.
	spentTime  = 10 * time.Second
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
	time.Sleep(spentTime)
	before, ended := f.calls(), time.Now()
	_, err = f.endAndReturn(func() {}, func() {})
	returned := time.Now()
	if err == nil {
		time.Sleep(retryAfter)
	}
	sent := calls.ended()
	if err != nil {
		return outcome{}, err
	}
	o := r.check(f, sent, ended, returned)
	o.before, o.since = before, f.calls().since(before)
	return o, nil
}

// check compares the repeats in each window with the bound. Source: the users' rules.
func (retries) check(f *fleet, sent []*exchange, ended, returned time.Time) outcome {
	var o outcome
	o.count(after(sent, returned))
	bounds := settings.Default().Bounds
	var requests, repeats []time.Time
	for _, e := range sent {
		requests = append(requests, e.sent)
	}
	first := make(map[string]bool)
	for _, run := range f.runs() {
		if first[run.Attempt] {
			repeats = append(repeats, run.At)
		}
		first[run.Attempt] = true
	}
	calm, worst := 0.0, 0.0
	for i, from := range repeats {
		most := 0
		for _, before := range []time.Duration{0, bounds.RepeatWindow / 2, bounds.RepeatWindow} {
			most = max(most, within(requests, from.Add(-before), bounds.RepeatWindow))
		}
		repeated := within(repeats[i:], from, bounds.RepeatWindow)
		allowed := bounds.RepeatRatio*float64(most) + bounds.RepeatAllowance
		part := float64(repeated) / allowed
		if from.Add(bounds.RepeatWindow).Before(ended) {
			calm = max(calm, part)
		}
		worst = max(worst, part)
		if over := repeated - int(allowed); over > o.broken {
			o.broken = over
			o.violations = []string{fmt.Sprintf("%d repeats within %s, %.0f allowed for %d requests", repeated, bounds.RepeatWindow, allowed, most)}
		}
	}
	o.notes = fmt.Sprintf("%.2f of the budget used in the worst window, %.2f before the end", worst, calm)
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
