package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Told is what one router tells the others. Replicas are named by Hash of
// their ids.
type Told struct {
	Running  []Count
	Failures []SeenFailure
	Holders  []Holding
}

// Count is what a router runs at a replica.
type Count struct {
	Replica uint32
	// Running is the number of requests, Reading the tokens of prompts that the
	// replica has yet to read for them.
	Running int
	Reading int
}

// SeenFailure is a failure that a router saw, with the steady time of the one
// who holds it.
type SeenFailure struct {
	Replica uint32
	Failure Failure
	At      time.Time
}

// Holding says that a replica was sent a part of a prompt.
type Holding struct {
	Part    uint64
	Replica uint32
}

// Hash names a replica among routers.
func Hash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// peerLife is how long another router's counts say something.
const peerLife = 2500 * time.Millisecond

// newsLife is how long a failure is worth passing on.
const newsLife = 2 * time.Second

// Bounds of what waits to be told; the oldest is left out.
const (
	maxToldFailures = 64
	maxToldHolders  = 4096
	// maxToldLarge is the same for both in a large fleet, where all that is told
	// is passed on by all.
	maxToldLarge = 16
)

// maxTold is how much of a kind may wait to be told.
func (b *Balancer) maxTold(most int) int {
	if b.large {
		return maxToldLarge
	}
	return most
}

// peerCounts are the requests that one router runs, or one line, by replica.
type peerCounts struct {
	running map[uint32]Count
	// rest is the mean at each replica that running does not name.
	rest float64
	at   time.Time
}

func newPeerCounts(list []Count, now time.Time) peerCounts {
	counts := peerCounts{running: make(map[uint32]Count, len(list)), at: now}
	for _, c := range list {
		counts.running[c.Replica] = c
	}
	return counts
}

// addTo adds the counts to sums while they say something.
func (p peerCounts) addTo(sums map[uint32]Count, now time.Time) {
	if now.Sub(p.at) >= peerLife {
		return
	}
	for hash, c := range p.running {
		total := sums[hash]
		total.Running += c.Running
		total.Reading += c.Reading
		sums[hash] = total
	}
}

// Tell returns what the others are to know, each failure and holder once.
func (b *Balancer) Tell(now time.Time) Told {
	b.mu.Lock()
	defer b.mu.Unlock()
	told := b.untold
	b.untold = Told{}
	for _, r := range b.replicas {
		if r.running > 0 {
			told.Running = append(told.Running, Count{r.short, r.running, r.reading})
		}
	}
	return told
}

// LineTold is what the routers of one line run. Named are the replicas that run
// more than one request of the line, Rest is the number of requests at all others:
// what stands out is told exactly, and the rest by its mean.
type LineTold struct {
	Named []Count
	Rest  int
}

// namedFrom is how many requests of a line a replica runs to be named.
const namedFrom = 2

// TellLine returns what all routers of this one's line run, as they told it
// lately, this one included.
func (b *Balancer) TellLine(now time.Time) LineTold {
	b.mu.Lock()
	defer b.mu.Unlock()
	sums := make(map[uint32]Count)
	for _, p := range b.peers {
		p.addTo(sums, now)
	}
	for _, r := range b.replicas {
		if r.running > 0 {
			own := sums[r.short]
			own.Running += r.running
			sums[r.short] = own
		}
	}
	var told LineTold
	for short, sum := range sums {
		if sum.Running < namedFrom {
			told.Rest += sum.Running
			continue
		}
		told.Named = append(told.Named, Count{Replica: short, Running: sum.Running})
	}
	return told
}

// Merge takes what another router told of itself, of its own line in a large
// fleet.
func (b *Balancer) Merge(router string, t Told, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[router] = newPeerCounts(t.Running, now)
	b.mergeNews(t, now)
}

// Line names a line of a fleet that is divided into a number of them.
type Line struct{ Number, Of int }

// MergeLine takes what a router told of its line, with the news that it tells.
func (b *Balancer) MergeLine(line Line, told LineTold, news Told, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := newPeerCounts(told.Named, now)
	if unnamed := len(b.replicas) - len(told.Named); unnamed > 0 {
		counts.rest = float64(told.Rest) / float64(unnamed)
	}
	b.lines[line] = counts
	b.mergeNews(news, now)
}

