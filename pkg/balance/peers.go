package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// PeerUpdate is what one router sends to the others. Replicas are identified by the
// ReplicaHash of their ids.
type PeerUpdate struct {
	Running []ReplicaCount
	Rumors
}

// ReplicaCount is how many requests a router runs at a replica.
type ReplicaCount struct {
	Replica uint32
	// Running is the number of requests.
	Running int
}

// ReplicaHash identifies a replica among routers.
func ReplicaHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// peerLifetime is how long another router's counts are meaningful.
const peerLifetime = 2500 * time.Millisecond

// peerCounts holds the requests that one router, or one line, runs at each replica.
type peerCounts struct {
	running map[uint32]ReplicaCount
	at      time.Time
}

func newPeerCounts(list []ReplicaCount, now time.Time) peerCounts {
	counts := peerCounts{running: make(map[uint32]ReplicaCount, len(list)), at: now}
	for _, c := range list {
		counts.running[c.Replica] = c
	}
	return counts
}

// addTo adds the counts to sums unless they are too old.
func (p peerCounts) addTo(sums map[uint32]ReplicaCount, now time.Time) {
	if now.Sub(p.at) >= peerLifetime {
		return
	}
	for hash, c := range p.running {
		total := sums[hash]
		total.Running += c.Running
		sums[hash] = total
	}
}

// TakePeerUpdate returns what the other routers need to know. It returns each failure and
// each holder once.
func (b *Balancer) TakePeerUpdate(now time.Time) PeerUpdate {
	b.mu.Lock()
	defer b.mu.Unlock()
	told := PeerUpdate{Rumors: b.takeRumors(now)}
	for r := range b.busy {
		told.Running = append(told.Running, ReplicaCount{r.shortHash, r.running})
	}
	return told
}

// MergePeer takes what another router reported about itself; in a large fleet, a router
// of the same line.
func (b *Balancer) MergePeer(router string, t PeerUpdate, now time.Time) {
	b.mu.Lock()
	b.peers[router] = newPeerCounts(t.Running, now)
	b.peerTotalsAt = time.Time{}
	b.mergeRumors(t.Rumors, now)
	b.unlockAndNotify()
}

// RemovePeer drops the counts of a router that is gone.
func (b *Balancer) RemovePeer(router string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.peers, router)
	b.peerTotalsAt = time.Time{}
}

// peerTotalsLifetime is how long the sum over the other routers is reused while none of
// them sends an update.
const peerTotalsLifetime = 50 * time.Millisecond

// peersRun returns what the other routers run at a replica.
func (b *Balancer) peersRun(r *replica, now time.Time) int {
	if b.peerTotalsExpired(now) {
		b.sumPeerCounts(now)
	}
	return r.peersRun
}

func (b *Balancer) peerTotalsExpired(now time.Time) bool {
	return now.Sub(b.peerTotalsAt) > peerTotalsLifetime || now.Before(b.peerTotalsAt)
}

// sumPeerCounts adds up what the other routers recently reported.
func (b *Balancer) sumPeerCounts(now time.Time) {
	totals := make(map[uint32]ReplicaCount)
	for _, p := range b.peers {
		p.addTo(totals, now)
	}
	for line, p := range b.lines {
		if now.Sub(p.at) >= peerLifetime {
			delete(b.lines, line)
			continue
		}
		p.addTo(totals, now)
	}
	for _, r := range b.peerBusy {
		r.peersRun = 0
	}
	b.peerBusy = b.peerBusy[:0]
	for hash, c := range totals {
		if r := b.byShortHash[hash]; r != nil {
			r.peersRun = c.Running
			b.peerBusy = append(b.peerBusy, r)
		}
	}
	b.peerTotalsAt = now
}

func hashString(s string) uint64 { return xxhash.Sum64String(s) }

// mixBits spreads the bits of a value; it is the finaliser of SplitMix64.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
