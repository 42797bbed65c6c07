package front

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/internal/event"
)

// slowWriter takes some time for each line.
type slowWriter struct{}

func (slowWriter) Write(line []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return len(line), nil
}

// Guards against requests that arrive together and all take the last free slot of a brittle replica.
func TestBrittleReplicaGetsNoMoreThanItsSlots(t *testing.T) {
	const slots, callers, rounds = 4, 64, 3
	var running, most, served atomic.Int32
	address, _ := replica(t, func(w http.ResponseWriter, _ *http.Request) {
		n := running.Add(1)
		defer running.Add(-1)
		for seen := most.Load(); n > seen && !most.CompareAndSwap(seen, n); seen = most.Load() {
		}
		w.Header().Set("Brittle", "1")
		time.Sleep(20 * time.Millisecond)
	})
	r := newRig(t, address)
	// Requests are logged between the choice of a replica and their start.
	r.front.log = event.New(slowWriter{}, "here", logrus.InfoLevel)
	r.source.mu.Lock()
	// The watcher may still apply the replicas of its first read.
	r.source.snapshot.Replicas = slices.Clone(r.source.snapshot.Replicas)
	r.source.snapshot.Replicas[0].Slots = slots
	r.source.mu.Unlock()
	r.addReplicas(t)
	for range rounds {
		r.front.balancer.BrittleReported("r0", 1, time.Now())
		var all sync.WaitGroup
		for range callers {
			all.Go(func() {
				answer, _, err := r.send(t, http.MethodPost, "/once/x", "b")
				if assert.NoError(t, err) && answer.StatusCode == http.StatusOK {
					served.Add(1)
				}
			})
		}
		all.Wait()
	}
	assert.Positive(t, served.Load())
	assert.LessOrEqual(t, most.Load(), int32(slots))
}
