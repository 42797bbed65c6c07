package orders

import (
	"context"
	"flag"
	"fmt"
	"slices"
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

var (
	ctx   = context.Background()
	terms = Terms{TTL: 10 * time.Second, Margin: 2 * time.Second, Loads: 1}
)

type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

func (c *clock) pass(d time.Duration) { c.now = c.now.Add(d) }

func newClock() *clock { return &clock{now: time.Unix(1_800_000_000, 0)} }

func expectNotNow(t *testing.T, h *Holder, checks, load bool) {
	t.Helper()
	_, err := h.Authorize(checks, load)
	assert.ErrorIs(t, err, ErrNotNow)
}

func TestOneHolderAtATime(t *testing.T) {
	c := newClock()
	store := kv.NewMemory(c.read)
	a, b := NewHolder(store, "a", terms, c.read), NewHolder(store, "b", terms, c.read)
	require.NoError(t, a.Hold(ctx))
	assert.ErrorIs(t, b.Hold(ctx), ErrHeld)
	first, err := a.Authorize(true, false)
	require.NoError(t, err)
	c.pass(5 * time.Second)
	require.NoError(t, a.Hold(ctx))
	c.pass(6 * time.Second)
	assert.ErrorIs(t, b.Hold(ctx), ErrHeld, "the lease was kept alive")
	c.pass(5 * time.Second)
	require.NoError(t, b.Hold(ctx))
	second, err := b.Authorize(true, false)
	require.NoError(t, err)
	assert.Greater(t, second.Token, first.Token)
	_, err = a.Authorize(true, false)
	assert.ErrorIs(t, err, ErrLost)
	assert.ErrorIs(t, a.Hold(ctx), ErrLost)
}

func TestMarginForTargetsThatDoNotCheck(t *testing.T) {
	c := newClock()
	h := NewHolder(kv.NewMemory(c.read), "a", terms, c.read)
	require.NoError(t, h.Hold(ctx))
	expectNotNow(t, h, false, false) // an earlier holder's order may still arrive
	c.pass(terms.Margin)
	_, err := h.Authorize(false, false)
	require.NoError(t, err)
	c.pass(terms.TTL - 2*terms.Margin)
	expectNotNow(t, h, false, false) // near the lease's end
	_, err = h.Authorize(true, false)
	assert.NoError(t, err)
}

func TestLoadsAreStaggered(t *testing.T) {
	c := newClock()
	h := NewHolder(kv.NewMemory(c.read), "a", terms, c.read)
	require.NoError(t, h.Hold(ctx))
	_, err := h.Authorize(true, true)
	require.NoError(t, err)
	expectNotNow(t, h, true, true)
	c.pass(time.Second)
	_, err = h.Authorize(true, true)
	assert.NoError(t, err)
}

func TestOutageKeepsTheRightToTheLeasesEnd(t *testing.T) {
	c := newClock()
	store := faulty.New(kv.NewMemory(c.read), 1)
	h := NewHolder(downKeepAlive{store}, "a", terms, c.read)
	require.NoError(t, h.Hold(ctx))
	assert.ErrorIs(t, h.Hold(ctx), ErrUnavailable)
	_, err := h.Authorize(true, false)
	assert.NoError(t, err)
	c.pass(terms.TTL)
	_, err = h.Authorize(true, false)
	assert.ErrorIs(t, err, ErrLost)
}

type downKeepAlive struct{ kv.Store }

func (downKeepAlive) KeepAlive(context.Context, kv.LeaseID) error { return kv.ErrUnknown }

// TestOrdersOfEarlierHoldersNeverArriveLater sends orders of several holders, each
// delayed by less than twice the margin between permission and arrival, under store
// faults. Tokens never decrease on arrival, so even a target that does not check tokens gets no
// older holder's order after a newer one's.
func TestOrdersOfEarlierHoldersNeverArriveLater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newClock()
		store := faulty.New(kv.NewMemory(c.read), rapid.Uint64().Draw(t, "seed"))
		store.Lost, store.Dropped, store.Down = 0.03, 0.03, 0.03
		var holders []*Holder
		for i := range 3 {
			holders = append(holders, NewHolder(store, fmt.Sprint(i), terms, c.read))
		}
		type sent struct {
			token uint64
			at    time.Time
		}
		var flying []sent
		newest := uint64(0)
		land := func() {
			for len(flying) > 0 && !flying[0].at.After(c.now) {
				require.GreaterOrEqual(t, flying[0].token, newest, "an older holder's order arrived later")
				newest = flying[0].token
				flying = flying[1:]
			}
		}
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			h := holders[rapid.IntRange(0, 2).Draw(t, "holder")]
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				_ = h.Hold(ctx)
			case 1:
				if order, err := h.Authorize(false, false); err == nil {
					delay := rapid.SampledFrom([]time.Duration{0, terms.Margin, 2*terms.Margin - 1}).Draw(t, "delay")
					// Orders may overtake each other in transit.
					flying = append(flying, sent{order.Token, c.now.Add(delay)})
					slices.SortFunc(flying, func(a, b sent) int { return a.at.Compare(b.at) })
				}
			case 2:
				step := rapid.SampledFrom([]time.Duration{200 * time.Millisecond, time.Second, 4 * time.Second}).Draw(t, "pass")
				for range 8 {
					c.pass(step / 8)
					land()
				}
			}
		}
	})
}
