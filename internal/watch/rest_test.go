package watch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/pkg/balance"
)

// Guards against a replica getting its whole share at the end of a rest that was asked for before
// the list told of its start.
func TestShareReturnsGraduallyAfterARestOfALaterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWatcher(&fakeSource{}, 0)
		list := func(born int64) {
			replicas := replicas("a", "b")
			replicas[0].Born, replicas[1].Born = born, 1
			assert.NoError(t, f.ApplySnapshot(Snapshot{Config: config(1), Replicas: replicas}, time.Now()))
		}
		list(1)
		time.Sleep(2 * time.Second)
		until := time.Now().Add(2 * time.Second)
		f.Statements().MarkResting("a", time.Now(), until, time.Now())
		f.balancer.RestUntil("a", until)
		time.Sleep(time.Second)
		list(2)
		assert.Equal(t, until, f.Statements().Get("a").RestUntil)
		time.Sleep(time.Until(until) + time.Millisecond)
		got := 0
		for range 12 {
			choice, found := f.balancer.Pick(balance.Request{Service: "s"}, time.Now())
			assert.True(t, found)
			f.balancer.RequestStarted(choice.Replica.ID)
			if choice.Replica.ID == "a" {
				got++
			}
		}
		assert.Equal(t, 1, got)
	})
}
