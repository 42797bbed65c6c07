package balance

import (
	"cmp"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/croftyard/croftyard/pkg/mechanism"
)

// In a large fleet, routers learn late what others run. When one session draws a large
// part of all prompts, its home fills before any router hears of it. Then all routers
// pass over it and fill the next one. Requests that are shorter than the age of the
// counts have left the first home meanwhile, so it looks empty and is filled again.
//
// A router computes how many homes a part needs from how far its homes are above the
// bound. That number is remembered and sent to other routers: a router hardly sees two
// requests of one session in a second, and most would find the home that has just
// emptied.
//
// This costs more copies of the part, and keeps its homes within what users allow.
const (
	// homeLoadShare is the part of the bound that one more home takes: on average, half
	// of a home's bound is free.
	homeLoadShare = 0.5
	// maxHomes is the most homes that a part is spread over, since each of them has to
	// copy it.
	maxHomes = 8
	// spreadLifetime is how long a part stays spread once it was seen to need it: about
	// ten gossip rounds, so that the load of its homes is known before all requests
	// return to one.
	spreadLifetime = 6 * time.Second
	// maxHotParts is how many parts are remembered. A fleet has a handful at a time.
	maxHotParts = 1000
)

// HotPart is a part of prompts that is spread over several homes. At is when it was seen
// to need them, on the monotonic clock of the router that stores it.
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

// homes returns the number of homes over which a part is spread.
func (h *hotPartCache) homes(part uint64, now time.Time) int {
	hot, found := h.parts.Peek(part)
	if !found || now.Sub(hot.At) >= spreadLifetime {
		return 1
	}
	return hot.Homes
}

// addHotPart records how many homes a part needs. New information is queued for other
// routers. b.mu is held.
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

// pickAmongHomes returns the engine for a part: first, the first eligible one, or any of
// the first eligible ones, as many as the part needs.
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

// requiredHomes returns how many homes a part needs, by the load above the bound of the
// engines that rank before the first eligible one. If first is a holder, only holders
// before it count.
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

// rankedHomes returns the eligible engines in the order in which a part uses them:
// holders first, then by rank.
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
