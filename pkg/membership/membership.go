// Package membership keeps which routers are there, without any list of them
// that somebody would have to maintain.
//
// A router starts with a few seeds, which may be stale. Whoever hears from
// another passes on how long ago that was, so that all learn of all; who has not
// been heard of for Lifetime is forgotten. Nothing is agreed on: members are
// whom to talk to, never who decides.
//
// Up to a number of members each talks to each. In a larger fleet each has a few
// partners that stay the same, chosen by rendezvous hashing, so that the partners
// form a random graph: what one tells reaches all over two or three others, and a
// router's connections don't grow with the fleet.
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
	// patience is how long a partner may be silent before another one takes its
	// place, and retryAfter when it is tried again.
	patience   = 1500 * time.Millisecond
	retryAfter = 3 * time.Second
)

// Table is one router's view of the others. It is not safe for concurrent use.
type Table struct {
	own   string
	seeds []string
	most  int
	heard map[string]time.Time
	// direct is when each spoke to this router itself.
	direct map[string]time.Time
	left   map[string]time.Time
	// asked is since when a partner is asked without an answer.
	asked map[string]time.Time
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
		own:    own,
		seeds:  seeds,
		most:   most,
		heard:  make(map[string]time.Time),
		direct: make(map[string]time.Time),
		left:   make(map[string]time.Time),
		asked:  make(map[string]time.Time),
	}
}

// Large tells whether there are more members than partners.
func (t *Table) Large() bool { return len(t.heard) > t.most }

func (t *Table) lifetime() time.Duration {
	if t.Large() {
		return largeLifetime
	}
	return Lifetime
}

// Heard notes that a member spoke just now, and tells whether it is new.
func (t *Table) Heard(address string, now time.Time) bool {
	if address == t.own || address == "" {
		return false
	}
	_, known := t.heard[address]
	t.heard[address] = now
	t.direct[address] = now
	delete(t.left, address)
	delete(t.asked, address)
	return !known
}

// Left notes that a member said that it stops. Rows of others that are older
// than that do not bring it back.
func (t *Table) Left(address string, now time.Time) {
	delete(t.heard, address)
	delete(t.direct, address)
	t.left[address] = now
}

// Merge takes the rows that another router told at a time.
func (t *Table) Merge(rows []Row, now time.Time) {
	for _, r := range rows {
		at := now.Add(-r.Age)
		if r.Address == t.own || r.Age > t.lifetime() || at.Before(t.left[r.Address]) {
			continue
		}
		if known, found := t.heard[r.Address]; !found || at.After(known) {
			t.heard[r.Address] = at
		}
	}
}

// Expire forgets who was silent for too long and returns them, sorted.
func (t *Table) Expire(now time.Time) []string {
	var lost []string
	lifetime := t.lifetime()
	for address, at := range t.heard {
		if now.Sub(at) > lifetime {
			lost = append(lost, address)
			delete(t.heard, address)
			delete(t.direct, address)
			delete(t.asked, address)
		}
	}
	for address, at := range t.left {
		if now.Sub(at) > 2*largeLifetime {
			delete(t.left, address)
		}
	}
	slices.Sort(lost)
	return lost
}

// Rows returns all members, sorted by address.
func (t *Table) Rows(now time.Time) []Row { return sorted(t.heard, now) }

// Direct returns the members that spoke to this router itself within Lifetime,
// with the time since, sorted by address.
func (t *Table) Direct(now time.Time) []Row {
	return slices.DeleteFunc(sorted(t.direct, now), func(r Row) bool { return r.Age > Lifetime })
}

func sorted(heard map[string]time.Time, now time.Time) []Row {
	rows := make([]Row, 0, len(heard))
	for address, at := range heard {
		rows = append(rows, Row{address, now.Sub(at)})
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Address, b.Address) })
	return rows
}

// Partners returns whom to talk to in a round: all while they are at most
// most, else the first in this router's own order that answer; and the seeds
// that are no members, so that parts of a fleet that lost each other meet again.
func (t *Table) Partners(now time.Time) []string {
	partners := make([]string, 0, min(len(t.heard), t.most)+len(t.seeds))
	for _, address := range t.ownOrder() {
		if len(partners) == t.most {
			break
		}
		if t.Large() && t.resting(address, now) {
			continue
		}
		partners = append(partners, address)
		if _, waiting := t.asked[address]; !waiting {
			t.asked[address] = now
		}
	}
	for _, seed := range t.seeds {
		_, member := t.heard[seed]
		if seed != t.own && !member {
			partners = append(partners, seed)
		}
	}
	return partners
}

// resting tells whether a partner has not answered for so long that another one
// takes its place for a while.
func (t *Table) resting(address string, now time.Time) bool {
	since, waiting := t.asked[address]
	if !waiting || now.Sub(since) < patience {
		return false
	}
	if now.Sub(since) > retryAfter {
		delete(t.asked, address)
		return false
	}
	return true
}

// Sample returns a part of the members, another one each time, sorted by
// address: all in some rounds, in messages that don't grow with the fleet.
func (t *Table) Sample(round, most int, now time.Time) []Row {
	rows := t.Rows(now)
	if len(rows) <= most {
		return rows
	}
	part := make([]Row, most)
	for i := range part {
		part[i] = rows[(round*most+i)%len(rows)]
	}
	return part
}

// ownOrder returns the members in an order that is another one at each router
// and that mixes data centres. Routers that start together count their rounds
// alike: in a common order all would talk to the same few at a time, and hear
// nothing of a whole data centre for several rounds.
func (t *Table) ownOrder() []string {
	type place struct {
		key     uint64
		address string
	}
	places := make([]place, 0, len(t.heard))
	for address := range t.heard {
		places = append(places, place{xxhash.Sum64String(t.own + address), address})
	}
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.address, b.address))
	})
	addresses := make([]string, len(places))
	for i, p := range places {
		addresses[i] = p.address
	}
	return addresses
}

// Rank returns how many members come before this router in an order that is the
// same everywhere. Whoever is first acts first; the others act if it does not.
func (t *Table) Rank() int {
	rank := 0
	own := xxhash.Sum64String(t.own)
	for address := range t.heard {
		if xxhash.Sum64String(address) < own {
			rank++
		}
	}
	return rank
}

// Mine tells whether a task is this router's by rendezvous hashing. Routers that
// know the same members agree.
func (t *Table) Mine(task string) bool {
	own := xxhash.Sum64String(t.own + task)
	for address := range t.heard {
		if xxhash.Sum64String(address+task) > own {
			return false
		}
	}
	return true
}

// Len returns the number of routers, this one included.
func (t *Table) Len() int { return len(t.heard) + 1 }
