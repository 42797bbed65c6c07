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
// 2 x sqrt(n) connections a router.
//
// The package does no I/O; time comes from the caller and is steady.
package membership

import (
	"cmp"
	"math"
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
	// suspectAfter is how long a member of the line may be silent before another one
	// does its work.
	suspectAfter = 1500 * time.Millisecond
	// lostLifetime is for how long a member that fell silent is looked for, one of
	// them in each round: both sides of a cut forget each other, and the seeds may
	// be gone by the time it is over.
	lostLifetime = 5 * time.Minute
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
	// unanswered is since when a partner is asked without an answer.
	unanswered map[string]time.Time
	// lost is when members that fell silent were forgotten, and next whom of them
	// to look for.
	lost map[string]time.Time
	next int
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
		own:        own,
		seeds:      seeds,
		most:       most,
		heard:      make(map[string]time.Time),
		direct:     make(map[string]time.Time),
		left:       make(map[string]time.Time),
		unanswered: make(map[string]time.Time),
		lost:       make(map[string]time.Time),
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
	delete(t.unanswered, address)
	delete(t.lost, address)
	return !known
}

// Left notes that a member said that it stops. Rows of others that are older
// than that do not bring it back.
func (t *Table) Left(address string, now time.Time) {
	delete(t.heard, address)
	delete(t.direct, address)
	delete(t.lost, address)
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
			t.lost[address] = now
			delete(t.heard, address)
			delete(t.direct, address)
			delete(t.unanswered, address)
		}
	}
	for address, at := range t.lost {
		if now.Sub(at) > lostLifetime {
			delete(t.lost, address)
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

// Partners are whom a router talks to in a round.
type Partners struct {
	// Line is all members in a small fleet, and those of the own line in a large
	// one.
	Line []string
	// Relayed are the members outside of the line that hear of it from this router.
	Relayed []string
	// Seeds are those that are no members, and one member that was lost, so that
	// parts of a fleet that lost each other meet again.
	Seeds []string
}

// All returns all partners.
func (p Partners) All() []string { return slices.Concat(p.Line, p.Relayed, p.Seeds) }

// Partners returns whom to talk to.
func (t *Table) Partners(now time.Time) Partners {
	var p Partners
	var awake []string
	for _, r := range t.Rows(now) {
		if !t.Large() || t.lineOf(r.Address) == t.lineOf(t.own) {
			p.Line = append(p.Line, r.Address)
			if !t.suspected(r.Address, now) {
				awake = append(awake, r.Address)
			}
		}
	}
	for address := range t.heard {
		if t.Large() && t.lineOf(address) != t.lineOf(t.own) && t.relaysTo(address, awake) {
			p.Relayed = append(p.Relayed, address)
		}
	}
	slices.Sort(p.Relayed)
	for _, address := range p.Line {
		if _, waiting := t.unanswered[address]; !waiting {
			t.unanswered[address] = now
		}
	}
	for _, seed := range t.seeds {
		_, member := t.heard[seed]
		if seed != t.own && !member {
			p.Seeds = append(p.Seeds, seed)
		}
	}
	if lost := t.nextLost(); lost != "" && !slices.Contains(p.Seeds, lost) {
		p.Seeds = append(p.Seeds, lost)
	}
	return p
}

// nextLost returns a member that was lost, another one each time, or an empty
// text.
func (t *Table) nextLost() string {
	var lost []string
	for address := range t.lost {
		if _, member := t.heard[address]; !member {
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
func (t *Table) Line() (line, lines int) { return t.lineOf(t.own), t.lines() }

// lines returns in how many lines the fleet is divided: the power of two next to
// the square root of its size, so that it rarely changes.
func (t *Table) lines() int {
	return 1 << int(math.Round(math.Log2(math.Sqrt(float64(t.Len())))))
}

func (t *Table) lineOf(address string) int {
	return int(xxhash.Sum64String(address) % uint64(t.lines()))
}

// relaysTo tells whether this router comes first for another, of its line.
func (t *Table) relaysTo(address string, line []string) bool {
	own := xxhash.Sum64String(t.own + address)
	return !slices.ContainsFunc(line, func(mate string) bool {
		return xxhash.Sum64String(mate+address) > own
	})
}

// suspected tells whether a member has not answered for so long that another one
// does its work.
func (t *Table) suspected(address string, now time.Time) bool {
	since, waiting := t.unanswered[address]
	return waiting && now.Sub(since) >= suspectAfter
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

// Known returns all routers that are members or were a while ago, this one included,
// sorted. Those that fell silent may be at work behind a cut.
func (t *Table) Known() []string {
	known := []string{t.own}
	for address := range t.heard {
		known = append(known, address)
	}
	for address := range t.lost {
		known = append(known, address)
	}
	slices.Sort(known)
	return slices.Compact(known)
}

// Len returns the number of routers, this one included.
func (t *Table) Len() int { return len(t.heard) + 1 }
