package balance

import (
	"cmp"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/croftyard/croftyard/pkg/mechanism"
)

// In a large fleet what others run is told late. When one session draws a
// part of all prompts, its home fills before anybody hears of it. Then all routers pass
// over it and fill the next one; and requests that last no longer than what is told is
// old have left the first one meanwhile, which looks empty and is filled again.
//
// By how far the homes of a part are above the bound a router knows how many homes it
// takes. That is remembered and told: a router hardly sees two requests of one session
// in a second, and most would find the home that has just emptied.
//
// It costs more copies of the part, and keeps its homes within what the users allow.
const (
	// homeLoadShare is the part of the bound that one more home takes: homes have half of
	// it free in the mean.
	homeLoadShare = 0.5
	// maxHomes is the most homes that a part is spread over: each of them has to copy
	// it.
	maxHomes = 8
	// spreadLifetime is for how long a part is spread once it was seen to need it: some ten
	// rounds of telling, so that the homes are seen to be calm, or not, before all go
	// back to one.
	spreadLifetime = 6 * time.Second
	// maxHotParts is how many parts are remembered. A fleet has a handful at a time.
	maxHotParts = 1000
)

// HotPart is a part of prompts that is spread over some of its homes, and when it was
// seen to need them, by the steady time of the one who holds it.
type HotPart struct {
	Part  uint64
	Homes int
	At    time.Time
}

// hotPartCache remembers which parts are spread.
type hotPartCache struct {
	parts *lru.Cache[uint64, HotPart]
}

func newHotPartCache() *hotPartCache {
	parts, err := lru.New[uint64, HotPart](maxHotParts)
	if err != nil {
		// The size is a constant above zero.
		panic(err)
	}
	return &hotPartCache{parts: parts}
}

// homes returns over how many homes a part is spread.
func (h *hotPartCache) homes(part uint64, now time.Time) int {
	hot, found := h.parts.Peek(part)
	if !found || now.Sub(hot.At) >= spreadLifetime {
		return 1
	}
	return hot.Homes
}

// addHotPart notes that a part takes some homes. What is new is told. b.mu is held.
func (b *Balancer) addHotPart(hot HotPart, now time.Time) {
	if !b.largeFleet || now.Sub(hot.At) >= spreadLifetime || hot.Homes <= b.hotParts.homes(hot.Part, now) {
		return
	}
	hot.Homes = min(hot.Homes, maxHomes)
	b.hotParts.parts.Add(hot.Part, hot)
	if len(b.pendingRumors.Hot) < b.maxPending(maxPendingLarge) {
		b.pendingRumors.Hot = append(b.pendingRumors.Hot, hot)
	}
}

// pickAmongHomes returns the engine for a part whose first one that fits is given, or any of
// the first that fit, as many as the part takes.
func (b *Balancer) pickAmongHomes(list []*replica, key uint64, fits func(*replica) bool, first *replica, bound float64, now time.Time) *replica {
	if !b.largeFleet || first == nil || b.disabled.Has(mechanism.Spread) {
		return first
	}
	b.addHotPart(HotPart{Part: key, Homes: b.requiredHomes(list, key, first, bound, now), At: now}, now)
	most := b.hotParts.homes(key, now)
	if most <= 1 {
		return first
	}
	homes := b.rankedHomes(list, key, fits, now)
	return homes[b.random.IntN(min(most, len(homes)))]
}

// requiredHomes returns how many homes a part takes by what those that come before the first
// one that fits have above the bound. Where a holder was found those before it are
// holders too.
func (b *Balancer) requiredHomes(list []*replica, key uint64, first *replica, bound float64, now time.Time) int {
	above := 0.0
	held := b.holders.holds(key, first.ID, now)
	for _, r := range list {
		before := homeRank(r, key) > homeRank(first, key) && (!held || b.holders.holds(key, r.ID, now))
		if before && !b.isSuspect(r, now) {
			above += max(b.load(r, now)-bound, 0)
		}
	}
	return 1 + int(above/(homeLoadShare*bound))
}

// rankedHomes returns the engines that fit in the order in which a part takes them: those
// that hold it, then by rank.
func (b *Balancer) rankedHomes(list []*replica, key uint64, fits func(*replica) bool, now time.Time) []*replica {
	var homes []*replica
	holds := make(map[*replica]bool)
	for _, r := range list {
		if fits(r) {
			homes = append(homes, r)
			holds[r] = b.holders.holds(key, r.ID, now)
		}
	}
	slices.SortFunc(homes, func(x, y *replica) int {
		switch {
		case holds[x] && !holds[y]:
			return -1
		case holds[y] && !holds[x]:
			return 1
		}
		return cmp.Compare(homeRank(y, key), homeRank(x, key))
	})
	return homes
}
