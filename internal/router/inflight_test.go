package router

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Requests come as a stop begins to wait for those in flight: each is counted in or refused, and the
// wait ends when the last one that was counted in has.
func TestRequestsThatComeWithAStopAreCountedInOrRefused(t *testing.T) {
	const rounds, callers = 300, 4
	for range rounds {
		r := &Router{}
		var all sync.WaitGroup
		for range callers {
			all.Go(func() {
				if end, accepted := r.begin(); accepted {
					end()
				}
			})
		}
		r.refuseNew()
		assert.NoError(t, r.waitIdle(t.Context()))
		assert.Zero(t, r.active.Load())
		all.Wait()
		_, accepted := r.begin()
		assert.False(t, accepted)
	}
}
