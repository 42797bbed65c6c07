package membership

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// suspectRounds is for how many rounds a member of the line may be silent before another
// one relays for it.
const suspectRounds = 2.5

// Partners lists the routers to contact in a round. Callers must not change the lists.
type Partners struct {
	// Line holds all members of a small fleet, and those of the own line in a large one.
	Line []string
	// RelayTo holds the members outside of the line that get its sum from this router.
	RelayTo []string
	// Seeds holds the seeds that are not members, and one lost member, so that the parts
	// of a partitioned fleet find each other again.
	Seeds []string
}

// All returns all partners.
func (p Partners) All() []string { return slices.Concat(p.Line, p.RelayTo, p.Seeds) }

// plan caches the partners of a router while the members and the suspects stay the same.
type plan struct {
	line, lines int
	// lineMembers are the members of the line, addresses theirs and others the rest.
	lineMembers []*member
	addresses   []string
	others      []*member
	// byLine are the members of each line.
	byLine map[int][]*member
	// relayed are those of the others to which this router sends its line's sum, given
	// the line members that are not suspects; computed is set once it is valid.
	relayed  []string
	suspects []*member
	computed bool
	// relays holds for each other line the member that relays the line's sum to this router.
	relays map[int]*member
}

// currentPlan returns the plan for the current members.
func (t *Table) currentPlan() *plan {
	t.plan.get(t.changes, func() plan {
		p := plan{lines: lineCount(t.Len())}
		p.line = int(t.ownHash % uint64(p.lines))
		p.byLine = make(map[int][]*member, p.lines)
		for _, m := range t.list() {
			line := int(m.hash % uint64(p.lines))
			p.byLine[line] = append(p.byLine[line], m)
			if !t.Large() || int(m.hash%uint64(p.lines)) == p.line {
				p.lineMembers = append(p.lineMembers, m)
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

// lineCount returns how many lines a fleet is divided into: the power of two nearest to
// the square root of its size, so that it rarely changes.
func lineCount(routers int) int {
	return 1 << int(math.Round(math.Log2(math.Sqrt(float64(routers)))))
}

// Partners returns the routers to contact in this round.
func (t *Table) Partners(now time.Time) Partners {
	p := t.currentPlan()
	var suspects []*member
	for _, m := range p.lineMembers {
		if !m.unanswered.IsZero() && now.Sub(m.unanswered) >= t.rounds(suspectRounds) {
			suspects = append(suspects, m)
		}
		if m.unanswered.IsZero() {
			m.unanswered = now
		}
	}
	if !p.computed || !slices.Equal(suspects, p.suspects) {
		p.relayed, p.suspects, p.computed = t.relayRecipients(p, suspects), suspects, true
	}
	return Partners{Line: p.addresses, RelayTo: p.relayed, Seeds: t.contactCandidates()}
}

// relayRecipients returns the members to which this router sends its line's sum.
func (t *Table) relayRecipients(p *plan, suspects []*member) []string {
	var relayed []string
	for _, other := range p.others {
		own := relayWeight(t.ownHash, other)
		if !slices.ContainsFunc(p.lineMembers, func(mate *member) bool {
			return relayWeight(mate.hash, other) > own && !slices.Contains(suspects, mate)
		}) {
			relayed = append(relayed, other.address)
		}
	}
	return slices.Clip(relayed)
}

// silentLineRounds is for how many rounds no message may arrive from a line before its relay is
// contacted: longer than the line takes to replace a relay that does not answer.
const silentLineRounds = 5

// SilentRelays returns up to most members that should relay the sum of their line to this router,
// if no message arrives from that line, each at most once in silentLineRounds. Their view of the
// fleet may lack this router, since rows of members are samples, and no other member of the line
// relays in their place.
func (t *Table) SilentRelays(most int, now time.Time) []string {
	p := t.currentPlan()
	if !t.Large() || p.lines < 2 {
		return nil
	}
	if p.relays == nil {
		p.relays = t.relays(p)
	}
	var silent []string
	for line, relay := range p.relays {
		lately := now.Add(-t.rounds(silentLineRounds))
		if len(silent) == most || relay.added.After(lately) || relay.contacted.After(lately) {
			continue
		}
		heard := slices.ContainsFunc(p.byLine[line], func(m *member) bool { return m.direct.After(lately) })
		if !heard {
			relay.contacted = now
			silent = append(silent, relay.address)
		}
	}
	return silent
}

// RelayFor returns the member of this router's line that relays the line's sum to the router at an
// address. It returns false if this router does so itself, or if the other one is of the same line.
// A router that contacts this one as its relay may not know the member that is.
func (t *Table) RelayFor(address string, now time.Time) (Row, bool) {
	p := t.currentPlan()
	other := &member{address: address, hash: xxhash.Sum64String(address)}
	if !t.Large() || int(other.hash%uint64(p.lines)) == p.line {
		return Row{}, false
	}
	relay, most := (*member)(nil), relayWeight(t.ownHash, other)
	for _, mate := range p.lineMembers {
		if weight := relayWeight(mate.hash, other); weight > most && !slices.Contains(p.suspects, mate) {
			relay, most = mate, weight
		}
	}
	if relay == nil {
		return Row{}, false
	}
	return Row{relay.address, now.Sub(relay.heard)}, true
}

// relays returns the member of each other line that ranks first for this router.
func (t *Table) relays(p *plan) map[int]*member {
	own := &member{hash: t.ownHash}
	relays := make(map[int]*member, p.lines)
	for line, members := range p.byLine {
		if line != p.line {
			relays[line] = slices.MaxFunc(members, func(a, b *member) int {
				return cmp.Compare(relayWeight(a.hash, own), relayWeight(b.hash, own))
			})
		}
	}
	return relays
}

// relayWeight ranks the members of a line for one of the others: the highest sends to it.
func relayWeight(sender uint64, other *member) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], sender)
	binary.LittleEndian.PutUint64(pair[8:], other.hash)
	return xxhash.Sum64(pair[:])
}

// contactCandidates returns the seeds that are not members, and one lost member.
func (t *Table) contactCandidates() []string {
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

// nextLost returns a lost member, another one each time, or an empty string.
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
	t.lostIndex++
	return lost[t.lostIndex%len(lost)]
}

// Line returns the number of this router's line, and how many there are.
func (t *Table) Line() (line, lines int) {
	p := t.currentPlan()
	return p.line, p.lines
}

const (
	// shortHashBytes is how many bytes of a member's hash AliveHashes contains. Among 680
	// routers two share them in one of 70 fleets; then one that died counts as alive
	// while the other is.
	shortHashBytes = 3
	// aliveRounds is within how many rounds the members in AliveHashes sent a heartbeat.
	aliveRounds = 2
)

// AliveHashes returns short hashes of the line's members that contacted this router
// lately, for the recipients of the line's sum: three bytes a member, where a row takes
// some twenty.
func (t *Table) AliveHashes(now time.Time) []byte {
	var short []byte
	for _, m := range t.currentPlan().lineMembers {
		if now.Sub(m.direct) <= t.rounds(aliveRounds) {
			short = append(short, byte(m.hash), byte(m.hash>>8), byte(m.hash>>16))
		}
	}
	return short
}

// MergeAliveHashes merges what AliveHashes returned at another router. It ignores unknown
// members and surplus bytes.
func (t *Table) MergeAliveHashes(short []byte, now time.Time) {
	members := t.byShort.get(t.changes, func() map[uint32]*member {
		all := make(map[uint32]*member, len(t.members))
		for _, m := range t.members {
			all[shortHash(byte(m.hash), byte(m.hash>>8), byte(m.hash>>16))] = m
		}
		return all
	})
	at := now.Add(-t.rounds(aliveRounds))
	for ; len(short) >= shortHashBytes; short = short[shortHashBytes:] {
		if m := members[shortHash(short[0], short[1], short[2])]; m != nil && at.After(m.heard) {
			m.heard = at
		}
	}
}

func shortHash(a, b, c byte) uint32 { return uint32(a) | uint32(b)<<8 | uint32(c)<<16 }
