package gossip

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/pkg/membership"
)

// rumorFanout is how many partners of a large fleet are told a rumor, others each
// time, in each round of a small one. Each of them passes on what is new to it, so that a
// rumor is sooner with all, and takes fewer bytes, than if all were told in each round of a
// large one.
const rumorFanout = 12

// sendRumors tells some partners in a large fleet what this router saw or was told
// since the last round of a small one.
func (g *Gossip) sendRumors(partners membership.Partners, now time.Time) {
	rumors := g.balancer.TakeRumors()
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
