package gossip

import (
	"context"
	"slices"
	"time"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/pkg/poison"
)

const (
	// marksDelay is the delay between the first mark and its sending: all requests that a
	// crash aborted end within some milliseconds.
	marksDelay = 5 * time.Millisecond
	// maxHelloMarks bounds the requests whose marks a hello carries, so that it fits a
	// datagram. It carries none as long as no replica crashes. maxHelloParts is the same for
	// parts of prompts.
	maxHelloMarks = 64
	maxHelloParts = 32
)

// sendMarks sends marks against requests and parts to all partners, outside of the rounds:
// until all know them, each router sends a request that crashes replicas to one more.
func (g *Gossip) sendMarks(ctx context.Context, now time.Time) {
	marks, parts := encodeMarks(g.poison.TakePending(), now), encodeMarks(g.parts.TakePending(), now)
	if marks == nil && parts == nil {
		return
	}
	g.mu.Lock()
	large, partners := g.members.Large(), g.partners
	g.mu.Unlock()
	d := &gossippb.Digest{AsksOnly: true, Marks: marks, PartMarks: parts}
	if large {
		g.sendAll(partners, d)
		return
	}
	d.Sender = g.server.Address()
	g.mu.Lock()
	hello := digests{hello: g.hello(now)}
	g.mu.Unlock()
	for _, address := range partners.Line {
		g.startExchange(ctx, address, d, hello)
	}
}

// mergeMarks merges marks that another router sent.
func (g *Gossip) mergeMarks(m interface {
	GetMarks() *gossippb.Marks
	GetPartMarks() *gossippb.Marks
}, now time.Time) {
	marks, parts := decodeMarks(m.GetMarks(), now), decodeMarks(m.GetPartMarks(), now)
	if len(marks)+len(parts) == 0 {
		return
	}
	g.mu.Lock()
	large := g.members.Large()
	g.mu.Unlock()
	g.poison.Merge(marks, large, now)
	g.parts.Merge(parts, large, now)
}

// encodeMarks returns nil for no marks.
func encodeMarks(marks []poison.Mark, now time.Time) *gossippb.Marks {
	if len(marks) == 0 {
		return nil
	}
	m := &gossippb.Marks{}
	ofParts := slices.ContainsFunc(marks, func(mark poison.Mark) bool { return !mark.Served && mark.Organisation != 0 })
	for _, mark := range marks {
		digest, age := mark.Digest[:], uint32(max(now.Sub(mark.At).Milliseconds(), 0))
		if mark.Served {
			m.Served, m.ServedAgeMs = append(m.Served, digest), append(m.ServedAgeMs, age)
			continue
		}
		if ofParts {
			m.Organisation, m.Shared = append(m.Organisation, mark.Organisation), append(m.Shared, mark.Shared)
		}
		m.Crashed, m.Replica, m.CrashedAgeMs = append(m.Crashed, digest), append(m.Replica, mark.Replica), append(m.CrashedAgeMs, age)
	}
	return m
}

// decodeMarks decodes marks. It reads columns of unequal length up to the shortest, and
// skips digests of another size.
func decodeMarks(m *gossippb.Marks, now time.Time) []poison.Mark {
	var marks []poison.Mark
	add := func(digest []byte, ageMs uint32, mark poison.Mark) {
		if len(digest) == poison.DigestSize {
			mark.Digest, mark.At = poison.Digest(digest), now.Add(-milliseconds(ageMs))
			marks = append(marks, mark)
		}
	}
	for i := range min(len(m.GetCrashed()), len(m.GetReplica()), len(m.GetCrashedAgeMs())) {
		mark := poison.Mark{Replica: m.Replica[i]}
		if i < min(len(m.Organisation), len(m.Shared)) {
			mark.Organisation, mark.Shared = m.Organisation[i], m.Shared[i]
		}
		add(m.Crashed[i], m.CrashedAgeMs[i], mark)
	}
	for i := range min(len(m.GetServed()), len(m.GetServedAgeMs())) {
		add(m.Served[i], m.ServedAgeMs[i], poison.Mark{Served: true})
	}
	return marks
}
