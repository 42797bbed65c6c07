package gossip

import (
	"fmt"

	"github.com/croftyard/croftyard/internal/event"
)

// rejectMessage counts and logs a message of another router that is ignored as a whole.
func (g *Gossip) rejectMessage(from string, reason error) {
	g.rejected.Add(1)
	g.log.Write(event.PeerUnreadable, event.F("peer", from), event.F("error", reason))
}

// RejectedMessages returns how many messages of other routers were not usable.
func (g *Gossip) RejectedMessages() uint64 { return g.rejected.Load() }

var errNoMessage = fmt.Errorf("%w: none of the known messages", ErrMalformed)
