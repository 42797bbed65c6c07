package deadlines

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/internal/steady"
)

// After a suspension a call ends at its deadline, not as much later as the machine was suspended.
func TestCallsEndAtTheirDeadlinesAfterASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls Calls
		expired, expire := context.WithCancel(context.Background())
		others, end := context.WithCancel(context.Background())
		removed, remove := context.WithCancel(context.Background())
		defer remove()
		calls.Add(steady.Now().Add(-time.Second), expire)
		calls.Add(steady.Now().Add(time.Minute), end)
		calls.Add(steady.Now(), remove)()
		assert.Equal(t, 2, calls.Len())

		calls.Restart()
		synctest.Wait()
		assert.Error(t, expired.Err())
		assert.NoError(t, others.Err())
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Error(t, others.Err())
		assert.NoError(t, removed.Err())
	})
}
