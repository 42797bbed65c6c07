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
	// askAll is up to how many routers each asks all its partners in each round: few
	// are heard there, and each is to be heard twice a round.
	askAll = 32
	// asksARound is how many of its partners a router of a larger fleet asks.
	asksARound = 2
	// answerTime is how long an answer may take to come. Routers answer in some ms.
	answerTime = 2 * time.Second
	// maxAsked is how many questions for news may be open: a second one since the first
	// may be lost, no more since many routers tell of the same news.
	maxAsked = 2
	// askAgain is after how long a question for news is taken to be lost.
	askAgain = 100 * time.Millisecond
)

// question is one that was not answered yet.
type question struct {
	address string
	at      time.Time
	// news: it was asked since the other one seems to know more.
	news bool
}

// turn returns the first of a number of partners to be asked in this round, and how
// many are: others each time.
func (g *Gossip) turn(partners int) (first, asks int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if partners == 0 {
		return 0, 0
	}
	asks = min(asksARound, partners)
	if g.asksAll() {
		asks = partners
	}
	first = g.turns % partners
	g.turns += asks
	return first, asks
}

// asksAll tells whether all partners are asked in each round. g.mu is held.
func (g *Gossip) asksAll() bool { return g.members.Len() <= askAll }

// noteQuestion notes a question and returns its number.
func (g *Gossip) noteQuestion(q question) uint32 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastQuestion = max(g.lastQuestion+1, 1)
	g.questions[g.lastQuestion] = q
	return g.lastQuestion
}

// dropQuestions forgets questions that were not answered in time.
func (g *Gossip) dropQuestions(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for number, q := range g.questions {
		if now.Sub(q.at) > answerTime {
			delete(g.questions, number)
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
	return !g.recalled.Load() || g.watcher.Behind(wordOf(d), proven)
}

// mayAsk tells whether a router may be asked for news beside those that are asked now.
func (g *Gossip) mayAsk(address string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	open := 0
	for _, q := range g.questions {
		if now.Sub(q.at) >= askAgain {
			continue
		}
		if q.address == address {
			return false
		}
		if q.news {
			open++
		}
	}
	return open < maxAsked
}

// mayGreet tells whether a router that has not said which data centre it is of may be
// asked for it: once in a round. One that has none to say would be asked with each datagram
// of its own, the question being one itself: two such routers asked each other as fast as
// the network went, for 0.17 to 0.32 of a core each.
func (g *Gossip) mayGreet(address string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	pause := largeRounds * g.options.Period
	for other, at := range g.greeted {
		if now.Sub(at) >= pause {
			delete(g.greeted, other)
		}
	}
	if _, lately := g.greeted[address]; lately || len(g.greeted) >= maxGreeted {
		return false
	}
	g.greeted[address] = now
	return true
}

// maxGreeted bounds the routers that are greeted in a round, forged senders among them.
const maxGreeted = 64

// ask asks a router for what it knows. Who has not met it says hello.
func (g *Gossip) ask(address string, hello bool, now time.Time) {
	d := &gossippb.Digest{AsksOnly: true, Ask: g.noteQuestion(question{address, now, true})}
	if hello {
		d.Hello, d.DataCentre = true, g.options.DataCentre
	}
	g.send(address, encodeDigest(d))
}

// takeAnswer takes the answer to a question of this router.
func (g *Gossip) takeAnswer(r *gossippb.Freshness, now time.Time) {
	g.mu.Lock()
	q, found := g.questions[r.Ask]
	delete(g.questions, r.Ask)
	g.mu.Unlock()
	if found && g.takeFreshness(q.address, r, q.at, now) && !g.learning.Load() {
		go g.learn(g.life, q.address)
	}
}
