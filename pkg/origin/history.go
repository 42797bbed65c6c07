package origin

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// History records which versions of each service served lately, and since when it knows them all.
// It is safe for concurrent use.
type History struct {
	mu       sync.Mutex
	services map[string]*served
}

// served are the versions of one service.
type served struct {
	versions map[string]period
	// knownSince is the time from which on every version that served is recorded.
	knownSince time.Time
	// coveredSince is the time before which versions may have been forgotten, here and in the store's
	// record, under a shorter lifetime.
	coveredSince time.Time
	// stale is set while the lists of replicas are too old to show every version.
	stale bool
	// observedAt is when the versions were observed last. unseen is set if others may have served
	// unobserved since the store's record was taken over last.
	observedAt time.Time
	unseen     bool
	// gapEnd is when the last time without observations by a current list ended; zero if there was none.
	gapEnd time.Time
	// seen is set once the versions were observed by a current list, lapsed once they were not for a
	// time after that.
	seen, lapsed bool
	// recalled is the record that was recalled last.
	recalled recordRead
	// confirmed maps the versions that serve and that the record in the store is known to name to
	// the generation of that record.
	confirmed map[string]uint64
}

// recordRead is the content of a service's record. A store that came back from a copy may give a
// revision twice.
type recordRead struct {
	generation, revision uint64
	versions             []string
}

func (r recordRead) equals(other Stored) bool {
	return r.revision > 0 && r.revision == other.Revision && r.generation == other.Generation && slices.Equal(r.versions, other.Versions)
}

// period is when a version served, as far as it was observed: one that is missing from an
// observation may have served until then.
type period struct {
	last    time.Time
	serving bool
}

// Served are the versions of a service that served within a stream's lifetime.
type Served struct {
	Service  string
	Versions []string
	// Serving are those of them that serve now.
	Serving []string
	// Complete: no other version served in that time. A router that started lately does not know
	// that by itself.
	Complete bool
	// Stale: the last list of replicas was not current, or the service was not observed lately.
	Stale bool
	// Lifetime is how long a stream may last.
	Lifetime time.Duration
}

// only returns the version at which every stream without a record began. A list that is not current
// may lack a version at which streams begin elsewhere.
func (s Served) only() (version string, known bool) {
	if !s.IsSingle() {
		return "", false
	}
	return s.Versions[0], true
}

// IsSingle reports whether it is known that a single version served.
func (s Served) IsSingle() bool { return s.Complete && !s.Stale && len(s.Versions) == 1 }

// NewHistory returns an empty history.
func NewHistory() *History { return &History{services: make(map[string]*served)} }

// MaxObservationGap is the longest time between two observations over which no version can join and leave
// unseen: lists of that age count as current.
const MaxObservationGap = 5 * time.Second

// beginning is the time from which on all versions are known if the store tells what served before.
var beginning time.Time

// Observe notes the versions that serve now by a list that is current or not, and forgets those
// that last served longer than a stream's lifetime ago. It reports whether a version was added.
func (h *History) Observe(service string, versions []string, current bool, now time.Time, lifetime time.Duration) (added bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(service, now)
	if current && (s.stale || now.Sub(s.observedAt) > MaxObservationGap) {
		// Versions may have joined and left meanwhile, and the record may have dropped some.
		s.knownSince, s.gapEnd, s.unseen, s.confirmed = now, now, true, nil
		s.lapsed = s.seen
	}
	s.seen = s.seen || current
	s.stale, s.observedAt = !current, now
	for version, p := range s.versions {
		if p.serving {
			p.last, p.serving = now, false
			s.versions[version] = p
		}
		if now.Sub(p.last) > lifetime {
			delete(s.versions, version)
		}
	}
	for _, version := range versions {
		_, known := s.versions[version]
		added = added || !known
		s.versions[version] = period{now, true}
	}
	maps.DeleteFunc(s.confirmed, func(version string, _ uint64) bool { return !s.versions[version].serving })
	return added
}

// lengthen notes that streams last longer from now on. Versions that last served longer ago than the
// lifetime before were forgotten.
func (h *History) lengthen(before time.Duration, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.services {
		s.coveredSince = later(s.coveredSince, now.Add(-before))
		s.knownSince = later(s.knownSince, s.coveredSince)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Recall adds the versions of a record that served before, up to now. They are all that did within the
// lifetime for which a record is kept. It reports false if the same record was recalled before and what
// served since was observed: one that cannot be written names versions that left long ago.
func (h *History) Recall(r Stored, now time.Time) (news bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(r.Service, now)
	s.knownSince = later(beginning, s.coveredSince)
	if !s.unseen && s.recalled.equals(r) {
		return false
	}
	s.recalled = recordRead{r.Generation, r.Revision, r.Versions}
	h.add(r.Service, r.Versions, now)
	s.unseen = false
	return true
}

// written notes records that this router wrote with a revision.
func (h *History) written(records []Stored, revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range records {
		if s := h.services[r.Service]; s != nil {
			s.recalled = recordRead{r.Generation, revision, r.Versions}
		}
	}
}

// Add adds versions that served before, up to now, among others.
func (h *History) Add(service string, versions []string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.add(service, versions, now)
}

// add adds versions that served before, up to now. h.mu must be held.
func (h *History) add(service string, versions []string, now time.Time) {
	s := h.service(service, now)
	for _, version := range versions {
		// What the record names is mostly what this router saw itself.
		if p, known := s.versions[version]; !known || s.unseen && !p.serving {
			s.versions[version] = period{last: now}
		}
	}
}

// GapEnd returns when the last time ended in which a service was not observed by a current list, zero if
// there was none.
func (h *History) GapEnd(service string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.services[service]; s != nil {
		return s.gapEnd
	}
	return time.Time{}
}

// hasLapsed reports whether a service was not observed for a time after it had been by a current list.
func (h *History) hasLapsed(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[service]
	return s != nil && s.lapsed
}

// service returns the versions of a service. h.mu must be held.
func (h *History) service(name string, now time.Time) *served {
	s := h.services[name]
	if s == nil {
		s = &served{versions: make(map[string]period), knownSince: now, observedAt: now, unseen: true}
		h.services[name] = s
	}
	return s
}

// Served returns the versions that served within a stream's lifetime, sorted.
func (h *History) Served(service string, now time.Time, lifetime time.Duration) Served {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := Served{Service: service, Lifetime: lifetime}
	s := h.services[service]
	if s == nil {
		return out
	}
	for version, p := range s.versions {
		out.Versions = append(out.Versions, version)
		if p.serving {
			out.Serving = append(out.Serving, version)
		}
	}
	slices.Sort(out.Versions)
	slices.Sort(out.Serving)
	out.Stale = s.stale || now.Sub(s.observedAt) > MaxObservationGap
	out.Complete = s.knownSince.Equal(beginning) || now.Sub(s.knownSince) >= lifetime
	return out
}
