package soak

import (
	"slices"
	"time"

	"github.com/croftyard/croftyard/internal/standin"
)

// The users' rule: later than Contact after a request has crashed the third replica, it
// reaches no more than mostLate, sent by routers in touch.
const (
	countedCrashes = 3
	mostLate       = 3
)

// deadly checks that rule for each body that crashes replicas.
func (c *checker) deadly() {
	runs := make(map[string][]*standin.ReplicaRun)
	for i := range c.Runs {
		run := &c.Runs[i]
		if a := c.attempts[run.Attempt]; a != nil && a.Deadly {
			runs[run.BodySum] = append(runs[run.BodySum], run)
		}
	}
	for _, of := range runs {
		third, crashed := thirdCrash(of)
		if !crashed {
			continue
		}
		late := 0
		for _, run := range of {
			router := c.attempts[run.Attempt].Life.Router
			if run.At.Sub(third) > c.Bounds.Contact && c.inTouch(router, run.At.Add(-c.Bounds.Contact), run.At) {
				late++
			}
		}
		if late > mostLate {
			c.add(Budget, of[0].Attempt, "its body reached replicas %d times later than %s after it had crashed the third", late, c.Bounds.Contact)
		}
	}
}

// thirdCrash is when the third replica crashed under one of the runs.
func thirdCrash(runs []*standin.ReplicaRun) (time.Time, bool) {
	var crashes []time.Time
	for _, run := range runs {
		if run.Fatal {
			crashes = append(crashes, run.Ended)
		}
	}
	if len(crashes) < countedCrashes {
		return time.Time{}, false
	}
	slices.SortFunc(crashes, time.Time.Compare)
	return crashes[countedCrashes-1], true
}
