package soak

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// cuts are the routers whose new connections to replicas are reset, by the address from
// which they open these.
type cuts struct {
	mu      sync.Mutex
	sources map[string]bool
}

func (c *cuts) set(sources []string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, source := range sources {
		c.sources[source] = cut
	}
}

// strikes reports whether a connection from an address is one of a router that is cut off.
func (c *cuts) strikes(from net.Addr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	tcp, is := from.(*net.TCPAddr)
	return is && c.sources[tcp.IP.String()]
}

// sourceOf is the address from which a router opens connections to replicas.
func sourceOf(n int) string {
	const lowest = 10
	host, _, err := net.SplitHostPort(ownAddress(lowest + n))
	if err != nil {
		// The address is made of numbers.
		panic(err)
	}
	return host
}

// Partition is a time in which routers were cut off from all replicas.
type Partition struct {
	Routers  []string
	From, To time.Time
}

// partition cuts some routers, not all, off from all replicas: their new connections are
// reset, and in half of the cases those that are open too. It lasts longer than Contact.
func (s *soak) partition(rnd *rand.Rand, d time.Duration) {
	if !s.cutting.TryLock() {
		return
	}
	defer s.cutting.Unlock()
	var names, sources []string
	for _, n := range rnd.Perm(len(s.routers))[:1+rnd.IntN(len(s.routers)-1)] {
		names, sources = append(names, s.routers[n].name), append(sources, sourceOf(n))
	}
	begun := time.Now()
	s.world.cuts.set(sources, true)
	if rnd.IntN(2) == 0 {
		for _, place := range s.world.seats {
			if _, link, _ := place.now(); link != nil {
				link.ResetWhere(s.world.cuts.strikes)
			}
		}
	}
	time.Sleep(s.bounds.Contact + partitionLeast + d)
	s.world.cuts.set(sources, false)
	s.record.partition(Partition{Routers: names, From: begun, To: time.Now()})
}

// partitionLeast is how long a partition lasts at least beyond Contact.
const partitionLeast = 1500 * time.Millisecond

// silence keeps everything from passing on a replica's link for a second or more. It is no
// disturbance, and excuses nothing.
func (s *soak) silence(place *seat, rnd *rand.Rand) {
	const least, most = time.Second, 1500 * time.Millisecond
	if !place.handling.TryLock() {
		return
	}
	defer place.handling.Unlock()
	_, link, _ := place.now()
	if link == nil {
		return
	}
	link.Pause(true)
	time.Sleep(between(rnd, least, most))
	link.Pause(false)
}
