package gossip

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/pkg/membership"
)

// rumorFanout is how many random partners a router of a large fleet sends rumors to in
// each round of a small one. Each partner forwards what is new to it, so that a rumor
// reaches all sooner, and in fewer bytes, than if it were sent to all in each round of a
// large fleet.
const rumorFanout = 12

// sendRumors sends some partners of a large fleet what this router saw or received since
// the last round of a small one.
func (g *Gossip) sendRumors(partners membership.Partners, now time.Time) {
	rumors := g.balancer.TakeRumors(now)
	if rumors.Empty() {
		return
	}
	d := &gossippb.Digest{AsksOnly: true}
	encodeRumors(d, rumors, now)
	packet := encodeDigest(d)
	all := slices.Concat(partners.Line, partners.RelayTo)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, address := range all[:min(rumorFanout, len(all))] {
		g.send(address, packet)
	}
}
