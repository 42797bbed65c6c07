package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns how many members precede this router in an order that is the same
// everywhere. The first acts first; the others act if it does not.
func (t *Table) Rank() int {
	rank := 0
	for _, m := range t.list() {
		if m.hash < t.ownHash {
			rank++
		}
	}
	return rank
}

// OwnsTask reports whether a task belongs to this router. Routers that know the same members
// agree. A hash of the task selects a line, and rendezvous hashing a member of it, since
// there may be a task for each of thousands of replicas.
func (t *Table) OwnsTask(task string) bool {
	p := t.currentPlan()
	if p.lines < 2 || !t.Large() {
		return t.TaskRank(task) == 0
	}
	line := int(xxhash.Sum64String(task) % uint64(p.lines))
	owners := p.byLine[line]
	if line != p.line {
		// A line without members leaves its tasks to all.
		return len(owners) == 0 && t.TaskRank(task) == 0
	}
	own := xxhash.Sum64String(t.own + task)
	return !slices.ContainsFunc(owners, func(m *member) bool { return xxhash.Sum64String(m.address+task) > own })
}

// TaskRank returns how many routers precede this one for a task by rendezvous hashing.
func (t *Table) TaskRank(task string) int {
	own := xxhash.Sum64String(t.own + task)
	rank := 0
	for _, m := range t.list() {
		if xxhash.Sum64String(m.address+task) > own {
			rank++
		}
	}
	return rank
}

// TaskOwners returns the addresses of the first routers for a task by rendezvous hashing,
// this one included, that include accepts.
func (t *Table) TaskOwners(task string, most int, include func(address string) bool) []string {
	owners := make([]string, 0, most+1)
	ranks := make([]uint64, 0, most+1)
	key := make([]byte, 0, maxTaskKey)
	add := func(address string) {
		if !include(address) {
			return
		}
		key = append(append(key[:0], address...), task...)
		rank := xxhash.Sum64(key)
		at, _ := slices.BinarySearchFunc(ranks, rank, func(x, y uint64) int { return cmp.Compare(y, x) })
		if at == most {
			return
		}
		owners, ranks = slices.Insert(owners, at, address), slices.Insert(ranks, at, rank)
		owners, ranks = owners[:min(len(owners), most)], ranks[:min(len(ranks), most)]
	}
	add(t.own)
	for address := range t.members {
		add(address)
	}
	return owners
}

// maxTaskKey holds an address and a task, both of usual length, in bytes.
const maxTaskKey = 128
