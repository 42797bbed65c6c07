package gossip

import (
	"net/netip"
	"time"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/steady"
)

// In a large fleet digests are sent in datagrams that need no answer. A proof must be
// dated from the time of the query for it, so a router that receives a digest which seems
// newer than its own knowledge queries the sender:
//
//	a sends b     its counts, and how new its knowledge seems
//	b queries a   if that is newer than its own
//	a answers b   how new it is
//
// Each router also queries a few partners per round, to detect that nobody knows anything
// newer. The next round makes up for a lost datagram.
const (
	// queryAllLimit is the largest fleet in which each router queries all its partners in
	// each round: few members are heard there, and each is to be heard twice a round.
	queryAllLimit = 32
	// queriesPerRound is how many partners a router of a larger fleet queries per round.
	queriesPerRound = 2
	// answerTimeout is how long an answer may take. Routers answer in some ms.
	answerTimeout = 2 * time.Second
	// maxNewsQueries bounds the open queries for news: two, since the first may be lost,
	// and no more, since many routers send the same news.
	maxNewsQueries = 2
	// queryRetry is the time after which a query for news counts as lost.
	queryRetry = 100 * time.Millisecond
)

// query is an unanswered query.
type query struct {
	address string
	at      time.Time
	// forNews is set if the queried router seems to know more, relayed if what it knows is
	// passed on.
	forNews, relayed bool
}

// nextQueried returns the first of a number of partners to query in this round, and how
// many to query. Each round continues where the last one stopped.
func (g *Gossip) nextQueried(partners int) (first, asks int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if partners == 0 {
		return 0, 0
	}
	asks = min(queriesPerRound, partners)
	if g.queriesAll() {
		asks = partners
	}
	first = g.queryOffset % partners
	g.queryOffset += asks
	return first, asks
}

// queriesAll reports whether all partners are queried in each round. g.mu is held.
func (g *Gossip) queriesAll() bool { return g.members.Len() <= queryAllLimit }

// addQuery records a query and returns its number.
func (g *Gossip) addQuery(q query) uint32 {
	g.mu.Lock()
	defer g.mu.Unlock()
	number := uint32(0)
	for number == 0 {
		g.lastQuery++
		number = g.firstQuery + g.lastQuery
	}
	g.queries[number] = q
	return number
}

// expireQueries forgets queries that were not answered in time.
func (g *Gossip) expireQueries(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for number, q := range g.queries {
		if now.Sub(q.at) > answerTimeout {
			delete(g.queries, number)
		}
	}
}

// seemsNewer reports whether a router's digest claims more than this router knows.
func (g *Gossip) seemsNewer(d *gossippb.Digest, now time.Time) bool {
	if d.ProofMs == nil {
		return false
	}
	proven := now.Add(-milliseconds(d.GetProofMs()))
	g.watcher.ObservePeerProof(time.Time{}, proven)
	return !g.holdersKnown.Load() || g.watcher.Behind(digestOf(d), proven)
}

// mayQuery reports whether a router may be queried for news in addition to the open
// queries.
func (g *Gossip) mayQuery(address string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	open := 0
	for _, q := range g.queries {
		if now.Sub(q.at) >= queryRetry {
			continue
		}
		if q.address == address {
			return false
		}
		if q.forNews {
			open++
		}
	}
	return open < maxNewsQueries
}

// maySayHello reports whether a router with an unknown data centre may be asked for it,
// which is once per round. A router without a data centre would otherwise be asked after
// each of its datagrams, and the query is a datagram too: two such routers queried each
// other as fast as the network allowed, using 0.17 to 0.32 of a core each.
func (g *Gossip) maySayHello(address string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	pause := largeRoundFactor * g.options.Period
	for other, at := range g.recentHellos {
		if now.Sub(at) >= pause {
			delete(g.recentHellos, other)
		}
	}
	if _, lately := g.recentHellos[address]; lately || len(g.recentHellos) >= maxRecentHellos {
		return false
	}
	g.recentHellos[address] = now
	return true
}

// maxRecentHellos bounds the routers that are sent a hello in a round, since senders may
// be forged.
const maxRecentHellos = 64

// sendQuery queries a router for the state of its knowledge, with a hello if it may not
// know this one.
func (g *Gossip) sendQuery(address string, hello, relayed bool, now time.Time) {
	d := &gossippb.Digest{AsksOnly: true, Ask: g.addQuery(query{address, now, true, relayed})}
	if hello {
		d.Hello, d.DataCentre = true, g.options.DataCentre
	}
	g.send(address, encodeDigest(d))
}

// handleAnswer handles the answer to a query of this router.
func (g *Gossip) handleAnswer(from netip.AddrPort, r *gossippb.Freshness, now time.Time) {
	g.mu.Lock()
	q, found := g.queries[r.Ask]
	foreign := found && !isAddress(q.address, from)
	if !foreign {
		delete(g.queries, r.Ask)
	}
	g.mu.Unlock()
	if foreign {
		g.rejectMessage(from.String(), errNotAsked)
	}
	if !found || foreign {
		return
	}
	newer := g.applyFreshness(q.address, r, q.at, now)
	switch {
	case newer && !g.fetching.Load():
		go func() {
			g.fetchKnowledge(g.ctx, q.address, r.ListRevision != 0)
			if q.relayed {
				g.relayProof(steady.Now())
			}
		}()
	case !newer && q.relayed:
		g.relayProof(now)
	}
}

// isAddress reports whether a text, which may be written in another way, is an address.
func isAddress(text string, address netip.AddrPort) bool {
	parsed, err := netip.ParseAddrPort(text)
	return err == nil && netip.AddrPortFrom(parsed.Addr().Unmap(), parsed.Port()) == address
}
