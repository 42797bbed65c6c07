package main

import (
	"google.golang.org/protobuf/proto"

	"github.com/croftyard/croftyard/internal/peer"
	"github.com/croftyard/croftyard/pkg/fleet"
)

// controlBytes is what one router sends and receives a second, from the real
// messages of the last round: the mean over the routers.
func (c *croftyard) controlBytes() float64 {
	total := 0
	for _, r := range c.routers {
		total += c.roundBytes(r)
	}
	// Every byte is sent once and received once.
	return 2 * float64(total) / float64(len(c.routers)) / c.period().Seconds()
}

func (c *croftyard) roundBytes(r *simRouter) int {
	own := c.digest(r)
	partners := fleet.PartnersOf(c.hashes[r.index], c.hashes)
	board := fleet.NewDigestTable(own.Sender)
	var line []fleet.ID
	for _, hash := range partners.Direct {
		board.Put(c.digest(c.byHash[hash]), c.w.clock())
		line = append(line, fleet.ShortID(hash))
	}
	reply := peer.CallOverhead
	bytes := len(partners.Direct) * (proto.Size(peer.EncodeDigest(own)) + reply)
	return bytes + len(partners.Relayed)*(proto.Size(peer.EncodeDigest(board.Aggregate(own, line)))+reply)
}

func (c *croftyard) digest(r *simRouter) fleet.Digest {
	d := fleet.Digest{Sender: fleet.ShortID(c.hashes[r.index]), Version: 9000}
	d.Sequence = 1 << 20
	d.Loads = r.told[len(r.told)-1]
	for org := range fleet.MaxDemands {
		d.Demands = append(d.Demands, fleet.Demand{Organisation: fleet.ID(org + 1<<30), Rate: 5000})
	}
	return d
}
