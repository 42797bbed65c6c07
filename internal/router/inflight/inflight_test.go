package inflight

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
)

// A stop that did not wait for what a request leaves to be written would lose it.
func TestStopWaitsForRequestsAndWhatTheyLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r Requests
		written := make(chan struct{})
		assert.True(t, r.Begin())
		r.Go(func() { <-written })

		idle := r.Stop()
		assert.False(t, r.Begin())
		r.End()
		synctest.Wait()
		assert.False(t, isClosed(idle))

		close(written)
		synctest.Wait()
		assert.True(t, isClosed(idle))
		assert.True(t, isClosed(r.Stop()))
	})
}

func TestStopOfAnIdleRouterDoesNotWait(t *testing.T) {
	var r Requests
	assert.True(t, r.Begin())
	r.End()
	assert.True(t, isClosed(r.Stop()))
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
