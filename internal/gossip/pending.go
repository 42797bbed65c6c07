package gossip

import (
	"sync"
	"time"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/pkg/origin"
)

// Records of streams are taken from members, since the first record of a stream holds. Routers that
// have just started are met by others, and meet others, some time after the first records are sent. Those
// of a sender that is not known yet are kept until it is:
//
//	the sender gets known           its records are merged
//	it is not in pendingOriginTime  they are ignored and counted

const (
	// pendingOriginTime is how long records of an unknown sender are kept: in a large fleet routers
	// meet over several hellos.
	pendingOriginTime = 20 * time.Second
	// maxPendingOrigins bounds the records that are kept.
	maxPendingOrigins = 8192
)

// pendingOrigins are records of streams whose senders are not known. It is safe for concurrent use.
type pendingOrigins struct {
	mu      sync.Mutex
	senders map[string]*pendingSender
	records int
}

// pendingSender is an unknown router that has sent records, first at since.
type pendingSender struct {
	since   time.Time
	records []origin.Record
}

// add keeps a record, and reports whether there was room for it.
func (p *pendingOrigins) add(from string, r origin.Record, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.records >= maxPendingOrigins {
		return false
	}
	if p.senders == nil {
		p.senders = make(map[string]*pendingSender)
	}
	s := p.senders[from]
	if s == nil {
		s = &pendingSender{since: now}
		p.senders[from] = s
	}
	s.records = append(s.records, r)
	p.records++
	return true
}

// take removes and returns the records of senders that are known, and the senders, with the number of
// their records, that were not known in time.
func (p *pendingOrigins) take(known func(address string) bool, now time.Time) (records []origin.Record, ignored map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, s := range p.senders {
		switch {
		case known(address):
			records = append(records, s.records...)
		case now.Sub(s.since) >= pendingOriginTime:
			if ignored == nil {
				ignored = make(map[string]int)
			}
			ignored[address] = len(s.records)
		default:
			continue
		}
		p.records -= len(s.records)
		delete(p.senders, address)
	}
	return records, ignored
}

// mergeOrigin records what another router sent of a stream, once that router is known.
func (g *Gossip) mergeOrigin(from string, o *gossippb.StreamOrigin, now time.Time) {
	if len(o.Version) > maxVersionLength {
		return
	}
	r := origin.Record{Key: origin.Key(o.Stream), Version: o.Version}
	switch {
	case g.knows(from):
		g.options.Origins.Record(r.Key, r.Version, true, now)
	case !g.pendingOrigins.add(from, r, now):
		g.rejectMessage(from, errNoMember)
	}
}

// mergePendingOrigins records what routers sent that are known since.
func (g *Gossip) mergePendingOrigins(now time.Time) {
	records, ignored := g.pendingOrigins.take(g.knows, now)
	for _, r := range records {
		g.options.Origins.Record(r.Key, r.Version, true, now)
	}
	for address, count := range ignored {
		g.rejectMessages(address, count, errNoMember)
	}
}

func (g *Gossip) knows(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Knows(address)
}
