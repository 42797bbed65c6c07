package front

import (
	"context"
	"sync"
	"time"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/directory"
)

// reachTimeout is how long a replica may take to answer a health check. A silent stream is not kept
// longer than that for a replica that cannot be reached.
const reachTimeout = 400 * time.Millisecond

// reachCheck finds whether the replica of a silent stream is still reached. As long as it is, its
// request may go on, and closing the connection does not end it at every replica.
type reachCheck struct {
	front             *Front
	id, address, path string

	mu sync.Mutex
	// running is set during a check, began is when the last one began, and isLost what it found.
	running, isLost bool
	began           time.Time
}

func (c *call) newReachCheck(r directory.Replica) *reachCheck {
	return &reachCheck{front: c.front, id: r.ID, address: r.Address, path: c.service.HealthPath}
}

// failoverIfLost is failover for a request whose caller has events of its stream: it ends the attempt
// only if the replica does not answer a health check. A replica that does may go on with the request,
// also after its connection was closed, and the next one may have no room.
func (c *call) failoverIfLost(r directory.Replica, limit time.Duration, cancel context.CancelCauseFunc) func() bool {
	check, failover := c.newReachCheck(r), c.failover(limit, cancel)
	return func() bool { return check.lost(steady.Now()) && failover() }
}

// lost reports whether the newest check found that the replica does not answer. It does not wait:
// without a recent check it begins one, for the next call.
func (r *reachCheck) lost(now time.Time) bool {
	const recent = 2 * reachTimeout
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running {
		return false
	}
	if !r.began.IsZero() && now.Sub(r.began) < recent {
		return r.isLost
	}
	r.running, r.began = true, now
	go r.run()
	return false
}

func (r *reachCheck) run() {
	// Streams of one replica often fall silent together.
	answers, _, _ := r.front.healthChecks.Do(r.id, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), reachTimeout)
		defer cancel()
		return r.front.pool.Answers(ctx, r.address, r.path), nil
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running, r.isLost = false, !answers.(bool)
}
