package idempotency

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/router/inflight"
	"github.com/croftyard/croftyard/internal/router/job"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/admission"
	"github.com/croftyard/croftyard/pkg/kv"
	"github.com/croftyard/croftyard/pkg/once"
)

var errDown = errors.New("store: down")

// store fails every call while it is down.
type store struct {
	*kv.Memory
	down bool
}

func (s *store) Get(ctx context.Context, key string) (kv.Entry, error) {
	if s.down {
		return kv.Entry{}, errDown
	}
	return s.Memory.Get(ctx, key)
}

func (s *store) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if s.down {
		return kv.NoLease, errDown
	}
	return s.Memory.Grant(ctx, ttl)
}

func keyed(key string) *job.Job {
	return &job.Job{ID: "id", Key: ScopedKey("group", key), Deadline: steady.Now().Add(time.Minute)}
}

// A key whose request may have run must not be claimed again, and no refusal may then say that it did not run.
func TestKeyIsRefusedByWhatIsKnownOfIt(t *testing.T) {
	take := func(t *testing.T, c *Claims) *once.Claim {
		claim, refusal := c.Take(t.Context(), keyed("key"), "first")
		require.Nil(t, refusal)
		return claim
	}
	for name, test := range map[string]struct {
		before    func(t *testing.T, c *Claims, s *store)
		taken     admission.Reason
		notRun    bool
		confirmed admission.Reason
		promises  bool
	}{
		"new": {
			before:    func(*testing.T, *Claims, *store) {},
			taken:     admission.Served,
			confirmed: admission.GroupFull, promises: true,
		},
		"released": {
			before:    func(t *testing.T, c *Claims, _ *store) { c.Release(take(t, c), keyed("key")) },
			taken:     admission.Served,
			confirmed: admission.GroupFull, promises: true,
		},
		"held": {
			before:    func(t *testing.T, c *Claims, _ *store) { take(t, c) },
			taken:     admission.ClaimHeld,
			confirmed: admission.ClaimHeld,
		},
		"done": {
			before:    func(t *testing.T, c *Claims, _ *store) { c.Done(take(t, c), keyed("key")) },
			taken:     admission.AlreadyRan,
			confirmed: admission.AlreadyRan,
		},
		"store down": {
			before: func(_ *testing.T, _ *Claims, s *store) { s.down = true },
			taken:  admission.ServiceDown, notRun: true,
			confirmed: admission.GroupFull,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &store{Memory: kv.NewMemory(time.Now)}
				c := New(s, &inflight.Requests{}, event.Discard(), time.Second)
				test.before(t, c, s)
				// What ends a claim is written beside the answer.
				synctest.Wait()

				refusal := c.Confirm(t.Context(), keyed("key"), admission.Refuse(admission.GroupFull, 0, "full"))
				assert.Equal(t, test.confirmed, refusal.Reason)
				assert.Equal(t, test.promises, refusal.NotRun)

				_, refusal = c.Take(t.Context(), keyed("key"), "second")
				if test.taken == admission.Served {
					assert.Nil(t, refusal)
					return
				}
				require.NotNil(t, refusal)
				assert.Equal(t, test.taken, refusal.Reason)
				assert.Equal(t, test.notRun, refusal.NotRun)
			})
		})
	}
}

// A refusal of a request without a key needs no record.
func TestRefusalWithoutAKeyIsNotLookedUp(t *testing.T) {
	c := New(&store{Memory: kv.NewMemory(time.Now), down: true}, &inflight.Requests{}, event.Discard(), time.Second)
	refusal := admission.Refuse(admission.GroupFull, 0, "full")
	assert.Same(t, refusal, c.Confirm(t.Context(), &job.Job{}, refusal))
}

// Groups that use the same key must not refuse each other's requests.
func TestKeysOfGroupsDiffer(t *testing.T) {
	a, b := ScopedKey("a", "key"), ScopedKey("b", "key")
	assert.NotEqual(t, claimKey(a), claimKey(b))
	assert.Equal(t, "key", CallersKey(a))
	assert.Equal(t, "key", CallersKey(b))
}
