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
	replicasFail  = "replicas fail some"
)

const (
	onceReplicas = 6
	onceWork     = 50 * time.Millisecond
	onceBefore   = 2 * time.Second
	onceAfter    = 3 * time.Second
)

func (once) name() string                    { return "once" }
func (once) changes() []string               { return []string{replicasSound, replicasFull, replicasFail} }
func (once) lifetime(scenario) time.Duration { return callDeadline }

func (r once) play(f *fleet) (outcome, error) {
	f.store.Put(platform.ConfigKey, plainConfiguration(1, key))
	replicas, err := f.addReplicas("o", onceReplicas, standin.ReplicaOptions{Slots: 64, Work: onceWork})
	if err != nil {
		return outcome{}, err
	}
	fault := map[string]standin.ReplicaFault{replicasFull: standin.FaultFull, replicasFail: standin.FaultGarbled}[f.change]
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
	s, err := f.endUnder(calls, onceBefore, onceAfter)
	if err != nil {
		return outcome{}, err
	}
	return r.check(f, s), nil
}

// check finds what ran twice, and what ran although it was refused.
func (once) check(f *fleet, s span) outcome {
	o := outcomeOf(s)
	ran := make(map[string]int)
	for _, run := range f.runs() {
		if !run.Refused {
			ran[run.Attempt]++
		}
	}
	for _, e := range s.sent {
		switch {
		case ran[e.id] > 1:
			o.broken++
			o.violations = append(o.violations, fmt.Sprintf("%s ran %d times", e.id, ran[e.id]))
		case ran[e.id] > 0 && e.refused():
			o.broken++
			o.violations = append(o.violations, fmt.Sprintf("%s was refused with %d and ran", e.id, e.status))
		}
	}
	o.notes = fmt.Sprintf("%d sent in all", len(s.sent))
	return o
}
