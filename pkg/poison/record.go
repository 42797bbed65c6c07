package poison

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Marks are lost with the routers that keep them. One small record in a store outlives them:
//
//	Held     what is held now           -> the record
//	Restore  the record, after a start  -> what is held
//	Keeper   when the record is read and written, and by which router
//
// The record states ages, since the clocks of two machines are not comparable. How old it is when it
// is read is unknown, so restored crashes count as if it had been written just then: what is held
// stays so for its hold, and for markLifetime, from the read on.

// ErrRecord: the record is none that a router wrote.
var ErrRecord = errors.New("poison: record of what is held is not usable")

const (
	// MaxHeldRequests and MaxHeldParts bound what a record holds, the latest first.
	MaxHeldRequests = 64
	MaxHeldParts    = 32
	// maxRecordBytes bounds the record that is decoded, far above what routers write.
	maxRecordBytes = 256 << 10
)

// HeldMarks is a held request or part, with the crashes that hold it, the oldest first.
type HeldMarks struct {
	Digest  Digest
	Crashes []HeldCrash
}

// HeldCrash is the crash of one replica.
type HeldCrash struct {
	// Replica, Organisation and Shared are those of the Mark.
	Replica, Organisation uint32
	Shared                bool
	// Age is how long before the record the replica crashed.
	Age time.Duration
}

// Record is what was held, and which services were brittle, at some time.
type Record struct {
	Requests, Parts []HeldMarks
	Brittle         Brittle
	// Revision is the record's revision, 0 if there is none.
	Revision uint64
}

// Len returns how many requests and parts are held.
func (r Record) Len() int { return len(r.Requests) + len(r.Parts) }

// heldValue and crashValue are the form of a record in the store.
type heldValue struct {
	Digest  string       `json:"digest"`
	Crashes []crashValue `json:"crashes"`
}

type crashValue struct {
	Replica      uint32 `json:"replica"`
	Organisation uint32 `json:"organisation,omitempty"`
	Shared       bool   `json:"shared,omitempty"`
	AgeMS        int64  `json:"age_ms"`
}

type recordValue struct {
	Requests []heldValue `json:"requests"`
	Parts    []heldValue `json:"parts"`
	// Records of earlier builds lack these.
	Brittle []BrittleService `json:"brittle,omitempty"`
	Routers int              `json:"routers,omitempty"`
}

// Value returns the value of the record in the store.
func (r Record) Value() []byte {
	// Texts and numbers can always be encoded.
	value, _ := json.Marshal(recordValue{encodeHeld(r.Requests), encodeHeld(r.Parts), r.Brittle.Services, r.Brittle.Routers})
	return value
}

func encodeHeld(list []HeldMarks) []heldValue {
	values := make([]heldValue, 0, len(list))
	for _, h := range list {
		v := heldValue{Digest: h.Digest.String()}
		for _, c := range h.Crashes {
			v.Crashes = append(v.Crashes, crashValue{c.Replica, c.Organisation, c.Shared, c.Age.Milliseconds()})
		}
		values = append(values, v)
	}
	return values
}

// ReadRecord decodes a value of the store. Of one that is not usable it returns nothing but the
// revision, and ErrRecord.
func ReadRecord(value []byte, revision uint64) (Record, error) {
	none := Record{Revision: revision}
	if len(value) > maxRecordBytes {
		return none, fmt.Errorf("%w: %d bytes, %d allowed", ErrRecord, len(value), maxRecordBytes)
	}
	var read recordValue
	if err := json.Unmarshal(value, &read); err != nil {
		return none, fmt.Errorf("%w: %w", ErrRecord, err)
	}
	requests, err := decodeHeld(read.Requests, MaxHeldRequests)
	if err != nil {
		return none, err
	}
	parts, err := decodeHeld(read.Parts, MaxHeldParts)
	if err != nil {
		return none, err
	}
	brittle := Brittle{read.Brittle, read.Routers}
	if err := brittle.check(); err != nil {
		return none, err
	}
	return Record{requests, parts, brittle, revision}, nil
}

// decodeHeld decodes all of a list, or nothing.
func decodeHeld(values []heldValue, most int) ([]HeldMarks, error) {
	if len(values) > most {
		return nil, fmt.Errorf("%w: %d digests, %d allowed", ErrRecord, len(values), most)
	}
	var list []HeldMarks
	for _, v := range values {
		digest, err := hex.DecodeString(v.Digest)
		if err != nil || len(digest) != DigestSize {
			return nil, fmt.Errorf("%w: digest of %d characters, %d hex ones expected", ErrRecord, len(v.Digest), 2*DigestSize)
		}
		if len(v.Crashes) == 0 || len(v.Crashes) > maxCrashes {
			return nil, fmt.Errorf("%w: %d crashes, 1 to %d allowed", ErrRecord, len(v.Crashes), maxCrashes)
		}
		h := HeldMarks{Digest: Digest(digest)}
		for _, c := range v.Crashes {
			if c.AgeMS < 0 || c.AgeMS > markLifetime.Milliseconds() {
				return nil, fmt.Errorf("%w: age of %d ms", ErrRecord, c.AgeMS)
			}
			h.Crashes = append(h.Crashes, HeldCrash{c.Replica, c.Organisation, c.Shared, time.Duration(c.AgeMS) * time.Millisecond})
		}
		list = append(list, h)
	}
	return list, nil
}

