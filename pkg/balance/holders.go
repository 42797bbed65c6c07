package balance

import (
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxRememberedParts is how many parts of prompts a router remembers holders of.
	maxRememberedParts = 20000
	// maxHoldersPerPart is how many holders of a part are remembered: one per data
	// centre, and as many again that got diverted requests or have left.
	maxHoldersPerPart = 8
	// holderLifetime is how long an engine is assumed to hold a part that it has read.
	holderLifetime = 30 * time.Second
)

// holders remembers which engines hold a part of a prompt.
type holders struct {
	parts *lru.Cache[uint64, []holderEntry]
	// disabled: no holders are remembered, for experiments.
	disabled bool
}

type holderEntry struct {
	id string
	at time.Time
}

func newHolders() *holders {
	parts, err := lru.New[uint64, []holderEntry](maxRememberedParts)
	if err != nil {
		// The size is a constant above zero.
		panic(err)
	}
	return &holders{parts: parts}
}

// add puts an engine first in the list of a part's holders.
func (h *holders) add(key uint64, id string, now time.Time) {
	if h.disabled {
		return
	}
	list, _ := h.parts.Get(key)
	list = slices.DeleteFunc(list, func(x holderEntry) bool { return x.id == id })
	list = slices.Insert(list, 0, holderEntry{id, now})
	h.parts.Add(key, list[:min(len(list), maxHoldersPerPart)])
}

// removeReplica removes an engine from all lists.
func (h *holders) removeReplica(id string) {
	for _, key := range h.parts.Keys() {
		list, _ := h.parts.Peek(key)
		if !slices.ContainsFunc(list, func(x holderEntry) bool { return x.id == id }) {
			continue
		}
		// Others may still read the list that is replaced.
		left := slices.DeleteFunc(slices.Clone(list), func(x holderEntry) bool { return x.id == id })
		h.parts.Add(key, left)
	}
}

func (h *holders) holds(key uint64, id string, now time.Time) bool {
	list, _ := h.parts.Peek(key)
	return slices.ContainsFunc(list, func(x holderEntry) bool { return x.id == id && now.Sub(x.at) < holderLifetime })
}

// list returns the holders of a part, newest first.
func (h *holders) list(key uint64, now time.Time) []string {
	list, _ := h.parts.Peek(key)
	var ids []string
	for _, x := range list {
		if now.Sub(x.at) < holderLifetime {
			ids = append(ids, x.id)
		}
	}
	return ids
}

// holderRepeatTime is how long a known holder need not be announced to the other routers
// again.
const holderRepeatTime = 5 * time.Second

func (h *holders) heardRecently(key uint64, id string, now time.Time) bool {
	list, _ := h.parts.Peek(key)
	return slices.ContainsFunc(list, func(x holderEntry) bool { return x.id == id && now.Sub(x.at) < holderRepeatTime })
}
