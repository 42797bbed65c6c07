package poison

import (
	"encoding/binary"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PartTracker detects parts of prompts that crash replicas, in whatever requests they are:
// where no two requests are alike, the marks of a Tracker never add up.
//
//	NewPartDigest  identifies a part
//	RecordCrash    a replica crashed as it began to answer a prompt: one mark against each
//	               of its parts
//	RecordSuccess  an answer got beyond its beginning: clears the marks of the prompt's parts
//	Check          reports whether a prompt may be sent
//
// A harmless part collects marks too: one that all prompts have is in those with the harmful one
// as well. These rules separate them.
//
//   - Of the parts of one prompt, those that were answered more recently than another one get a
//     mark of a quarter of the weight: what was never answered is the likeliest cause.
//   - A part that was answered lately needs answeredFactor times as many crashes.
//   - A crash in which a part ran that is held, or more strongly suspected, says nothing about
//     prompts without that part.
//   - The crashes of one organisation's prompts hold a part for that organisation only, so
//     that no organisation can have others' parts refused. Crashes of two organisations hold it for
//     all.
type PartTracker struct {
	*Tracker
	onHeld func(part Digest, crashes int, hold time.Duration)
}

const (
	// partAnsweredWindow is answeredWindow for parts. A part in wide use is answered many times
	// a second, and one that is no longer answered is held after that time.
	partAnsweredWindow = 5 * time.Second
	// partSettleTime is how long after a part becomes held prompts with it may still crash the
	// replicas that run them. Such crashes don't extend the hold.
	partSettleTime = 10 * time.Second
	// maxExplaining bounds the held parts that a check looks through, the latest first.
	maxExplaining = 64
	// MaxParts is how many parts of one prompt are tracked, the first ones.
	MaxParts = 32
)

// NewPartTracker returns an empty PartTracker. OnHeld is called when a prompt is refused for a
// part for the first time.
func NewPartTracker(o Options) *PartTracker {
	p := &PartTracker{onHeld: o.OnHeld}
	o.OnHeld = nil
	p.Tracker = newTracker(o, policy{answeredWindow: partAnsweredWindow, settleTime: partSettleTime, reportsOnCheck: true})
	return p
}

// NewPartDigest returns the digest of a part of prompts at a service. Parts are identified by
// their content, so the id is the same for all who send them.
func NewPartDigest(service string, part uint64) Digest {
	var d Digest
	binary.BigEndian.PutUint64(d[:], xxhash.Sum64String(service))
	binary.BigEndian.PutUint64(d[DigestSize/2:], part)
	return d
}

// PartName returns the id of the part that a digest of NewPartDigest identifies, as logs show it.
func (d Digest) PartName() string {
	return strconv.FormatUint(binary.BigEndian.Uint64(d[DigestSize/2:]), 16)
}

// OrganisationHash identifies an organisation in the marks of parts. It is never 0.
func OrganisationHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) | 1 }

// RecordCrash records that a replica crashed at a time as it began to answer a prompt of an
// organisation.
func (p *PartTracker) RecordCrash(parts []Digest, organisation, replica uint32, at, now time.Time) {
	marks := make([]Mark, len(parts))
	answers := p.lastAnswers(parts, now)
	for i, part := range parts {
		shared := answers[i].After(slices.MinFunc(answers, time.Time.Compare))
		marks[i] = Mark{Digest: part, Replica: replica, Organisation: organisation, Shared: shared, At: at}
	}
	p.applyMarks(marks, true, true, now)
}

// lastAnswers returns when this router last saw prompts with each part answered, zero for long
// ago or never.
func (p *PartTracker) lastAnswers(parts []Digest, now time.Time) []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	answers := make([]time.Time, len(parts))
	for i, part := range parts {
		if at, known := p.answered.Peek(part); known && now.Sub(at) <= answeredWindow {
			answers[i] = at
		}
	}
	return answers
}

// RecordSuccess records that the answer to a prompt got beyond its beginning.
func (p *PartTracker) RecordSuccess(parts []Digest, now time.Time) {
	for _, part := range parts {
		p.Tracker.RecordSuccess(part, now)
	}
}

// PartVerdict says whether a prompt may be sent: Allowed, Held or Trial.
type PartVerdict struct {
	Verdict
	// Part is the one that the prompt is held for.
	Part Digest
}

// Check reports whether a prompt of an organisation may be sent now.
func (p *PartTracker) Check(parts []Digest, organisation uint32, now time.Time) PartVerdict {
	p.mu.Lock()
	verdict, s := p.check(parts, organisation, now)
	isNew := s != nil && !s.reported
	if isNew {
		s.reported = true
	}
	p.mu.Unlock()
	if isNew && p.onHeld != nil {
		p.onHeld(verdict.Part, verdict.Crashes, verdict.RetryAfter)
	}
	return verdict
}

// check returns the verdict, and the record of the part that a prompt is held for. The caller
// holds p.mu.
func (p *PartTracker) check(parts []Digest, organisation uint32, now time.Time) (worst PartVerdict, held *suspect) {
	// The last parts first: the fewest prompts have them.
	for _, part := range slices.Backward(parts) {
		s := p.find(part)
		if s == nil || p.limits.Crashes == 0 {
			continue
		}
		s.dropExpired(now)
		limit := crashWeight * p.crashLimit(s, now)
		if weightOf(s.crashes) < limit {
			continue
		}
		// The limit may have fallen since the last crash.
		p.updateHeld(part, now)
		if !s.concerns(organisation) || !s.reported && p.unexplained(part, s, parts) < limit {
			continue
		}
		v := PartVerdict{Verdict{State: Held, Crashes: len(s.crashes), RetryAfter: p.heldUntil(s, now).Sub(now)}, part}
		if v.RetryAfter > 0 {
			return v, s
		}
		v.State = Trial
		worst = v
	}
	return worst, nil
}

// concerns reports whether the crashes count for an organisation: it had some of them itself,
// or several others had them.
func (s *suspect) concerns(organisation uint32) bool {
	for _, c := range s.crashes {
		if c.organisation == organisation || c.organisation != s.crashes[0].organisation {
			return true
		}
	}
	return false
}

// unexplained returns the weight of the crashes of a part that no other part, which the prompt does
// not have, explains. The caller holds p.mu.
func (p *PartTracker) unexplained(part Digest, s *suspect, prompt []Digest) int {
	held := p.held.Keys()
	held = held[max(len(held)-maxExplaining, 0):]
	remaining := slices.Clone(s.crashes)
	for _, d := range held {
		other, _ := p.held.Peek(d)
		if slices.Contains(prompt, d) || !p.isStronger(d, other, part, s) {
			continue
		}
		remaining = slices.DeleteFunc(remaining, func(c crash) bool { return slices.ContainsFunc(other.crashes, c.isSame) })
	}
	return weightOf(remaining)
}

// isStronger reports whether one part is a better explanation of common crashes than a second one
// for which no prompt was refused yet. Of two that are alike each explains the other, so that
// prompts with one of them show which it is, until that has cost twice the limit.
func (p *PartTracker) isStronger(a Digest, first *suspect, b Digest, second *suspect) bool {
	strength, other := weightOf(first.crashes), weightOf(second.crashes)
	switch {
	case first.reported:
		return true
	case strength != other:
		return strength > other
	case other < 2*crashWeight*p.limits.Crashes:
		return true
	}
	return slices.Compare(a[:], b[:]) < 0
}
