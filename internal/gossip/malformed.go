package gossip

import (
	"errors"
	"fmt"
	"slices"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/pkg/poison"
)

// rejectMessage counts and logs a message of another router that is ignored as a whole.
func (g *Gossip) rejectMessage(from string, reason error) { g.rejectMessages(from, 1, reason) }

// rejectMessages counts several messages of a router and logs one line for them.
func (g *Gossip) rejectMessages(from string, count int, reason error) {
	g.rejected.Add(uint64(count))
	g.log.Write(event.PeerUnreadable, event.F("peer", from), event.F("error", reason))
}

// RejectedMessages returns how many messages of other routers were not usable.
func (g *Gossip) RejectedMessages() uint64 { return g.rejected.Load() }

var (
	errNoMessage = fmt.Errorf("%w: none of the known messages", ErrMalformed)
	errNotAsked  = errors.New("gossip: answer of a router that was not asked")
	errNoMember  = errors.New("gossip: record of a stream from a router that is no member")
)

// checkAnswer returns an error if entries of an answer cannot be told apart. Every build since the oldest
// one that runs beside this one sends all columns of a group, so it is damaged then.
func checkAnswer(r *gossippb.Freshness) error {
	switch {
	case !sameLength(len(r.Member), len(r.HeardMs)):
		return columnsError("members")
	case !sameLength(len(r.Resting), len(r.RestLeftMs)):
		return columnsError("replicas at rest")
	case !sameLength(len(r.Brittle), len(r.BrittleRejections), len(r.BrittleLeftMs)):
		return columnsError("brittle services")
	}
	return checkMarks(r)
}

// checkMarks does the same for the marks of a digest or an answer.
func checkMarks(m interface {
	GetMarks() *gossippb.Marks
	GetPartMarks() *gossippb.Marks
}) error {
	for _, marks := range []*gossippb.Marks{m.GetMarks(), m.GetPartMarks()} {
		crashed, organisations := len(marks.GetCrashed()), len(marks.GetOrganisation())
		if !sameLength(crashed, len(marks.GetReplica()), len(marks.GetCrashedAgeMs())) || !sameLength(len(marks.GetServed()), len(marks.GetServedAgeMs())) ||
			!sameLength(organisations, len(marks.GetShared())) || organisations > 0 && organisations != crashed {
			return columnsError("marks")
		}
		if slices.ContainsFunc(slices.Concat(marks.GetCrashed(), marks.GetServed()), func(digest []byte) bool { return len(digest) != poison.DigestSize }) {
			return fmt.Errorf("%w: digest of another size", ErrMalformed)
		}
	}
	return nil
}

func columnsError(group string) error {
	return fmt.Errorf("%w: columns of %s differ in length", ErrMalformed, group)
}

func sameLength(first int, others ...int) bool {
	return !slices.ContainsFunc(others, func(n int) bool { return n != first })
}
