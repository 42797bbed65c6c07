package front

import (
	"context"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/poison"
)

// digest returns the digest of the request, the same for each of its tries.
func (c *call) digest() poison.Digest {
	if c.named == nil {
		caller := ""
		if c.organisation != nil {
			caller = c.organisation.Name
		}
		digest := poison.Of(caller, c.request.Method, c.request.Host, c.request.RequestURI, c.body)
		c.named = &digest
	}
	return *c.named
}

// lookTime bounds the look whether a replica has ended: a way that is cut tells nothing.
const lookTime = time.Second

// broke notes that a replica broke the request off, and finds out beside the call whether
// it has ended: a lost answer, a reset and a cut way look alike from here. One that leaves
// as planned may end with requests in flight.
func (c *call) broke(choice balance.Choice) {
	f, id, address := c.front, choice.Replica.ID, choice.Replica.Address
	f.fail(c.id, id, balance.Broke)
	if !f.follower.Ready(id) {
		return
	}
	broke := time.Now()
	fields := []event.Field{event.F("request", c.id), event.F("replica", id), event.F("digest", c.digest().String()),
		event.F("route", c.route.Name), event.F("ran_ms", broke.Sub(c.sentAt).Milliseconds())}
	go func() {
		if f.ended(id, address) {
			f.log.Write(event.ReplicaEnded, append(fields, event.F("seen_after_ms", time.Since(broke).Milliseconds()))...)
		}
	}()
}

// ended tells whether a replica has ended. Calls that it broke off together share one
// look.
func (f *Front) ended(id, address string) bool {
	ended, _, _ := f.looks.Do(id, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), lookTime)
		defer cancel()
		return f.pool.Ended(ctx, address), nil
	})
	return ended == true
}
