package once

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/croftyard/croftyard/internal/faulty"
	"github.com/croftyard/croftyard/pkg/kv"
)

// A fixed seed makes property tests draw the same cases in every run.
func init() { _ = flag.Set("rapid.seed", "20261202") }

// clock is a manually advanced clock.
type clock struct{ now time.Time }

func newClock() *clock { return &clock{now: time.Unix(1_800_000_000, 0)} }

func (c *clock) read() time.Time { return c.now }

var ctx = context.Background()

func (c *clock) claims(store kv.Store) *Claims { return NewClaims(store, c.read) }

func (c *clock) deadline() time.Time { return c.now.Add(time.Minute) }

func TestClaimTakeReleaseDone(t *testing.T) {
	c := newClock()
	claims := c.claims(kv.NewMemory(c.read))
	require.NoError(t, claims.Peek(ctx, "k"))
	first, err := claims.Take(ctx, "k", "a1", c.deadline())
	require.NoError(t, err)
	_, err = claims.Take(ctx, "k", "a2", c.deadline())
	assert.ErrorIs(t, err, ErrHeld)
	assert.ErrorIs(t, claims.Peek(ctx, "k"), ErrHeld)
	require.NoError(t, first.Release(ctx))
	second, err := claims.Take(ctx, "k", "a3", c.deadline())
	require.NoError(t, err)
	require.NoError(t, second.Done(ctx))
	_, err = claims.Take(ctx, "k", "a4", c.deadline())
	assert.ErrorIs(t, err, ErrDone)
	assert.ErrorIs(t, claims.Peek(ctx, "k"), ErrDone)
}

func TestPausedHolderMayNotSend(t *testing.T) {
	c := newClock()
	claims := c.claims(kv.NewMemory(c.read))
	claim, err := claims.Take(ctx, "k", "a1", c.deadline())
	require.NoError(t, err)
	require.NoError(t, claim.CheckDeadline())
	c.now = c.now.Add(Retention + time.Hour)
	assert.ErrorIs(t, claim.CheckDeadline(), ErrExpired)
}

func TestRecordIsKeptForTheRetention(t *testing.T) {
	c := newClock()
	claims := c.claims(kv.NewMemory(c.read))
	// The second claim uses this lease just before its replacement is due.
	_, err := claims.Take(ctx, "early", "a0", c.deadline())
	require.NoError(t, err)
	c.now = c.now.Add(Retention/8 - time.Second)
	claim, err := claims.Take(ctx, "k", "a1", c.deadline())
	require.NoError(t, err)
	require.NoError(t, claim.Done(ctx))
	c.now = c.now.Add(Retention)
	assert.ErrorIs(t, claims.Peek(ctx, "k"), ErrDone)
}

func TestTakeUnderStoreFaults(t *testing.T) {
	c := newClock()
	for _, f := range []struct {
		name   string
		faults func(*faulty.Store)
		want   error
	}{
		{"the claim took effect", func(s *faulty.Store) { s.Lost = 1 }, nil},
		{"the claim never arrived", func(s *faulty.Store) { s.Dropped = 1 }, ErrOutcomeUnknown},
		{"the service is down", func(s *faulty.Store) { s.Down = 1 }, ErrUnavailable},
	} {
		store := faulty.New(kv.NewMemory(c.read), 1)
		f.faults(store)
		_, err := c.claims(store).Take(ctx, "k", "a1", c.deadline())
		assert.ErrorIs(t, err, f.want, f.name)
	}
}

func TestDelayedClaimWriteBlocksLaterAttempts(t *testing.T) {
	c := newClock()
	store := faulty.New(kv.NewMemory(c.read), 1)
	store.Delayed = 1
	_, err := c.claims(store).Take(ctx, "k", "a1", c.deadline())
	require.ErrorIs(t, err, ErrOutcomeUnknown)
	store.Delayed = 0
	store.Deliver()
	_, err = c.claims(store).Take(ctx, "k", "a2", c.deadline())
	assert.ErrorIs(t, err, ErrHeld, "no attempt runs, and no caller is told that the request was not run")
}

func TestPeekDuringAnOutage(t *testing.T) {
	c := newClock()
	store := faulty.New(kv.NewMemory(c.read), 1)
	store.Down = 1
	assert.ErrorIs(t, c.claims(store).Peek(ctx, "k"), ErrUnavailable)
}

// TestAtMostOnceUnderFaults runs several claimants of one key under random store
// faults: the request runs at most once, and Peek never reports the key free after
// it ran.
func TestAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newClock()
		store := faulty.New(kv.NewMemory(c.read), rapid.Uint64().Draw(t, "seed"))
		store.Lost, store.Dropped, store.Delayed, store.Down = 0.2, 0.1, 0.2, 0.1
		runs, attempts := 0, 0
		open := map[string]*Claim{}
		pick := func(t *rapid.T) string {
			for name := range open {
				return name
			}
			t.Skip("no claim is open")
			return ""
		}
		t.Repeat(map[string]func(*rapid.T){
			"take": func(*rapid.T) {
				attempts++
				name := fmt.Sprintf("a%d", attempts)
				if claim, err := c.claims(store).Take(ctx, "k", name, c.deadline()); err == nil {
					open[name] = claim
				}
			},
			"send": func(t *rapid.T) {
				name := pick(t)
				if open[name].CheckDeadline() == nil {
					runs++
				}
				if rapid.Bool().Draw(t, "answered") {
					_ = open[name].Done(ctx)
				}
				delete(open, name)
			},
			"release": func(t *rapid.T) {
				name := pick(t)
				_ = open[name].Release(ctx)
				delete(open, name)
			},
			"crash":   func(t *rapid.T) { delete(open, pick(t)) },
			"deliver": func(*rapid.T) { store.Deliver() },
			"peek": func(t *rapid.T) {
				if c.claims(store).Peek(ctx, "k") == nil {
					require.Zero(t, runs, "reported as free after it ran")
				}
			},
			"": func(t *rapid.T) { require.LessOrEqual(t, runs, 1) },
		})
	})
}
