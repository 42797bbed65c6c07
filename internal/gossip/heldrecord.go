package gossip

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/pkg/poison"
)

// heldTask is the task of the routers that keep the record of what crashes replicas.
const heldTask = "held requests"

// heldQuery is this router's query for the revision of the record.
type heldQuery struct {
	mu     sync.Mutex
	number uint32
	// silent are the routers that have not answered.
	silent []string
	// repeated is set after the first query, which goes to a single router.
	repeated bool
}

// HeldRank returns how many routers precede this one in keeping the record of what crashes replicas.
func (g *Gossip) HeldRank() int { return g.TaskRank(heldTask) }

// AskHeldRevision asks the routers that keep the record of what crashes replicas for its revision.
func (g *Gossip) AskHeldRevision() {
	own := g.server.Address()
	g.mu.Lock()
	keepers := g.members.TaskOwners(heldTask, poison.Keepers, func(address string) bool { return address != own })
	g.mu.Unlock()
	number, asked := g.heldQuery.open(keepers)
	packet := encodeDatagram(&gossippb.Datagram{HeldQuery: &gossippb.HeldQuery{Number: number}})
	for _, address := range asked {
		g.send(address, packet)
	}
}

// open opens a query and returns its number and which of the keepers it goes to.
func (q *heldQuery) open(keepers []string) (number uint32, asked []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.repeated {
		// Answers to the process that ran at this address before may still arrive.
		q.number = rand.Uint32()
		keepers = keepers[:min(len(keepers), 1)]
	}
	q.repeated = true
	q.number++
	q.silent = slices.Clone(keepers)
	return q.number, keepers
}

// answered reports whether a router answers the open query. It answers once.
func (q *heldQuery) answered(from string, number uint32) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.Index(q.silent, from)
	if number != q.number || i < 0 {
		return false
	}
	q.silent = slices.Delete(q.silent, i, i+1)
	return true
}

// answerHeldQuery answers a member that asks for the revision of the record.
func (g *Gossip) answerHeldQuery(from string, q *gossippb.HeldQuery) {
	if !g.isMember(from) {
		return
	}
	if revision, verified := g.options.Held.Verified(); verified {
		g.send(from, encodeDatagram(&gossippb.Datagram{HeldReply: &gossippb.HeldReply{Number: q.Number, Revision: revision}}))
	}
}

// receiveHeld notes the revision in the answer to a query of this router.
func (g *Gossip) receiveHeld(from string, r *gossippb.HeldReply) {
	if g.heldQuery.answered(from, r.Number) {
		g.options.Held.NoteRevision(r.Revision)
	}
}
