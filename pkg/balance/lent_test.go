package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against slots that stay idle because the routers to which they belong do not reach
// the replica, and against more being used than there is: lent, or still used by routers that
// are leaving.
// A router whose path came back used its share while another one still had it on loan, and
// brittle replicas fell over.
func TestLentShareIsNotUsedTwice(t *testing.T) {
	list := engines(1)
	list[0].Slots = 9
	const service = "llm"
	taken := func(b *Balancer, now time.Time) int {
		n := 0
		for ; n < 20; n++ {
			if _, found := b.Pick(Request{Service: service}, now); !found {
				break
			}
			b.RequestStarted("i-0")
		}
		for range n {
			b.RequestFinished("i-0")
		}
		return n
	}
	lender, taker := newBalancer(list), newBalancer(list)
	for i, b := range []*Balancer{lender, taker} {
		b.SetRouters(fmt.Sprint("r", i), []string{"r0", "r1", "r2"}, start)
		b.BrittleReported("i-0", 2, start)
	}
	own, both := taken(lender, start), taken(lender, start)+taken(taker, start)
	assert.Equal(t, 1.0, lender.LendShare(service, "r1", 1, start))
	taker.ShareLent(service, "r0", 1, start.Add(5*time.Millisecond))
	assert.Equal(t, both, taken(taker, start.Add(10*time.Millisecond)))
	for after := time.Duration(0); after < 2*time.Second; after += 10 * time.Millisecond {
		now := start.Add(after)
		assert.LessOrEqual(t, taken(lender, now)+taken(taker, now), both, "after %s", after)
	}
	assert.Equal(t, own, taken(lender, start.Add(loanTime+loanMargin)))
	lender.LendShare("other", "r1", 1, start.Add(loanTime+loanMargin))
	assert.Equal(t, own, taken(lender, start.Add(loanTime+loanMargin)))
}

// Guards against lending what the lender's own requests still use, and the same part to several
// routers while their number changes: brittle replicas fell over.
func TestLentPartsAreWhatIsLeftOfAShare(t *testing.T) {
	type lent struct {
		to    string
		part  float64
		after time.Duration
		want  float64
	}
	third, end := 1.0/3, loanTime+loanMargin
	for name, c := range map[string]struct {
		running int
		loans   []lent
	}{
		"to one":                      {0, []lent{{"r1", 1, 0, 1}, {"r1", 1, time.Millisecond, 1}}},
		"half is used":                {1, []lent{{"r1", 0.25, 0, 0.25}, {"r2", 0.5, 0, 0.25}}},
		"all is used":                 {2, []lent{{"r1", 1, 0, 0}}},
		"more than all is used":       {3, []lent{{"r1", 1, 0, 0}}},
		"fewer routers take requests": {0, []lent{{"r1", 0.5, 0, 0.5}, {"r2", 0.5, 0, 0.5}, {"r1", 1, end / 2, 0.5}, {"r1", 1, end, 1}, {"r2", third, end, 0}}},
	} {
		t.Run(name, func(t *testing.T) {
			list := engines(2)
			list[0].Slots, list[1].Slots = 8, 8
			b := newBalancer(list)
			b.SetRouters("r0", []string{"r0", "r1", "r2"}, start)
			for range c.running {
				b.RequestStarted("i-1")
			}
			for _, l := range c.loans {
				assert.InDelta(t, l.want, b.LendShare("llm", l.to, l.part, start.Add(l.after)), 1e-9, "%v", l)
			}
		})
	}
}

func TestLentSlots(t *testing.T) {
	list := engines(1)
	list[0].Slots = 9
	for name, c := range map[string]struct {
		parts   []float64
		at      time.Duration
		leaving []string
		want    int
	}{
		"none":                   {nil, 0, nil, 2},
		"of one router":          {[]float64{1}, 0, nil, 4},
		"half of two":            {[]float64{0.5, 0.5}, 0, nil, 4},
		"of all others":          {[]float64{1, 1}, 0, nil, 6},
		"of more than are":       {[]float64{1, 1, 1}, 0, nil, 6},
		"of one, some time ago":  {[]float64{1}, loanTime, nil, 2},
		"invalid":                {[]float64{-1, 2}, 0, nil, 2},
		"none, others leave":     {nil, 0, []string{"r3", "r4"}, 1},
		"none, one known leaves": {nil, 0, []string{"r2"}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBalancer(list)
			b.SetRouters("r0", []string{"r0", "r1", "r2"}, start)
			b.SetLeavingRouters(c.leaving)
			b.BrittleReported("i-0", 2, start)
			for i, part := range c.parts {
				b.ShareLent("llm", fmt.Sprint("r", 1+i), part, start)
			}
			taken := 0
			for ; taken < 20; taken++ {
				if _, found := b.Pick(Request{Service: "llm"}, start.Add(c.at)); !found {
					break
				}
				b.RequestStarted("i-0")
			}
			assert.Equal(t, c.want, taken)
		})
	}
}
