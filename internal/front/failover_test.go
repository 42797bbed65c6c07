package front

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/front/continuation"
	"github.com/croftyard/croftyard/internal/front/retries"
	"github.com/croftyard/croftyard/internal/upstream"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/route"
)

func TestFailoverOnlyIfRetryAllowedInTime(t *testing.T) {
	tests := map[string]struct {
		kind     route.Kind
		attempts int
		asked    int32
		left     time.Duration
		key      string
		tried    []string
		moves    bool
	}{
		"repeatable":             {route.Repeatable, 2, 0, time.Hour, "k1", nil, true},
		"runs once":              {route.Once, 2, 0, time.Hour, "k1", nil, false},
		"a stream":               {route.Stream, 2, 0, time.Hour, "k1", nil, false},
		"all attempts used":      {route.Repeatable, 2, 1, time.Hour, "k1", nil, false},
		"no time for another":    {route.Repeatable, 2, 0, time.Second, "k1", nil, false},
		"its key was taken away": {route.Repeatable, 2, 0, time.Hour, "k0", nil, false},
		"one replica is left":    {route.Repeatable, 2, 0, time.Hour, "k1", []string{"r0"}, true},
		"no replica is left":     {route.Repeatable, 2, 0, time.Hour, "k1", []string{"r0", "r1"}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "127.0.0.1:1", "127.0.0.1:2")
			c := silentCall(r, test.kind, test.attempts, test.left)
			c.request.Header.Set("Authorization", "Key "+test.key)
			c.tried = test.tried
			c.sent.Store(test.asked)
			c.waiting.Store(true)
			ctx, cancel := context.WithCancelCause(context.Background())
			defer cancel(nil)
			c.failover(time.Minute, cancel)()
			assert.Equal(t, test.moves, context.Cause(ctx) == errSilent)
		})
	}
}

// Guards against a sound stream that is silent and is ended, although its route leads to another
// service meanwhile, where it does not go on.
func TestSilentStreamIsKeptWhileItsRouteLeadsElsewhere(t *testing.T) {
	for name, test := range map[string]struct {
		shares       []route.Share
		begun, known bool
		moves        bool
	}{
		"begun":                  {[]route.Share{{Service: "s", Weight: 1}}, true, false, true},
		"begun, moved":           {[]route.Share{{Service: "s2", Weight: 1}}, true, false, false},
		"taken up, moved":        {[]route.Share{{Service: "s2", Weight: 1}}, false, true, false},
		"not begun, moved":       {[]route.Share{{Service: "s2", Weight: 1}}, false, false, true},
		"begun, its share":       {[]route.Share{{Service: "s", Weight: 9}, {Service: "s2", Weight: 1}}, true, false, true},
		"begun, its share moved": {[]route.Share{{Service: "s2", Weight: 9}, {Service: "s", Weight: 1}}, true, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "127.0.0.1:1", "127.0.0.1:2")
			c := silentCall(r, route.Repeatable, 2, time.Hour)
			c.headSent, c.shareDraw = test.begun, 0.5
			if test.known {
				c.origin = continuation.StartedAt("s", "v1")
			}
			c.waiting.Store(true)
			ctx, cancel := context.WithCancelCause(context.Background())
			defer cancel(nil)
			failover := c.failover(time.Minute, cancel)
			snapshot := changedSnapshot(r, func(config *route.Config) {
				config.Services = append(config.Services, route.Service{Name: "s2"})
				for i := range config.Routes {
					config.Routes[i].Shares = test.shares
				}
			})
			require.NoError(t, r.watcher.ApplySnapshot(snapshot, time.Now()))
			failover()
			assert.Equal(t, test.moves, context.Cause(ctx) == errSilent)
		})
	}
}

// silentCall returns a call whose replica is silent, with a time left.
func silentCall(r *rig, kind route.Kind, attempts int, left time.Duration) *call {
	request := httptest.NewRequest(http.MethodPost, "http://h/repeat/x", nil)
	request.Header.Set("Authorization", "Key k1")
	return &call{front: r.front, request: request, route: &route.Route{Kind: kind, Attempts: attempts}, service: &route.Service{Name: "s"}, deadline: time.Now().Add(left)}
}

// Guards against ending a stream that seems silent for a retry that another request takes
// first: the caller is then cut off from a healthy engine.
func TestFailoverReservesRetry(t *testing.T) {
	r := newRig(t, "127.0.0.1:1")
	r.front.retries = retries.New(retryBudget(0, 1), nil)
	one := silentCall(r, route.Repeatable, 2, time.Hour)
	one.mayHaveRun = true
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	failover := one.failover(time.Minute, cancel)
	failover()
	failover()
	assert.Equal(t, errSilent, context.Cause(ctx))
	one.sent.Store(1)
	assert.Nil(t, r.front.retries.Reserve(one.service.Name), "the reserved retry is unavailable to others")
	assert.Equal(t, attemptRetry, one.retry("stream fell silent"))
	one.retries.Written(time.Now())
	assert.Equal(t, attemptGiveUp, one.retry("second retry"), "only one retry was reserved")
}

func TestOnlyReplicaFaultsReported(t *testing.T) {
	tests := map[string]struct {
		err    error
		blamed bool
	}{
		"replica unreachable":             {syscall.EHOSTUNREACH, true},
		"replica refuses the connection":  {syscall.ECONNREFUSED, true},
		"router out of file descriptors":  {syscall.EMFILE, false},
		"machine out of file descriptors": {syscall.ENFILE, false},
		"caller left":                     {errCallerGone, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "127.0.0.1:1")
			c := newCall(r.front, nil, httptest.NewRequest(http.MethodGet, "/", nil), time.Now())
			func() {
				// A call whose caller has left ends in a panic.
				defer func() { _ = recover() }()
				c.handleFailure(context.Background(), balance.Choice{Replica: directory.Replica{ID: "r0"}}, fmt.Errorf("%w: %w", upstream.ErrNotSent, test.err))
			}()
			assert.Equal(t, test.blamed, r.front.balancer.Suspected("r0", time.Now()))
			assert.False(t, c.mayHaveRun)
		})
	}
}
