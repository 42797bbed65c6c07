// Package membership tracks the routers of a fleet without a list that somebody would
// have to maintain.
//
// A router starts with a few seeds, which may be stale. Routers pass on how long ago they
// heard each member, so that all learn of all; a member of which nothing was heard for
// Lifetime is forgotten. There is no consensus: the members determine whom to contact,
// never who decides.
//
// Up to a number of members each router contacts each other one. A larger fleet is
// divided into lines, by the hash of the address, so that no agreement is needed:
//
//	line 0: a d g j    each router contacts its own line, and on behalf of its line
//	line 1: b e h k    some of the others: of each line, each router hears from the
//	line 2: c f i      member that ranks first for it by rendezvous hashing
//
// The counts of all routers thus reach each in two hops, once, over some 2 x sqrt(n)
// partners a router. The partners are computed again only when the members change.
//
// The package does no I/O; time comes from the caller and is steady.
package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Lifetime is how long a router counts as a member after it was last heard.
	Lifetime = 6 * time.Second
	// largeLifetime is the same in a large fleet, where a router hears of most members
	// through others only, of a part of them at a time.
	largeLifetime = 3 * Lifetime
	// lostLifetime is how long a router tries to reach members that fell silent, one of
	// them in each round: both sides of a partition forget each other, and the seeds may
	// be gone when it ends.
	lostLifetime = 5 * time.Minute
)

// Table is one router's view of the others. It is not safe for concurrent use.
type Table struct {
	own         string
	ownHash     uint64
	seeds       []string
	maxPartners int
	// round is the time between two rounds of a large fleet.
	round   time.Duration
	members map[string]*member
	left    map[string]time.Time
	// lost holds when silent members were forgotten, and lostIndex selects the one to try
	// next.
	lost      map[string]time.Time
	lostIndex int
	// silent holds when members were forgotten that did not announce a stop: they may work behind
	// a partition.
	silent map[string]time.Time
	// window is set by SetWindow.
	window time.Duration
	// metSeeds are the seeds that were members since the start, began is about when that was.
	metSeeds map[string]bool
	began    time.Time
	// counts are the greatest numbers of routers that others reported.
	counts reportedCounts
	// held keeps the number of routers from falling while those behind a seed are learned.
	held heldRouters
	// newMembers are members that contacted this router before it knew of them, and that
	// it has not reported to others yet.
	newMembers []string
	// changes counts the changes of members, lost and silent; the fields below are cached for one
	// count.
	changes uint64
	sorted  cached[[]*member]
	known   cached[[]string]
	byShort cached[map[uint32]*member]
	plan    cached[plan]
}

// member is one router other than the own one.
type member struct {
	address string
	hash    uint64
	// heard is when the member was last heard of, direct when it last contacted this
	// router itself with a heartbeat.
	heard, direct time.Time
	// unanswered is when the first message without an answer was sent to it; zero if it
	// answered.
	unanswered time.Time
	// added is when the member was met, contacted when SilentRelays last returned it.
	added, contacted time.Time
}

// cached is a value that is computed again after the members have changed.
type cached[T any] struct {
	value T
	at    uint64
}

// get returns the value for a change count, which starts at 1.
func (c *cached[T]) get(changes uint64, work func() T) T {
	if c.at != changes {
		c.value, c.at = work(), changes
	}
	return c.value
}

// Row is a member and the time since it was heard.
type Row struct {
	Address string
	Age     time.Duration
}

// New returns the table of a router at the address own. Up to maxPartners members are all
// partners.
func New(own string, seeds []string, maxPartners int) *Table {
	return &Table{
		own:         own,
		ownHash:     xxhash.Sum64String(own),
		seeds:       seeds,
		maxPartners: maxPartners,
		round:       defaultRound,
		members:     make(map[string]*member),
		left:        make(map[string]time.Time),
		lost:        make(map[string]time.Time),
		silent:      make(map[string]time.Time),
		metSeeds:    make(map[string]bool),
		changes:     1,
	}
}

// defaultRound applies until SetRound is called.
const defaultRound = 600 * time.Millisecond

// SetRound sets the time between two rounds of a large fleet.
func (t *Table) SetRound(round time.Duration) {
	if t.Large() {
		t.round = round
	}
}

// rounds returns how long some rounds of a large fleet take.
func (t *Table) rounds(n float64) time.Duration { return time.Duration(n * float64(t.round)) }

// Large reports whether there are more members than can all be partners.
func (t *Table) Large() bool { return len(t.members) > t.maxPartners }

func (t *Table) lifetime() time.Duration {
	if t.Large() {
		return largeLifetime
	}
	return Lifetime
}

// RecordHeartbeat records a message from a member that sends one in each round, and
// reports whether the member is new.
func (t *Table) RecordHeartbeat(address string, now time.Time) bool {
	added := t.RecordContact(address, now)
	if m := t.members[address]; m != nil {
		m.direct = now
	}
	return added
}

// RecordContact records a message from a member that does not send one in each round, and
// reports whether the member is new.
func (t *Table) RecordContact(address string, now time.Time) bool {
	if address == t.own || address == "" {
		return false
	}
	m, added := t.member(address, now)
	if added {
		t.newMembers = append(t.newMembers, address)
	}
	m.heard = now
	m.unanswered = time.Time{}
	delete(t.left, address)
	t.stopSearch(address)
	return added
}

// member returns a member, and adds it if it is missing.
func (t *Table) member(address string, now time.Time) (m *member, added bool) {
	if m := t.members[address]; m != nil {
		return m, false
	}
	m = &member{address: address, hash: xxhash.Sum64String(address), added: now}
	if slices.Contains(t.seeds, address) && !t.metSeeds[address] {
		t.holdRouters(now, func() { t.add(m); t.metSeeds[address] = true })
	} else {
		t.add(m)
	}
	return m, true
}

