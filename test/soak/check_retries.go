package soak

import (
	"slices"
	"time"

	"github.com/croftyard/croftyard/internal/settings"
	"github.com/croftyard/croftyard/internal/standin"
)

// retries checks that all routers together repeat no more requests for a service, in any window,
// than a ratio of them and an allowance. What comes to a replica counts, also if it is turned
// away. The requests are those of the window, of the one before it or of the one half of it
// before, whichever holds the most.
func (c *checker) retries() {
	bounds := settings.Default().Bounds
	requests, repeats := make(map[string][]time.Time), make(map[string][]time.Time)
	for _, a := range c.Attempts {
		if service := c.routeOf(a).Service; service != "" {
			requests[service] = append(requests[service], a.Sent)
		}
	}
	first := make(map[string]bool)
	runs := slices.Clone(c.Runs)
	slices.SortFunc(runs, func(a, b standin.ReplicaRun) int { return a.At.Compare(b.At) })
	for _, run := range runs {
		if first[run.Attempt] {
			repeats[run.Service] = append(repeats[run.Service], run.At)
		}
		first[run.Attempt] = true
	}
	for service, times := range repeats {
		for i, from := range times {
			sent := 0
			for _, before := range []time.Duration{0, bounds.RepeatWindow / 2, bounds.RepeatWindow} {
				sent = max(sent, within(requests[service], from.Add(-before), bounds.RepeatWindow))
			}
			repeated := within(times[i:], from, bounds.RepeatWindow)
			if allowed := bounds.RepeatRatio*float64(sent) + bounds.RepeatAllowance; float64(repeated) > allowed {
				c.add(Budget, "", "%s got %d requests again within %s, %.0f allowed for %d requests", service, repeated, bounds.RepeatWindow, allowed, sent)
				break
			}
		}
	}
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
