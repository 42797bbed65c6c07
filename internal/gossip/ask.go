package gossip

import (
	"time"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
)

// In a large fleet nobody answers what is told. A proof must be dated from when it was
// asked for, so who is told of one that seems newer than its own asks:
//
//	a tells b       what it runs, and how new its knowledge seems
//	b asks a        if that is newer than its own
//	a answers b     how new it is
//
// So that it is noticed when nobody knows anything newer, each asks a few in each round
// as well. A datagram that is lost is made up for by the next round.
const (
	// queryAllLimit is up to how many routers each asks all its partners in each round: few
	// are heard there, and each is to be heard twice a round.
	queryAllLimit = 32
	// queriesPerRound is how many of its partners a router of a larger fleet asks.
	queriesPerRound = 2
	// answerTimeout is how long an answer may take to come. Routers answer in some ms.
	answerTimeout = 2 * time.Second
	// maxNewsQueries is how many questions for news may be open: a second one since the first
	// may be lost, no more since many routers tell of the same news.
	maxNewsQueries = 2
	// queryRetry is after how long a question for news is taken to be lost.
	queryRetry = 100 * time.Millisecond
)

// query is one that was not answered yet.
type query struct {
	address string
	at      time.Time
	// forNews: it was asked since the other one seems to know more.
	forNews bool
}

// nextQueried returns the first of a number of partners to be asked in this round, and how
// many are: others each time.
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

// queriesAll tells whether all partners are asked in each round. g.mu is held.
func (g *Gossip) queriesAll() bool { return g.members.Len() <= queryAllLimit }

// addQuery notes a question and returns its number.
func (g *Gossip) addQuery(q query) uint32 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastQuery = max(g.lastQuery+1, 1)
	g.queries[g.lastQuery] = q
	return g.lastQuery
}

// expireQueries forgets questions that were not answered in time.
func (g *Gossip) expireQueries(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for number, q := range g.queries {
		if now.Sub(q.at) > answerTimeout {
			delete(g.queries, number)
		}
	}
}

// seemsNewer tells whether a router seems to know more than this one, by its word.
func (g *Gossip) seemsNewer(d *gossippb.Digest, now time.Time) bool {
	if d.ProofMs == nil {
		return false
	}
	proven := now.Add(-milliseconds(d.GetProofMs()))
	g.watcher.ObservePeerProof(time.Time{}, proven)
	return !g.holdersKnown.Load() || g.watcher.Behind(digestOf(d), proven)
}

// mayQuery tells whether a router may be asked for news beside those that are asked now.
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

// maySayHello tells whether a router that has not said which data centre it is of may be
// asked for it: once in a round. One that has none to say would be asked with each datagram
// of its own, the question being one itself: two such routers asked each other as fast as
// the network went, for 0.17 to 0.32 of a core each.
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

// maxRecentHellos bounds the routers that are greeted in a round, forged senders among them.
const maxRecentHellos = 64

// sendQuery asks a router for what it knows. Who has not met it says hello.
func (g *Gossip) sendQuery(address string, hello bool, now time.Time) {
	d := &gossippb.Digest{AsksOnly: true, Ask: g.addQuery(query{address, now, true})}
	if hello {
		d.Hello, d.DataCentre = true, g.options.DataCentre
	}
	g.send(address, encodeDigest(d))
}

// handleAnswer takes the answer to a question of this router.
func (g *Gossip) handleAnswer(r *gossippb.Freshness, now time.Time) {
	g.mu.Lock()
	q, found := g.queries[r.Ask]
	delete(g.queries, r.Ask)
	g.mu.Unlock()
	if found && g.applyFreshness(q.address, r, q.at, now) && !g.fetching.Load() {
		go g.fetchKnowledge(g.ctx, q.address)
	}
}
