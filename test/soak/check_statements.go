package soak

import (
	"time"

	"github.com/croftyard/croftyard/internal/standin"
)

// process is one process of a replica as one process of a router knows it.
type process struct {
	life     *Life
	instance string
	started  time.Time
}

func (c *checker) processOf(run *standin.ReplicaRun) (p process, known bool) {
	a := c.attempts[run.Attempt]
	if a == nil {
		return process{}, false
	}
	return process{life: a.Life, instance: run.Instance, started: run.Started}, true
}

// announced checks that a replica gets nothing that was sent later than Drain after a
// router passed on an answer that announced its shutdown, from this router, in touch or
// not.
func (c *checker) announced() {
	passed := make(map[process]time.Time)
	for _, a := range c.Attempts {
		run := c.signed(a)
		if !a.Leaving || run == nil {
			continue
		}
		p, _ := c.processOf(run)
		if at, known := passed[p]; !known || a.HeadAt.Before(at) {
			passed[p] = a.HeadAt
		}
	}
	for i := range c.Runs {
		run := &c.Runs[i]
		p, known := c.processOf(run)
		at, told := passed[p]
		if !known || !told {
			continue
		}
		if late := c.attempts[run.Attempt].Sent.Sub(at); late > c.Bounds.Drain && !c.frozen(p.life.Router, at, run.At) {
			c.add(Drain, run.Attempt, "sent %s after %s passed on an answer by which %s leaves, and reached it", late, p.life.Router, run.Instance)
		}
	}
}

// Parts of the rule on rest. Source: the users' rules.
const (
	// restBegins is how long after the answer that asked for it a rest binds.
	restBegins = 500 * time.Millisecond
	// mostResting is how many requests may come in it.
	mostResting = 2
	// answerUnderWay is for how long after it was written an answer may be lost.
	answerUnderWay = 100 * time.Millisecond
)

// rested checks that a replica which asked a router for rest gets it.
func (c *checker) rested() {
	runs := make(map[process][]*standin.ReplicaRun)
	for i := range c.Runs {
		if p, known := c.processOf(&c.Runs[i]); known {
			runs[p] = append(runs[p], &c.Runs[i])
		}
	}
	for p, of := range runs {
		for _, asked := range of {
			if asked.Rest > 0 && c.wasToldRest(asked) && c.disturbsRest(p, asked, of) {
				break
			}
		}
	}
}

// wasToldRest tells whether the answer that asks for rest came to its router.
func (c *checker) wasToldRest(asked *standin.ReplicaRun) bool {
	lost := asked.Ended.Add(answerUnderWay)
	a := c.attempts[asked.Attempt]
	if asked.Ended.IsZero() || asked.Left || !a.LeftAt.IsZero() && a.LeftAt.Before(lost) {
		return false
	}
	for _, d := range c.Disturbances {
		if d.Instance == asked.Instance && d.overlaps(asked.At, lost) {
			return false
		}
	}
	return true
}

// disturbsRest reports what came in the rest that one answer asked for.
func (c *checker) disturbsRest(p process, asked *standin.ReplicaRun, of []*standin.ReplicaRun) bool {
	came := 0
	for _, run := range of {
		since := run.At.Sub(asked.Ended)
		if since > restBegins && since < asked.Rest && !c.frozen(p.life.Router, asked.Ended, run.At) {
			came++
		}
	}
	if came <= mostResting {
		return false
	}
	c.add(Budget, asked.Attempt, "%s had asked %s for %s of rest, and got %d requests in that time", p.instance, p.life.Router, asked.Rest, came)
	return true
}

// frozen tells whether a router stood still in a time.
func (c *checker) frozen(router string, from, to time.Time) bool {
	for _, d := range c.Disturbances {
		stands := d.What == kindFreeze || d.What == kindTermFrozen
		if d.Router == router && d.Instance == "" && stands && d.overlaps(from, to) {
			return true
		}
	}
	return false
}
