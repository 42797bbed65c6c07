package membership

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// suspectAfter is how long a member of the line may be silent before another one
// does its work.
const suspectAfter = 1500 * time.Millisecond

// Partners are whom a router talks to in a round. The lists are not to be changed.
type Partners struct {
	// Line is all members in a small fleet, and those of the own line in a large
	// one.
	Line []string
	// RelayTo are the members outside of the line that hear of it from this router.
	RelayTo []string
	// Seeds are those that are no members, and one member that was lost, so that
	// parts of a fleet that lost each other meet again.
	Seeds []string
}

// All returns all partners.
func (p Partners) All() []string { return slices.Concat(p.Line, p.RelayTo, p.Seeds) }

// plan is whom a router talks to, as long as the members and the suspects are the same.
type plan struct {
	line, lines int
	// mates are the members of the line, addresses theirs and others the rest.
	mates     []*member
	addresses []string
	others    []*member
	// relayed are those of the others to whom this router tells its line's sum, for
	// mates without the suspects; worked tells that they were worked out.
	relayed  []string
	suspects []*member
	worked   bool
}

// planned returns the plan for the members that are known.
func (t *Table) planned() *plan {
	t.plan.get(t.changes, func() plan {
		p := plan{lines: linesOf(t.Len())}
		p.line = int(t.ownHash % uint64(p.lines))
		for _, m := range t.list() {
			if !t.Large() || int(m.hash%uint64(p.lines)) == p.line {
				p.mates = append(p.mates, m)
				p.addresses = append(p.addresses, m.address)
				continue
			}
			p.others = append(p.others, m)
		}
		p.addresses = slices.Clip(p.addresses)
		return p
	})
	return &t.plan.value
}

// linesOf returns in how many lines a fleet is divided: the power of two next to
// the square root of its size, so that it rarely changes.
func linesOf(routers int) int {
	return 1 << int(math.Round(math.Log2(math.Sqrt(float64(routers)))))
}

// Partners returns whom to talk to.
func (t *Table) Partners(now time.Time) Partners {
	p := t.planned()
	var suspects []*member
	for _, m := range p.mates {
		if !m.unanswered.IsZero() && now.Sub(m.unanswered) >= suspectAfter {
			suspects = append(suspects, m)
		}
		if m.unanswered.IsZero() {
			m.unanswered = now
		}
	}
	if !p.worked || !slices.Equal(suspects, p.suspects) {
		p.relayed, p.suspects, p.worked = t.relays(p, suspects), suspects, true
	}
	return Partners{Line: p.addresses, RelayTo: p.relayed, Seeds: t.strangers()}
}

// relays returns to whom this router tells its line's sum.
func (t *Table) relays(p *plan, suspects []*member) []string {
	var relayed []string
	for _, other := range p.others {
		own := relayWeight(t.ownHash, other)
		if !slices.ContainsFunc(p.mates, func(mate *member) bool {
			return relayWeight(mate.hash, other) > own && !slices.Contains(suspects, mate)
		}) {
			relayed = append(relayed, other.address)
		}
	}
	return slices.Clip(relayed)
}

// relayWeight orders the members of a line for one of the others: the highest tells it.
func relayWeight(teller uint64, other *member) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], teller)
	binary.LittleEndian.PutUint64(pair[8:], other.hash)
	return xxhash.Sum64(pair[:])
}

// strangers returns the seeds that are no members, and one member that was lost.
func (t *Table) strangers() []string {
	var list []string
	for _, seed := range t.seeds {
		if seed != t.own && t.members[seed] == nil {
			list = append(list, seed)
		}
	}
	if lost := t.nextLost(); lost != "" && !slices.Contains(list, lost) {
		list = append(list, lost)
	}
	return list
}

// nextLost returns a member that was lost, another one each time, or an empty
// text.
func (t *Table) nextLost() string {
	var lost []string
	for address := range t.lost {
		if t.members[address] == nil {
			lost = append(lost, address)
		}
	}
	if len(lost) == 0 {
		return ""
	}
	slices.Sort(lost)
	t.next++
	return lost[t.next%len(lost)]
}

// Line returns the number of this router's line, and how many there are.
func (t *Table) Line() (line, lines int) {
	p := t.planned()
	return p.line, p.lines
}

const (
	// shortBytes of a member's hash name it in Alive: of 680 routers two share them
	// once in 70 fleets, and one that died is then taken for alive while the other is.
	shortBytes = 3
	// aliveWithin is how long ago those were heard that Alive names: two rounds.
	aliveWithin = 1200 * time.Millisecond
)

// AliveHashes names the members of the line that spoke to this router lately, for those to
// whom it tells the line's sum: three bytes a member, where a row takes some twenty.
func (t *Table) AliveHashes(now time.Time) []byte {
	var short []byte
	for _, m := range t.planned().mates {
		if now.Sub(m.direct) <= aliveWithin {
			short = append(short, byte(m.hash), byte(m.hash>>8), byte(m.hash>>16))
		}
	}
	return short
}

// MergeAliveHashes takes what Alive returned at another router. Those that are not known,
// and bytes left over, are passed over.
func (t *Table) MergeAliveHashes(short []byte, now time.Time) {
	members := t.byShort.get(t.changes, func() map[uint32]*member {
		all := make(map[uint32]*member, len(t.members))
		for _, m := range t.members {
			all[shortHash(byte(m.hash), byte(m.hash>>8), byte(m.hash>>16))] = m
		}
		return all
	})
	at := now.Add(-aliveWithin)
	for ; len(short) >= shortBytes; short = short[shortBytes:] {
		if m := members[shortHash(short[0], short[1], short[2])]; m != nil && at.After(m.heard) {
			m.heard = at
		}
	}
}

func shortHash(a, b, c byte) uint32 { return uint32(a) | uint32(b)<<8 | uint32(c)<<16 }
