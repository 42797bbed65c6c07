package gossip

import "github.com/croftyard/croftyard/pkg/balance"

// maxNews bounds the failures and the holders that one digest tells, each. With
// eight partners a round the newest twelve of both are some 150 bytes.
const maxNews = 12

// news keeps what was seen in the last rounds, until each member was told once.
// With as many members as partners or fewer that is the last round only.
type news struct {
	rounds []balance.Told
}

// add takes what was seen since the last round and returns all that the partners
// of this round were not told yet, the newest of it.
func (n *news) add(told balance.Told, cycle int) balance.Told {
	n.rounds = append(n.rounds, balance.Told{Failures: told.Failures, Holders: told.Holders})
	n.rounds = n.rounds[max(0, len(n.rounds)-cycle):]
	if cycle == 1 {
		return n.rounds[0]
	}
	var all balance.Told
	for _, round := range n.rounds {
		all.Failures = append(all.Failures, round.Failures...)
		all.Holders = append(all.Holders, round.Holders...)
	}
	all.Failures = all.Failures[max(0, len(all.Failures)-maxNews):]
	all.Holders = all.Holders[max(0, len(all.Holders)-maxNews):]
	return all
}
