// Package membership keeps which routers are there, without any list of them
// that somebody would have to maintain.
//
// A router starts with a few seeds, which may be stale. Whoever hears from
// another passes on how long ago that was, so that all learn of all; who has not
// been heard of for Lifetime is forgotten. Nothing is agreed on: members are
// whom to talk to, never who decides.
//
// Up to a number of members each talks to each. A larger fleet is divided into
// lines, by the hash of the address, so that nothing has to be agreed on:
//
//	line 0: a d g j    each talks to its line, and for its line to some of the
//	line 1: b e h k    others: of each line, each router hears from the one
//	line 2: c f i      member that comes first for it by rendezvous hashing
//
// What all routers count thus reaches each in two steps, once, over some
// 2 x sqrt(n) partners a router. Whom a router talks to is worked out anew only when
// the members change.
//
// The package does no I/O; time comes from the caller and is steady.
package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Lifetime is how long a router counts as a member after it was last heard.
	Lifetime = 6 * time.Second
	// largeLifetime is the same in a large fleet, where most are heard of through
	// others only, a part of them at a time.
	largeLifetime = 3 * Lifetime
	// lostLifetime is for how long a member that fell silent is looked for, one of
	// them in each round: both sides of a cut forget each other, and the seeds may
	// be gone by the time it is over.
	lostLifetime = 5 * time.Minute
)

// Table is one router's view of the others. It is not safe for concurrent use.
type Table struct {
	own     string
	ownHash uint64
	seeds   []string
	most    int
	members map[string]*member
	left    map[string]time.Time
	// lost is when members that fell silent were forgotten, and next whom of them
	// to look for.
	lost map[string]time.Time
	next int
	// fresh are members that came to this router before it knew of them, and that it
	// has told nobody of.
	fresh []string
	// changes counts the changes of members and lost; the rest holds for one count.
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
	// heard is when it was last heard of, direct when it last spoke to this router
	// itself as one that does so in each round.
	heard, direct time.Time
	// unanswered is since when it is told without being heard; zero if it was heard.
	unanswered time.Time
}

// cached is a value that is worked out anew when the members have changed.
type cached[T any] struct {
	value T
	at    uint64
}

// get returns the value as of a count of changes, which starts at 1.
func (c *cached[T]) get(changes uint64, work func() T) T {
	if c.at != changes {
		c.value, c.at = work(), changes
	}
	return c.value
}

// Row is a member with the time since it was heard.
type Row struct {
	Address string
	Age     time.Duration
}

// New returns a table of a router at an address. most is up to how many members
// are all partners.
func New(own string, seeds []string, most int) *Table {
	return &Table{
		own:     own,
		ownHash: xxhash.Sum64String(own),
		seeds:   seeds,
		most:    most,
		members: make(map[string]*member),
		left:    make(map[string]time.Time),
		lost:    make(map[string]time.Time),
		changes: 1,
	}
}

// Large tells whether there are more members than partners.
func (t *Table) Large() bool { return len(t.members) > t.most }

func (t *Table) lifetime() time.Duration {
	if t.Large() {
		return largeLifetime
	}
	return Lifetime
}

// RecordHeartbeat notes that a member spoke just now, as it does in each round, and tells
// whether it is new.
func (t *Table) RecordHeartbeat(address string, now time.Time) bool {
	fresh := t.RecordContact(address, now)
	if m := t.members[address]; m != nil {
		m.direct = now
	}
	return fresh
}

// RecordContact notes that a member spoke just now, though it does not in each round, and
// tells whether it is new.
func (t *Table) RecordContact(address string, now time.Time) bool {
	if address == t.own || address == "" {
		return false
	}
	m, fresh := t.member(address)
	if fresh {
		t.fresh = append(t.fresh, address)
	}
	m.heard = now
	m.unanswered = time.Time{}
	delete(t.left, address)
	t.find(address)
	return fresh
}

