package main

import (
	"slices"
	"time"

	"github.com/croftyard/croftyard/pkg/placement"
)

// policy places requests.
type policy interface {
	start()
	route(*request)
	controlBytes() float64
}

// product is the policy that runs the product's packages; the others with this
// beginning leave one part of it out.
const (
	product    = "croftyard"
	noWait     = product + "-nowait"
	noHandover = product + "-nohandover"
)

func newPolicy(w *world) policy {
	switch w.spec.policy {
	case product, noWait, noHandover:
		return newCroftyard(w)
	}
	p := &simple{w: w}
	switch w.spec.policy {
	case "random":
		p.pick = p.random
	case "least":
		p.pick = p.least
	case "rendezvous":
		p.pick = p.rendezvous
	case "bounded":
		p.pick = p.bounded
	default:
		panic("no policy " + w.spec.policy)
	}
	return p
}

// version returns the newest list that a router sees. Each list reaches each
// router after a time of its own, up to viewLag.
func (w *world) version(router int) int {
	for v := len(w.lists) - 1; v > 0; v-- {
		lag := time.Duration(placement.Rank(uint64(v), uint64(router)) % uint64(viewLag))
		if w.now >= w.lists[v].at+lag {
			return v
		}
	}
	return 0
}

// simple is a policy that picks an engine by itself, from lagged reports.
type simple struct {
	w    *world
	pick func(r *request, engines []uint64, avoid []uint64) uint64
}

func (s *simple) start() {}

// controlBytes of the simple policies is not counted: reports come from the
// platform.
func (s *simple) controlBytes() float64 { return 0 }

func (s *simple) route(r *request) {
	engines := s.w.lists[s.w.version(r.router)].engines
	var avoid []uint64
	for range engines {
		hash := s.pick(r, engines, avoid)
		if e := s.w.byHash[hash]; !e.leaving && s.w.run(e, r, func() {}) {
			return
		}
		avoid = append(avoid, hash)
	}
	s.w.figures.refused++
}

func (s *simple) random(_ *request, engines, avoid []uint64) uint64 {
	for {
		hash := engines[s.w.rnd.IntN(len(engines))]
		if !slices.Contains(avoid, hash) {
			return hash
		}
	}
}

func (s *simple) least(r *request, engines, avoid []uint64) uint64 {
	var best uint64
	lowest, ties := -1, 0
	for _, hash := range engines {
		if slices.Contains(avoid, hash) {
			continue
		}
		load := s.w.report(s.w.byHash[hash], r.router)
		switch {
		case lowest < 0 || load < lowest:
			best, lowest, ties = hash, load, 1
		case load == lowest:
			ties++
			if s.w.rnd.IntN(ties) == 0 {
				best = hash
			}
		}
	}
	return best
}

func (s *simple) rendezvous(r *request, engines, avoid []uint64) uint64 {
	return s.highest(r, engines, func(hash uint64) bool { return !slices.Contains(avoid, hash) })
}

func (s *simple) highest(r *request, engines []uint64, allowed func(uint64) bool) uint64 {
	var best, bestRank uint64
	for _, hash := range engines {
		if rank := placement.Rank(r.chat.id, hash); rank >= bestRank && allowed(hash) {
			best, bestRank = hash, rank
		}
	}
	return best
}

// bounded takes the first engine in rendezvous order that is below c times the
// mean by its last report.
func (s *simple) bounded(r *request, engines, avoid []uint64) uint64 {
	sum := 0
	for _, hash := range engines {
		sum += s.w.report(s.w.byHash[hash], r.router)
	}
	limit := max(s.w.spec.bound*float64(sum)/float64(len(engines)), 1)
	best := s.highest(r, engines, func(hash uint64) bool {
		return !slices.Contains(avoid, hash) && float64(s.w.report(s.w.byHash[hash], r.router)) < limit
	})
	if best == 0 {
		return s.rendezvous(r, engines, avoid)
	}
	return best
}
