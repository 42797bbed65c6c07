package balance

import (
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxParts is how many parts of prompts a router remembers holders of.
	maxParts = 20000
	// maxHolders is how many holders of a part are remembered: one a data centre, and
	// as many that requests were diverted to or that left.
	maxHolders = 8
	// holderLife is how long an engine is taken to hold what it once read.
	holderLife = 30 * time.Second
)

// holders remembers which engines were seen to hold a part of a prompt.
type holders struct {
	parts *lru.Cache[uint64, []holding]
	// off: nothing is remembered, for experiments.
	off bool
}

type holding struct {
	id string
	at time.Time
}

func newHolders() *holders {
	parts, err := lru.New[uint64, []holding](maxParts)
	if err != nil {
		// The size is a constant above zero.
		panic(err)
	}
	return &holders{parts: parts}
}

// note puts an engine first in the list of a part's holders.
func (h *holders) note(key uint64, id string, now time.Time) {
	if h.off {
		return
	}
	list, _ := h.parts.Get(key)
	list = slices.DeleteFunc(list, func(x holding) bool { return x.id == id })
	list = slices.Insert(list, 0, holding{id, now})
	h.parts.Add(key, list[:min(len(list), maxHolders)])
}

// forget drops an engine from all lists.
func (h *holders) forget(id string) {
	for _, key := range h.parts.Keys() {
		list, _ := h.parts.Peek(key)
		if !slices.ContainsFunc(list, func(x holding) bool { return x.id == id }) {
			continue
		}
		// Others may still read the list that is replaced.
		left := slices.DeleteFunc(slices.Clone(list), func(x holding) bool { return x.id == id })
		h.parts.Add(key, left)
	}
}

func (h *holders) holds(key uint64, id string, now time.Time) bool {
	list, _ := h.parts.Peek(key)
	return slices.ContainsFunc(list, func(x holding) bool { return x.id == id && now.Sub(x.at) < holderLife })
}

// list returns the holders of a part, the newest first.
func (h *holders) list(key uint64, now time.Time) []string {
	list, _ := h.parts.Peek(key)
	var ids []string
	for _, x := range list {
		if now.Sub(x.at) < holderLife {
			ids = append(ids, x.id)
		}
	}
	return ids
}

// freshLife is how long a note is not worth telling the other routers again.
const freshLife = 5 * time.Second

func (h *holders) holdsFresh(key uint64, id string, now time.Time) bool {
	list, _ := h.parts.Peek(key)
	return slices.ContainsFunc(list, func(x holding) bool { return x.id == id && now.Sub(x.at) < freshLife })
}
