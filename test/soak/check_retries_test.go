package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/internal/standin"
)

func TestRetriesOfAllRoutersAreCounted(t *testing.T) {
	const second = 1000
	tests := map[string]struct {
		requests, repeats int
		// apart is how far apart the repeats are, in ms; moved is when the requests are sent.
		apart, moved int
		refused      bool
		broken       bool
	}{
		"as many as are allowed":              {100, 40, 1, 0, false, false},
		"one more":                            {100, 41, 1, 0, false, true},
		"turned away":                         {100, 41, 1, 0, true, true},
		"in more than one window":             {100, 60, second / 3, 0, false, false},
		"with the requests of the one before": {200, 50, 1, -7 * second, false, false},
		"with requests of long before":        {200, 50, 1, -12 * second, false, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := &History{Versions: []*Version{{Routes: map[string]Route{"/repeat/": {Service: "plain"}}}}}
			for n := range test.requests {
				id := fmt.Sprint(n)
				h.Attempts = append(h.Attempts, &Attempt{ID: id, Path: "/repeat/x", Sent: at(test.moved)})
				h.Runs = append(h.Runs, standin.ReplicaRun{Attempt: id, Service: "plain", At: at(0)})
				if n < test.repeats {
					h.Runs = append(h.Runs, standin.ReplicaRun{Attempt: id, Service: "plain", At: at(n * test.apart), Refused: test.refused})
				}
			}
			c := &checker{History: h}
			c.retries()
			assert.Equal(t, test.broken, len(c.found) > 0, "%v", c.found)
		})
	}
}

func TestWithin(t *testing.T) {
	times := []time.Time{at(0), at(10), at(20)}
	assert.Equal(t, 2, within(times, at(0), 10*time.Millisecond))
	assert.Equal(t, 0, within(times, at(1), 8*time.Millisecond))
}
