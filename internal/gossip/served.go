package gossip

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/origin"
)

// Few routers read and write the store's records of the versions that serve. The others ask them
// which versions a record names:
//
//	a version joins           each router asks the first router that keeps the records, once a write
//	                          has had time to be done
//	it is not confirmed yet   the router asks all that keep them, at growing intervals
//
// Any router that has versions confirmed answers. Older builds do not.

const (
	// servedTask is the task of the routers that keep the records.
	servedTask = "served versions"
	// servedDelay is the time from a version's first sight to the first query.
	servedDelay = 250 * time.Millisecond
	// servedPause is the pause after a query, doubled after each further one up to maxServedPause.
	servedPause    = 500 * time.Millisecond
	maxServedPause = 8 * time.Second
	// maxServedVersions bounds the versions in a reply.
	maxServedVersions = 64
)

// servedQueries are this router's queries for the versions that records name.
type servedQueries struct {
	mu   sync.Mutex
	last uint32
	// services holds what is asked of each service, by the hash of its name.
	services map[uint64]*servedQuery
}

// servedQuery is what is asked of one service.
type servedQuery struct {
	service     string
	unconfirmed []string
	// next is when the next query is due, and pause the pause after it. The first one goes to a
	// single router.
	next  time.Time
	pause time.Duration
	first bool
	// number is that of the last query, and silent are the routers that have not answered it.
	number uint32
	silent []string
}

// servedKeepers returns the addresses of the routers that keep the records of the versions that serve,
// by rank.
func (g *Gossip) servedKeepers() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.TaskOwners(servedTask, origin.Keepers, func(string) bool { return true })
}

// ServedRank returns how many routers precede this one in keeping the records of the versions that
// serve.
func (g *Gossip) ServedRank() int { return g.TaskRank(servedTask) }

// ConfirmVersions asks other routers, if that is due, which versions of some services the store's
// records name. It is called periodically.
func (o *Origins) ConfirmVersions(services []string, now time.Time) {
	o.DropConfirmed(o.gossip.watcher.Digest().Generation)
	for _, service := range o.gossip.servedQueries.due(services, o.Unconfirmed, now) {
		o.gossip.askServed(service, now)
	}
}

// due returns the services of which something is to be asked, and forgets those that are not given.
func (q *servedQueries) due(services []string, unconfirmed func(service string) []string, now time.Time) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.services == nil {
		// Answers to the process that ran at this address before may still arrive.
		q.last = rand.Uint32()
	}
	kept := make(map[uint64]*servedQuery, len(services))
	var due []string
	for _, service := range services {
		key := xxhash.Sum64String(service)
		s := q.services[key]
		if s == nil {
			s = &servedQuery{service: service}
		}
		kept[key] = s
		if s.update(unconfirmed(service), now) {
			due = append(due, service)
		}
	}
	q.services = kept
	return due
}

// update notes the versions that are not confirmed, and reports whether a query is due.
func (s *servedQuery) update(unconfirmed []string, now time.Time) bool {
	joined := slices.ContainsFunc(unconfirmed, func(version string) bool { return !slices.Contains(s.unconfirmed, version) })
	s.unconfirmed = unconfirmed
	if joined {
		s.next, s.pause, s.first = now.Add(spread(servedDelay)), servedPause, true
	}
	return len(unconfirmed) > 0 && !now.Before(s.next)
}

// spread returns a duration near d, so that the routers of a fleet do not ask at once.
func spread(d time.Duration) time.Duration {
	const least, width = 0.75, 0.5
	return time.Duration(float64(d) * (least + width*rand.Float64()))
}

// askServed asks the routers that keep the records about a service.
func (g *Gossip) askServed(service string, now time.Time) {
	keepers, own := g.servedKeepers(), g.server.Address()
	number, asked := g.servedQueries.open(service, keepers, own, now)
	packet := encodeDatagram(&gossippb.Datagram{ServedQuery: &gossippb.ServedQuery{Number: number, Service: xxhash.Sum64String(service)}})
	for _, address := range asked {
		g.send(address, packet)
	}
}

// open opens a query about a service and returns its number and which of the keepers it goes to.
func (q *servedQueries) open(service string, keepers []string, own string, now time.Time) (number uint32, asked []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[xxhash.Sum64String(service)]
	if s == nil {
		return 0, nil
	}
	if s.first {
		keepers = keepers[:min(len(keepers), 1)]
	}
	asked = slices.DeleteFunc(slices.Clone(keepers), func(address string) bool { return address == own })
	q.last++
	s.number, s.silent, s.first = q.last, slices.Clone(asked), false
	s.next, s.pause = now.Add(spread(s.pause)), min(2*s.pause, maxServedPause)
	return s.number, asked
}

// answered returns the service of an open query that a router answers. It answers once.
func (q *servedQueries) answered(from string, number uint32) (service string, open bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range q.services {
		i := slices.Index(s.silent, from)
		if s.number == number && i >= 0 {
			s.silent = slices.Delete(s.silent, i, i+1)
			return s.service, true
		}
	}
	return "", false
}

// name returns the name of a service by its hash, "" if there is none.
func (q *servedQueries) name(hash uint64) string {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.services[hash]; s != nil {
		return s.service
	}
	return ""
}

// answerServedQuery answers a member that asks which versions of a service are confirmed.
func (g *Gossip) answerServedQuery(from string, q *gossippb.ServedQuery) {
	service := g.servedQueries.name(q.Service)
	if service == "" || !g.isMember(from) {
		return
	}
	versions, generation := g.options.Origins.ConfirmedSince(service)
	// By an old list a version may seem to serve that has left, and left the record.
	if len(versions) == 0 || g.options.Origins.Served(service, steady.Now()).Stale {
		return
	}
	reply := &gossippb.ServedReply{Number: q.Number, Generation: generation}
	for _, version := range versions[:min(len(versions), maxServedVersions)] {
		reply.Version = append(reply.Version, xxhash.Sum64String(version))
	}
	g.send(from, encodeDatagram(&gossippb.Datagram{ServedReply: reply}))
}

func (g *Gossip) isMember(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.IsAlive(address)
}

// receiveServed confirms the versions in the answer to a query of this router. One that comes from
// a router that has not heard of the store's present generation confirms none.
func (g *Gossip) receiveServed(from string, r *gossippb.ServedReply) {
	service, open := g.servedQueries.answered(from, r.Number)
	if !open || len(r.Version) > maxServedVersions || r.Generation < g.watcher.Digest().Generation {
		return
	}
	origins := g.options.Origins
	versions := slices.DeleteFunc(origins.Unconfirmed(service), func(version string) bool {
		return !slices.Contains(r.Version, xxhash.Sum64String(version))
	})
	origins.Confirm(service, versions, r.Generation)
}