// member returns a member, which is added if it is not there.
func (t *Table) member(address string) (m *member, added bool) {
	if m := t.members[address]; m != nil {
		return m, false
	}
	m = &member{address: address, hash: xxhash.Sum64String(address)}
	t.members[address] = m
	t.changes++
	return m, true
}

// find ends the search for a member that was lost.
func (t *Table) find(address string) {
	if _, lost := t.lost[address]; lost {
		delete(t.lost, address)
		t.changes++
	}
}

func (t *Table) remove(address string) {
	delete(t.members, address)
	t.changes++
}

// RecordLeave notes that a member said that it stops. Rows of others that are older
// than that do not bring it back.
func (t *Table) RecordLeave(address string, now time.Time) {
	if t.members[address] != nil {
		t.remove(address)
	}
	t.find(address)
	t.left[address] = now
}

// Merge takes the rows that another router told at a time.
func (t *Table) Merge(rows []Row, now time.Time) {
	for _, r := range rows {
		at := now.Add(-r.Age)
		if r.Address == t.own || r.Address == "" || r.Age > t.lifetime() || at.Before(t.left[r.Address]) {
			continue
		}
		if m, _ := t.member(r.Address); at.After(m.heard) {
			m.heard = at
		}
	}
}

// Expire forgets who was silent for too long and returns them, sorted.
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
		t.remove(address)
	}
	for address, at := range t.lost {
		if now.Sub(at) > lostLifetime {
			t.find(address)
		}
	}
	for address, at := range t.left {
		if now.Sub(at) > 2*largeLifetime {
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

// DirectRows returns the members that spoke to this router itself within Lifetime, as
// those do that do so in each round, with the time since, sorted by address.
func (t *Table) DirectRows(now time.Time) []Row {
	var rows []Row
	for _, m := range t.list() {
		if age := now.Sub(m.direct); age <= Lifetime {
			rows = append(rows, Row{m.address, age})
		}
	}
	return rows
}

// Sample returns a part of the members, another one each time, sorted by
// address: all in some rounds, in messages that don't grow with the fleet.
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

// TakeNew returns members that came to this router before it knew of them, most of them
// at a time, the first to come first, each once. A router that starts comes to some of
// each line, so that all know it when these have told their partners.
func (t *Table) TakeNew(most int, now time.Time) []Row {
	var rows []Row
	n := min(most, len(t.fresh))
	for _, address := range t.fresh[:n] {
		if m := t.members[address]; m != nil {
			rows = append(rows, Row{address, now.Sub(m.heard)})
		}
	}
	t.fresh = t.fresh[n:]
	return rows
}

// Rank returns how many members come before this router in an order that is the
// same everywhere. Whoever is first acts first; the others act if it does not.
func (t *Table) Rank() int {
	rank := 0
	for _, m := range t.list() {
		if m.hash < t.ownHash {
			rank++
		}
	}
	return rank
}

// OwnsTask tells whether a task is this router's by rendezvous hashing. Routers that
// know the same members agree.
func (t *Table) OwnsTask(task string) bool {
	own := xxhash.Sum64String(t.own + task)
	for _, m := range t.list() {
		if xxhash.Sum64String(m.address+task) > own {
			return false
		}
	}
	return true
}

// KnownAddresses returns all routers that are members or were a while ago, this one included,
// sorted. Those that fell silent may be at work behind a cut. The list is not to be
// changed; it is the same one while Changes is.
func (t *Table) KnownAddresses() []string {
	return t.known.get(t.changes, func() []string {
		known := []string{t.own}
		for address := range t.members {
			known = append(known, address)
		}
		for address := range t.lost {
			known = append(known, address)
		}
		slices.Sort(known)
		return slices.Compact(known)
	})
}

// Changes counts the changes of the members and of those that were lost.
func (t *Table) Changes() uint64 { return t.changes }

// Len returns the number of routers, this one included.
func (t *Table) Len() int { return len(t.members) + 1 }
