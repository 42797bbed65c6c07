package gossip

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/pkg/balance"
)

func seen(part uint64) balance.Told {
	return balance.Told{
		Running:  []balance.Count{{Replica: 1, Running: 1}},
		Failures: []balance.SeenFailure{{Replica: uint32(part)}},
		Holders:  []balance.Holding{{Part: part}},
	}
}

// Beyond nine routers a failure or a holder was told to the partners of one
// round only, eight of 73.
func TestNewsAreToldUntilEachMemberWasAPartner(t *testing.T) {
	const cycle = 3
	var n news
	for round := range uint64(10) {
		told := n.add(seen(round), cycle)
		first := max(int(round)-cycle+1, 0)
		assert.Len(t, told.Holders, int(round)-first+1)
		assert.Equal(t, uint64(first), told.Holders[0].Part)
		assert.Len(t, told.Failures, len(told.Holders))
	}
}

func TestInASmallFleetNewsAreToldOnce(t *testing.T) {
	var n news
	n.add(seen(1), 1)
	told := n.add(seen(2), 1)
	assert.Equal(t, []balance.Holding{{Part: 2}}, told.Holders)
}

func TestADigestTellsTheNewestOnly(t *testing.T) {
	var n news
	for round := range uint64(40) {
		n.add(seen(round), 40)
	}
	told := n.add(seen(40), 41)
	assert.Len(t, told.Holders, maxNews)
	assert.Equal(t, uint64(40), told.Holders[maxNews-1].Part)
}
