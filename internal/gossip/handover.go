package gossip

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/origin"
)

const (
	// maxHandOver bounds the records that a stopping router hands over: each goes to four routers at
	// most, in some 43 bytes.
	maxHandOver = 8192
	// handOverTime bounds how long it does so.
	handOverTime = time.Second
	// handOverPart is how many records are sent without a pause of handOverPause, so that the
	// receivers' buffers hold them.
	handOverPart  = 32
	handOverPause = 2 * time.Millisecond
)

// HandOver sends the records of streams that a router of a large fleet holds to those that hold them
// once it has left. It returns once all are sent, or after a bounded time. A small fleet needs none: all
// have all records there, and a router that starts asks for them.
func (o *Origins) HandOver(ctx context.Context) (records int) {
	g := o.gossip
	g.mu.Lock()
	large := g.members.Large()
	g.mu.Unlock()
	if !large {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTime)
	defer cancel()
	for _, r := range o.Records(steady.Now()) {
		if ctx.Err() != nil || records == maxHandOver {
			break
		}
		if !g.handOver(r) {
			continue
		}
		records++
		if records%handOverPart == 0 {
			time.Sleep(handOverPause)
		}
	}
	return records
}

// handOver sends a record to those that hold it without this router, and reports whether it is one of
// those that hold it now.
func (g *Gossip) handOver(r origin.Record) bool {
	to := g.successors(r.Key)
	if len(to) == 0 || len(r.Version) > maxVersionLength {
		return false
	}
	packet := encodeDatagram(&gossippb.Datagram{Origin: &gossippb.StreamOrigin{Stream: uint64(r.Key), Version: r.Version}})
	for _, address := range to {
		g.send(address, packet)
	}
	return true
}

// successors returns the routers that hold the record of a stream once this one has left.
func (g *Gossip) successors(k origin.Key) []string {
	task := strconv.FormatUint(uint64(k), 16)
	own := g.server.Address()
	g.mu.Lock()
	defer g.mu.Unlock()
	all := g.members.TaskOwners(task, originHolders+1, func(string) bool { return true })
	near := g.members.TaskOwners(task, originHolders+1, func(address string) bool {
		return address == own || g.centres[address] == g.options.DataCentre
	})
	return successors(own, all, near)
}

// successors returns the routers that hold a record once one has left, given the first ones by rank with
// it, of all and of its data centre. There are none unless it is a holder itself.
func successors(leaving string, rankings ...[]string) []string {
	var next []string
	for _, owners := range rankings {
		if i := slices.Index(owners, leaving); i >= 0 && i < originHolders {
			next = append(next, slices.Delete(slices.Clone(owners), i, i+1)...)
		}
	}
	slices.Sort(next)
	return slices.Compact(next)
}
