package origin

import (
	"maps"
	"slices"
)

// A version begins to serve before the record names it. If all routers ended in between and the
// version was gone when they return, its streams would be taken for those of a recorded one.
// Streams that may be taken up therefore begin at versions that the record is known to name, while
// these have room:
//
//	a router reads or writes the record   the versions in it that serve are confirmed
//	another router has them confirmed     the same, as of its answer
//	a version stops serving               it is not confirmed any more, as the record may drop it
//	the store comes back from a copy      none is

// SetConfirmed replaces the confirmed versions of a service by those of a record of a generation
// that was read or written.
func (t *Tracker) SetConfirmed(service string, versions []string, generation uint64) {
	t.history.confirm(service, versions, generation, true)
}

// Confirm adds versions of a service that a record of a generation names.
func (t *Tracker) Confirm(service string, versions []string, generation uint64) {
	t.history.confirm(service, versions, generation, false)
}

// DropConfirmed drops the confirmed versions of generations before the given one.
func (t *Tracker) DropConfirmed(generation uint64) {
	t.history.dropConfirmed(func(of uint64) bool { return of < generation })
}

// ResetConfirmed drops all confirmed versions.
func (t *Tracker) ResetConfirmed() { t.history.dropConfirmed(func(uint64) bool { return true }) }

// Confirmed returns the versions of a service that serve and that the record is known to name,
// sorted.
func (t *Tracker) Confirmed(service string) []string {
	versions, _ := t.history.confirmed(service)
	return versions
}

// ConfirmedSince returns the same, and the earliest generation of the records that name them.
func (t *Tracker) ConfirmedSince(service string) (versions []string, generation uint64) {
	return t.history.confirmed(service)
}

// Unconfirmed returns the versions of a service that serve and that the record is not known to
// name, sorted.
func (t *Tracker) Unconfirmed(service string) []string { return t.history.unconfirmed(service) }

func (h *History) confirm(service string, versions []string, generation uint64, replace bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[service]
	if s == nil {
		return
	}
	if replace || s.confirmed == nil {
		s.confirmed = make(map[string]uint64)
	}
	for _, version := range versions {
		if s.versions[version].serving {
			s.confirmed[version] = max(s.confirmed[version], generation)
		}
	}
}

func (h *History) dropConfirmed(drop func(generation uint64) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.services {
		maps.DeleteFunc(s.confirmed, func(_ string, generation uint64) bool { return drop(generation) })
	}
}

func (h *History) confirmed(service string) (versions []string, generation uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[service]
	if s == nil {
		return nil, 0
	}
	for version, of := range s.confirmed {
		if len(versions) == 0 || of < generation {
			generation = of
		}
		versions = append(versions, version)
	}
	slices.Sort(versions)
	return versions, generation
}

func (h *History) unconfirmed(service string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[service]
	if s == nil {
		return nil
	}
	var versions []string
	for version, p := range s.versions {
		if _, confirmed := s.confirmed[version]; p.serving && !confirmed {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return versions
}
