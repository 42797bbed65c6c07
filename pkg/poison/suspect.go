package poison

import (
	"slices"
	"time"
)

// suspect is a request, or a part of prompts, with marks.
type suspect struct {
	crashes []crash
	// cleared are crashes that an answer cleared; their marks may arrive again.
	cleared []crash
	// answeredAt is when the request was last answered in full.
	answeredAt time.Time
	// lastTrial is when the request was last tried while held, trials how often it was.
	lastTrial time.Time
	trials    int
	// running tells that an exclusive run from this router is in progress.
	running bool
	// reported is set from the call of OnHeld until the next answer.
	reported bool
	// heldSince is when it became held.
	heldSince time.Time
}

// crash is the crash of one replica.
type crash struct {
	replica      uint32
	organisation uint32
	shared       bool
	at           time.Time
	// restored is set if the crash is from a record: it was at this time or earlier.
	restored bool
}

// crashWeight is the weight of a crash, that of a shared one is 1.
const crashWeight = 4

// weightOf returns the weight of some crashes.
func weightOf(crashes []crash) int {
	weight := 0
	for _, c := range crashes {
		if c.shared {
			weight++
			continue
		}
		weight += crashWeight
	}
	return weight
}

// isSame reports whether two marks are of the same crash.
func (c crash) isSame(other crash) bool {
	switch {
	case c.replica != other.replica:
		return false
	case c.restored && !other.restored:
		return other.at.Sub(c.at) < crashWindow
	case other.restored && !c.restored:
		return c.at.Sub(other.at) < crashWindow
	}
	return c.at.Sub(other.at).Abs() < crashWindow
}

// addAnswer records an answer and tells whether it was new.
func (s *suspect) addAnswer(at time.Time) bool {
	var remaining, cleared []crash
	for _, c := range s.crashes {
		if c.at.After(at) {
			remaining = append(remaining, c)
		} else {
			cleared = append(cleared, c)
		}
	}
	// The same answer arrives over several paths, each time slightly later: one that clears
	// no crash within answerWindow is already known.
	if len(cleared) == 0 && at.Sub(s.answeredAt) < answerWindow {
		return false
	}
	s.crashes, s.cleared = remaining, append(s.cleared, cleared...)
	s.cleared = s.cleared[max(len(s.cleared)-maxCrashes, 0):]
	s.answeredAt, s.trials, s.lastTrial = at, 0, time.Time{}
	return true
}

// addCrash records a crash and tells whether it was new.
func (s *suspect) addCrash(c crash) bool {
	if !c.at.After(s.answeredAt) {
		return false
	}
	if i := slices.IndexFunc(s.crashes, c.isSame); i >= 0 {
		if s.crashes[i].restored && !c.restored {
			c.shared = c.shared || s.crashes[i].shared
			s.crashes[i] = c
			return true
		}
		// Of several prompts with the part that one crash hit, the one with a likelier cause counts.
		changed := c.shared && !s.crashes[i].shared
		s.crashes[i].shared = s.crashes[i].shared || c.shared
		return changed
	}
	if slices.ContainsFunc(s.cleared, c.isSame) {
		return false
	}
	if len(s.crashes) >= maxCrashes {
		return false
	}
	s.crashes = append(s.crashes, c)
	return true
}
