package front

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/pkg/route"
)

func TestAnAttemptMovesOnOnlyIfTheRequestMayBeRepeatedInTime(t *testing.T) {
	tests := map[string]struct {
		kind     route.Kind
		attempts int
		asked    int32
		left     time.Duration
		moves    bool
	}{
		"repeatable":          {route.Repeatable, 2, 0, time.Hour, true},
		"runs once":           {route.Once, 2, 0, time.Hour, false},
		"a stream":            {route.Stream, 2, 0, time.Hour, false},
		"all attempts used":   {route.Repeatable, 2, 1, time.Hour, false},
		"no time for another": {route.Repeatable, 2, 0, time.Second, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			c := &call{front: r.front, route: &route.Route{Kind: test.kind, Attempts: test.attempts}, end: time.Now().Add(test.left)}
			c.sent.Store(test.asked)
			c.waiting.Store(true)
			ctx, cancel := context.WithCancelCause(context.Background())
			defer cancel(nil)
			c.moveOn(time.Minute, cancel)()
			assert.Equal(t, test.moves, context.Cause(ctx) == errHung)
		})
	}
}
