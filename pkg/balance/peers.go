package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// peerLife is how long another router's counts say something.
const peerLife = 1500 * time.Millisecond

// peerCounts are the requests that one router runs, by replica.
type peerCounts struct {
	running map[string]int
	at      time.Time
}

// Merge takes another router's counts of what it runs at each replica, as they
// stood at a time.
func (b *Balancer) Merge(router string, running map[string]int, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[router] = peerCounts{running: running, at: at}
}

// Forget drops what a router told that is no longer there.
func (b *Balancer) Forget(router string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.peers, router)
}

// Running returns what this router runs at each replica that has any.
func (b *Balancer) Running() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	running := make(map[string]int)
	for id, r := range b.replicas {
		if r.running > 0 {
			running[id] = r.running
		}
	}
	return running
}

func (b *Balancer) othersRunning(id string, now time.Time) float64 {
	total := 0
	for _, p := range b.peers {
		if now.Sub(p.at) < peerLife {
			total += p.running[id]
		}
	}
	return float64(total)
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