func (t *Table) add(m *member) {
	t.members[m.address] = m
	t.accountFor(m.address)
	t.changes++
}

// stopSearch ends the search for a lost member.
func (t *Table) stopSearch(address string) {
	if _, lost := t.lost[address]; lost {
		delete(t.lost, address)
		t.changes++
	}
}

func (t *Table) remove(address string) {
	delete(t.members, address)
	t.changes++
}

// RecordLeave records that a member announced its stop. Older rows from others do not
// bring it back.
func (t *Table) RecordLeave(address string, now time.Time) {
	if t.members[address] != nil {
		t.remove(address)
	}
	t.stopSearch(address)
	t.accountFor(address)
	t.left[address] = now
}

// accountFor removes a member from those that fell silent.
func (t *Table) accountFor(address string) {
	if _, silent := t.silent[address]; silent {
		delete(t.silent, address)
		t.changes++
	}
}

// Merge merges rows that another router sent, with ages as of now.
func (t *Table) Merge(rows []Row, now time.Time) {
	for _, r := range rows {
		at := now.Add(-r.Age)
		if r.Address == t.own || r.Address == "" || r.Age > t.lifetime() || at.Before(t.left[r.Address]) {
			continue
		}
		if m, _ := t.member(r.Address, now); at.After(m.heard) {
			m.heard = at
		}
	}
}

// Expire forgets the members that were silent for too long and returns them, sorted.
func (t *Table) Expire(now time.Time) []string {
	var silent []string
	lifetime := t.lifetime()
	for _, m := range t.list() {
		if now.Sub(m.heard) > lifetime {
			silent = append(silent, m.address)
		}
	}
	for _, address := range silent {
		t.lost[address] = now
		t.silent[address] = now
		t.remove(address)
	}
	for address, at := range t.silent {
		if now.Sub(at) > silentLifetime {
			t.accountFor(address)
		}
	}
	for address, at := range t.lost {
		if now.Sub(at) > lostLifetime {
			t.stopSearch(address)
		}
	}
	for address, at := range t.left {
		if now.Sub(at) > max(2*largeLifetime, t.leftLifetime()) {
			delete(t.left, address)
		}
	}
	return silent
}

// list returns the members, sorted by address.
func (t *Table) list() []*member {
	return t.sorted.get(t.changes, func() []*member {
		list := make([]*member, 0, len(t.members))
		for _, m := range t.members {
			list = append(list, m)
		}
		slices.SortFunc(list, func(a, b *member) int { return cmp.Compare(a.address, b.address) })
		return list
	})
}

// Rows returns all members, sorted by address.
func (t *Table) Rows(now time.Time) []Row {
	rows := make([]Row, 0, len(t.members))
	for _, m := range t.list() {
		rows = append(rows, Row{m.address, now.Sub(m.heard)})
	}
	return rows
}

// DirectRows returns the members that sent this router itself a heartbeat within
// Lifetime, with the time since, sorted by address.
func (t *Table) DirectRows(now time.Time) []Row {
	var rows []Row
	for _, m := range t.list() {
		if age := now.Sub(m.direct); age <= Lifetime {
			rows = append(rows, Row{m.address, age})
		}
	}
	return rows
}

// Sample returns some of the members, others in each round, sorted by address: all of
// them over several rounds, in messages that don't grow with the fleet.
func (t *Table) Sample(round, most int, now time.Time) []Row {
	list := t.list()
	rows := make([]Row, 0, min(most, len(list)))
	for i := range cap(rows) {
		m := list[i]
		if len(list) > most {
			m = list[(round*most+i)%len(list)]
		}
		rows = append(rows, Row{m.address, now.Sub(m.heard)})
	}
	return rows
}

// TakeNew returns up to most members that contacted this router before it knew of them,
// oldest first, each once. A router that starts contacts some members of each line, so
// that all know it when these have told their partners.
func (t *Table) TakeNew(most int, now time.Time) []Row {
	var rows []Row
	n := min(most, len(t.newMembers))
	for _, address := range t.newMembers[:n] {
		if m := t.members[address]; m != nil {
			rows = append(rows, Row{address, now.Sub(m.heard)})
		}
	}
	t.newMembers = t.newMembers[n:]
	return rows
}

// Alive returns the addresses of the other members, in no order.
func (t *Table) Alive() []string { return slices.Collect(maps.Keys(t.members)) }

// IsAlive reports whether the router at an address is a member.
func (t *Table) IsAlive(address string) bool { return t.members[address] != nil }

// Knows reports whether the router at an address is a member, or was one: it announced its stop, or fell
// silent.
func (t *Table) Knows(address string) bool {
	_, left := t.left[address]
	_, lost := t.lost[address]
	return left || lost || t.IsAlive(address)
}

// KnownAddresses returns all routers that are members, or fell silent within silentLifetime and
// may be working behind a partition, this one included, sorted. Callers must not change the
// list; it stays the same one while Changes does.
func (t *Table) KnownAddresses() []string {
	return t.known.get(t.changes, func() []string {
		known := []string{t.own}
		for address := range t.members {
			known = append(known, address)
		}
		for address := range t.silent {
			known = append(known, address)
		}
		slices.Sort(known)
		return known
	})
}

// Changes returns the number of changes of the members and of those that are lost or silent.
func (t *Table) Changes() uint64 { return t.changes }

// Len returns the number of routers, this one included.
func (t *Table) Len() int { return len(t.members) + 1 }
