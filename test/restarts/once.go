package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/croftyard/croftyard/internal/standin"
	"github.com/croftyard/croftyard/platform"
)

// once is what may run once only.
type once struct{}

const (
	replicasSound = "replicas sound"
	replicasFull  = "replicas turn some away"
	replicasBreak = "replicas break some off"
)

const (
	onceReplicas = 6
	onceWork     = 50 * time.Millisecond
	onceBefore   = 2 * time.Second
	onceAfter    = 3 * time.Second
)

func (once) name() string                    { return "once" }
func (once) changes() []string               { return []string{replicasSound, replicasFull, replicasBreak} }
func (once) lifetime(scenario) time.Duration { return callDeadline }

func (r once) play(f *fleet) (outcome, error) {
	f.store.Put(platform.ConfigKey, plainConfiguration(1, key))
	replicas, err := f.addReplicas("o", onceReplicas, standin.ReplicaOptions{Slots: 64, Work: onceWork})
	if err != nil {
		return outcome{}, err
	}
	fault := map[string]standin.ReplicaFault{replicasFull: standin.FaultFull, replicasBreak: standin.FaultCut}[f.change]
	if err := f.start(); err != nil {
		return outcome{}, err
	}
	f.copied = f.store.Copy()
	const manyFaults = 100_000
	for _, replica := range replicas[:onceReplicas/2] {
		if fault != "" {
			replica.Fail(slices.Repeat([]standin.ReplicaFault{"", fault}, manyFaults)...)
		}
	}
	const callers, pause = 24, 5 * time.Millisecond
	calls := f.call(callers, pause, func() *exchange { return f.plain(pathOnce) })
	time.Sleep(onceBefore)
	before := f.calls()
	_, err = f.endAndReturn(func() {}, func() {})
	returned := time.Now()
	if err == nil {
		time.Sleep(onceAfter)
	}
	sent := calls.ended()
	if err != nil {
		return outcome{}, err
	}
	o := r.check(f, sent, returned)
	o.before, o.since = before, f.calls().since(before)
	return o, nil
}

// check finds what ran twice, and what ran although it was refused.
func (once) check(f *fleet, sent []*exchange, returned time.Time) outcome {
	var o outcome
	o.count(after(sent, returned))
	ran := make(map[string]int)
	for _, run := range f.runs() {
		if !run.Refused {
			ran[run.Attempt]++
		}
	}
	for _, e := range sent {
		switch {
		case ran[e.id] > 1:
			o.broken++
			o.violations = append(o.violations, fmt.Sprintf("%s ran %d times", e.id, ran[e.id]))
		case ran[e.id] > 0 && e.refused():
			o.broken++
			o.violations = append(o.violations, fmt.Sprintf("%s was refused with %d and ran", e.id, e.status))
		}
	}
	o.notes = fmt.Sprintf("%d sent in all", len(sent))
	return o
}