// Held returns what is held, the latest first and at most so many.
func (m *Tracker) Held(most int, now time.Time) []HeldMarks {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.limits.Crashes == 0 {
		return nil
	}
	var list []HeldMarks
	for _, d := range m.held.Keys() {
		s, _ := m.held.Peek(d)
		if crashes := m.heldCrashes(s, now); weightOf(crashes) >= crashWeight*m.limits.Crashes {
			list = append(list, HeldMarks{d, agesOf(crashes, now)})
		}
	}
	slices.SortFunc(list, func(a, b HeldMarks) int {
		if c := a.lastAge() - b.lastAge(); c != 0 {
			return int(c)
		}
		return slices.Compare(a.Digest[:], b.Digest[:])
	})
	return list[:min(len(list), most)]
}

// lastAge returns the age of the last crash.
func (h HeldMarks) lastAge() time.Duration { return h.Crashes[len(h.Crashes)-1].Age }

// heldCrashes returns the last crashes of a suspect, the oldest first: as many as hold a part even if
// all of them are shared. If several organisations had them, so it is with those returned. The caller
// holds m.mu.
func (m *Tracker) heldCrashes(s *suspect, now time.Time) []crash {
	crashes := slices.DeleteFunc(slices.Clone(s.crashes), func(c crash) bool { return now.Sub(c.at) > markLifetime })
	slices.SortStableFunc(crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	over := max(len(crashes)-crashWeight*m.limits.Crashes, 0)
	dropped, kept := crashes[:over], crashes[over:]
	if len(kept) == 0 || (&suspect{crashes: kept}).isOfSeveral() {
		return kept
	}
	for _, c := range slices.Backward(dropped) {
		if c.organisation != kept[0].organisation {
			kept[0] = c
			break
		}
	}
	return kept
}

// isOfSeveral reports whether several organisations had the crashes.
func (s *suspect) isOfSeveral() bool {
	return slices.ContainsFunc(s.crashes, func(c crash) bool { return c.organisation != s.crashes[0].organisation })
}

func agesOf(crashes []crash, now time.Time) []HeldCrash {
	var list []HeldCrash
	for _, c := range crashes {
		list = append(list, HeldCrash{c.replica, c.organisation, c.shared, max(now.Sub(c.at), 0)})
	}
	return list
}

// Restore applies what a record holds, and returns how much of it is held because of that. What was
// answered since, or is held anyway, stays as it is.
func (m *Tracker) Restore(list []HeldMarks, now time.Time) (held int) {
	var callbacks []func()
	m.mu.Lock()
	for _, h := range list {
		if m.limits.Crashes == 0 || m.held.Contains(h.Digest) || m.answered.Contains(h.Digest) {
			continue
		}
		s := m.find(h.Digest)
		if s == nil {
			s = &suspect{}
			m.suspects.Add(h.Digest, s)
		}
		if !s.answeredAt.IsZero() {
			continue
		}
		for _, c := range h.Crashes {
			s.addCrash(crash{c.Replica, c.Organisation, c.Shared, now.Add(-c.Age), true})
		}
		if callback := m.updateHeld(h.Digest, now); callback != nil {
			callbacks = append(callbacks, callback)
		}
		if m.held.Contains(h.Digest) {
			s.heldSince = s.reached(crashWeight * m.limits.Crashes)
			held++
		}
	}
	m.mu.Unlock()
	for _, callback := range callbacks {
		callback()
	}
	return held
}

// reached returns when the crashes reached a weight, which they have.
func (s *suspect) reached(weight int) time.Time {
	crashes := slices.SortedStableFunc(slices.Values(s.crashes), func(a, b crash) int { return a.at.Compare(b.at) })
	for n := range crashes {
		if weightOf(crashes[:n+1]) >= weight {
			return crashes[n].at
		}
	}
	return crashes[len(crashes)-1].at
}

// AnyMayTry reports whether a request whose hold is over may be tried by a router that does not own its
// trials. Others don't know restored crashes by this router, so its owner may have none.
func (m *Tracker) AnyMayTry(d Digest, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.find(d)
	if s == nil || slices.ContainsFunc(s.crashes, func(c crash) bool { return !c.restored }) {
		return false
	}
	return now.Sub(m.heldUntil(s, now)) >= m.limits.Hold
}