// mergeNews takes failures and holders. In a large fleet what is news is passed
// on, since its teller can't tell everybody. b.mu is held.
func (b *Balancer) mergeNews(t Told, now time.Time) {
	b.totals = nil
	for _, f := range t.Failures {
		b.mergeFailure(f, now)
	}
	for _, h := range t.Holders {
		b.mergeHolder(h, now)
	}
}

// mergeFailure takes a failure that another router saw. b.mu is held.
func (b *Balancer) mergeFailure(f SeenFailure, now time.Time) {
	r := b.byHash[f.Replica]
	if r == nil || f.Failure > Unreachable {
		return
	}
	if b.large {
		// Who is avoided already was told of already, on a quicker way or by another
		// router: what comes late must not go round again.
		if r.health.avoided(0, now) || now.Sub(f.At) > newsLife {
			return
		}
		b.tellFailure(r, f.Failure, f.At)
	}
	r.health.failed(f.Failure, f.At)
}

// mergeHolder takes a holder that another router saw. b.mu is held.
func (b *Balancer) mergeHolder(h Holding, now time.Time) {
	r := b.byHash[h.Replica]
	if r == nil {
		return
	}
	if b.large && !b.holders.holds(h.Part, r.ID, now) {
		b.tellHolder(h.Part, r)
	}
	b.holders.note(h.Part, r.ID, now)
}

// Holders returns who is known to hold which parts, for a router that starts.
func (b *Balancer) Holders(now time.Time) []Holding {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Holding
	for _, part := range b.holders.parts.Keys() {
		for _, id := range b.holders.list(part, now) {
			list = append(list, Holding{part, Hash(id)})
		}
	}
	return list
}

// Recall takes what another router knew of holders. What is known here is newer.
func (b *Balancer) Recall(list []Holding, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range list {
		if r := b.byHash[h.Replica]; r != nil && !b.holders.holds(h.Part, r.ID, now) {
			b.holders.note(h.Part, r.ID, now)
		}
	}
}

// Held takes what an engine itself said that it holds, and tells the others.
func (b *Balancer) Held(id string, parts []Part, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[id]
	if r == nil {
		return
	}
	for _, part := range parts {
		if !b.holders.holds(part.ID, id, now) {
			b.tellHolder(part.ID, r)
		}
		b.holders.note(part.ID, id, now)
	}
}

// Forget drops what a router told that is no longer there.
func (b *Balancer) Forget(router string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.peers, router)
	b.totals = nil
}

// tellFailure and tellHolder keep something for the next Tell. b.mu is held.
func (b *Balancer) tellFailure(r *replica, kind Failure, now time.Time) {
	if b.large && kind == Shed {
		// It is over before it has come round.
		return
	}
	if len(b.untold.Failures) < b.maxTold(maxToldFailures) {
		b.untold.Failures = append(b.untold.Failures, SeenFailure{Hash(r.ID), kind, now})
	}
}

func (b *Balancer) tellHolder(part uint64, r *replica) {
	if len(b.untold.Holders) < b.maxTold(maxToldHolders) {
		b.untold.Holders = append(b.untold.Holders, Holding{part, Hash(r.ID)})
	}
}

// totalsLife is how long a sum over the other routers is used again while none
// of them tells anything new.
const totalsLife = 50 * time.Millisecond

// others returns what the other routers run at a replica.
func (b *Balancer) others(hash uint32, now time.Time) (running float64, reading int) {
	if b.totals == nil || now.Sub(b.totalsAt) > totalsLife || now.Before(b.totalsAt) {
		b.sumOthers(now)
	}
	count := b.totals[hash]
	return float64(count.Running) + b.rest - b.named[hash], count.Reading
}

// sumOthers adds up what the other routers told lately. rest is the sum of the
// lines' means, and named what of it does not hold for a replica, since lines
// named it.
func (b *Balancer) sumOthers(now time.Time) {
	b.totals, b.totalsAt = make(map[uint32]Count), now
	b.named, b.rest = make(map[uint32]float64), 0
	for _, p := range b.peers {
		p.addTo(b.totals, now)
	}
	for line, p := range b.lines {
		if now.Sub(p.at) >= peerLife {
			delete(b.lines, line)
			continue
		}
		p.addTo(b.totals, now)
		b.rest += p.rest
		for hash := range p.running {
			b.named[hash] += p.rest
		}
	}
}

func hashText(s string) uint64 { return xxhash.Sum64String(s) }

// mix spreads the bits of a value; it is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
