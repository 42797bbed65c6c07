package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/croftyard/croftyard/internal/settings"
	"github.com/croftyard/croftyard/internal/standin"
	"github.com/croftyard/croftyard/platform"
)

// orders is what the operator took away: a data centre, a key.
type orders struct{}

const (
	evacuated = "data centre evacuated"
	revoked   = "key taken away"
)

const (
	orderReplicas = 6
	// orderAge is how old the order is when the routers end: it is in force.
	orderAge   = 6 * time.Second
	orderAfter = 8 * time.Second
	// southern is the data centre that is evacuated, oldKey the key that is taken away.
	southern = "south"
	oldKey   = "old-key"
)

func (orders) name() string                    { return "orders" }
func (orders) changes() []string               { return []string{evacuated, revoked} }
func (orders) lifetime(scenario) time.Duration { return settings.Default().Bounds.Revoke }

func (r orders) play(f *fleet) (outcome, error) {
	f.store.Put(platform.ConfigKey, plainConfiguration(1, key, oldKey))
	_, err := f.addReplicas("n", orderReplicas/2, standin.ReplicaOptions{Slots: 64, Work: 5 * time.Millisecond})
	if err != nil {
		return outcome{}, err
	}
	south, err := f.addReplicas("s", orderReplicas/2, standin.ReplicaOptions{Zone: southern, Slots: 64, Work: 5 * time.Millisecond})
	if err != nil {
		return outcome{}, err
	}
	if err := f.start(); err != nil {
		return outcome{}, err
	}
	f.copied = f.store.Copy()
	if f.change == evacuated {
		f.store.Put(platform.EvacuationKey(southern), struct{}{})
	} else {
		f.store.Put(platform.ConfigKey, plainConfiguration(2, key))
	}
	const callers, pause = 6, 10 * time.Millisecond
	calls := f.call(callers, pause, func() *exchange {
		e := f.plain(pathRepeat)
		if f.change == revoked {
			e.key = oldKey
		}
		return e
	})
	s, err := f.endUnder(calls, orderAge, orderAfter)
	if err != nil {
		return outcome{}, err
	}
	return r.check(f, south, s), nil
}

// check counts what was done against the order since the routers ended.
func (orders) check(f *fleet, south []*standin.Replica, s span) outcome {
	o := outcomeOf(s)
	if f.change == revoked {
		// What the routers keep is that the key is unknown.
		o.kept, o.failed = 0, 0
		for _, e := range s.afterReturn() {
			switch {
			case e.status == http.StatusUnauthorized:
				o.kept++
			case !e.refused():
				o.failed++
			}
		}
	}
	replicas := f.allReplicas()
	if f.change == evacuated {
		replicas = south
	}
	// A store that came back from a copy does not hold the order until the operator writes it again.
	excused, lacking := time.Time{}, 0
	if f.scenario.store == storeCopy {
		excused = s.returned.Add(heartbeat + settings.Default().Bounds.Revoke)
	}
	last := time.Duration(0)
	for _, r := range replicas {
		for _, run := range r.Runs() {
			switch {
			case run.At.Before(s.ended) || run.Refused:
			case run.At.Before(excused):
				lacking++
			default:
				o.broken++
				last = max(last, run.At.Sub(s.returned))
			}
		}
	}
	o.notes = fmt.Sprintf("%d ran while the store lacked the order", lacking)
	if o.broken > 0 {
		o.violations = []string{fmt.Sprintf("%d ran against the order, the last one %s after the return", o.broken, last.Round(time.Millisecond))}
	}
	return o
}
