package soak

import (
	"math/rand/v2"

	"github.com/croftyard/croftyard/test/builds"
)

// buildsOf returns which earlier commits a plan has programs of, beside the one that is
// judged.
func (p plan) buildsOf() []string {
	switch p.Extras {
	case extraBuilds:
		return []string{builds.Starts}
	case extraOldest:
		return []string{builds.Oldest}
	}
	return nil
}

// exchangeBuild replaces a router by one of another build as an upgrade does, or takes
// that back: it is stopped as planned, and the other one starts in its place.
func (s *soak) exchangeBuild(r *router, rnd *rand.Rand) {
	if !r.handling.TryLock() {
		return
	}
	defer r.handling.Unlock()
	s.stop(r, rnd, 0)
	r.program, r.other = r.other, r.program
	s.restart(r)
}
