// Package membership keeps which routers are there, without any list of them
// that somebody would have to maintain.
//
// A router starts with a few seeds, which may be stale. Whoever hears from
// another passes on how long ago that was, so that all learn of all; who has not
// been heard of for Lifetime is forgotten. Nothing is agreed on: members are
// whom to talk to, never who decides.
//
// The package does no I/O; time comes from the caller and is steady.
package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Lifetime is how long a router counts as a member after it was last heard.
const Lifetime = 6 * time.Second

// Table is one router's view of the others. It is not safe for concurrent use.
type Table struct {
	own   string
	seeds []string
	heard map[string]time.Time
	left  map[string]time.Time
}

// Row is a member with the time since it was heard.
type Row struct {
	Address string
	Age     time.Duration
}

// New returns a table of a router at an address.
func New(own string, seeds []string) *Table {
	return &Table{own: own, seeds: seeds, heard: make(map[string]time.Time), left: make(map[string]time.Time)}
}

// Heard notes that a member spoke just now, and tells whether it is new.
func (t *Table) Heard(address string, now time.Time) bool {
	if address == t.own || address == "" {
		return false
	}
	_, known := t.heard[address]
	t.heard[address] = now
	delete(t.left, address)
	return !known
}

// Left notes that a member said that it stops. Rows of others that are older
// than that do not bring it back.
func (t *Table) Left(address string, now time.Time) {
	delete(t.heard, address)
	t.left[address] = now
}

// Merge takes the rows that another router told at a time.
func (t *Table) Merge(rows []Row, now time.Time) {
	for _, r := range rows {
		at := now.Add(-r.Age)
		if r.Address == t.own || r.Age > Lifetime || at.Before(t.left[r.Address]) {
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
	for address, at := range t.heard {
		if now.Sub(at) > Lifetime {
			lost = append(lost, address)
			delete(t.heard, address)
		}
	}
	for address, at := range t.left {
		if now.Sub(at) > 2*Lifetime {
			delete(t.left, address)
		}
	}
	slices.Sort(lost)
	return lost
}

// Rows returns all members, sorted by address.
func (t *Table) Rows(now time.Time) []Row {
	rows := make([]Row, 0, len(t.heard))
	for address, at := range t.heard {
		rows = append(rows, Row{address, now.Sub(at)})
	}
	slices.SortFunc(rows, func(a, b Row) int {
		if a.Address < b.Address {
			return -1
		}
		return 1
	})
	return rows
}

// Partners returns whom to talk to in a round: all while they are at most
// most, else as many, in turns that come round to each; and the seeds that are
// no members, so that parts of a fleet that lost each other meet again.
func (t *Table) Partners(round, most int) []string {
	members := t.ownOrder()
	partners := make([]string, 0, min(len(members), most)+len(t.seeds))
	start := 0
	if len(members) > most {
		start = round * most % len(members)
	}
	for i := range min(len(members), most) {
		partners = append(partners, members[(start+i)%len(members)])
	}
	for _, seed := range t.seeds {
		_, member := t.heard[seed]
		if seed != t.own && !member {
			partners = append(partners, seed)
		}
	}
	return partners
}

// Cycle returns after how many rounds each member was a partner once.
func (t *Table) Cycle(most int) int {
	return max(1, (len(t.heard)+most-1)/most)
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
