package gossip

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/origin"
)

// A caller whose stream broke off takes it up at any router, which has to know at which version
// the stream began, also if the first router was killed meanwhile:
//
//	before the first event   unless a single version served lately, the first router records the
//	                         version at all others of a small fleet, and at a few of a large
//	                         one, chosen by the stream
//	a second version joins   routers record the streams that began before at the others too
//	when it is taken up      the other router asks these, unless it has the record itself
//	nobody has a record      a single version that served lately is the stream's, if it is known
//	                         that no other did; the store tells it to a router that started since
//	no router answers        the same, by a list of replicas that is read now
//	routers answer           the same, by a list that was read a moment ago, or is read now
//
// Some of the few are chosen in the router's own data centre, which may be cut off from others.
const (
	// originHolders is how many routers of a large fleet, and how many of the own data centre,
	// get a record; originAsked how many are asked. More are asked, since the members that
	// routers know differ for a while.
	originHolders = 2
	originAsked   = 3
	// originResend is how long a router may take to answer before it is asked again.
	originResend = 20 * time.Millisecond
	// originTimeout bounds the wait for answers, which take some ms. While a single version
	// serves, little depends on them, and originTimeoutSingle bounds it.
	originTimeout       = 100 * time.Millisecond
	originTimeoutSingle = 25 * time.Millisecond
	// originListTimeout bounds the wait for a list of replicas, which is read if no router answers or
	// the known one is older than inferredListAge.
	originListTimeout = 150 * time.Millisecond
	// inferredListAge is how old the list may be by which a version is inferred. Routers that are cut
	// off together answer each other and may all lack a version that has joined. Before a stream of
	// that version is taken up, the version is recorded in the store, another router has confirmed
	// that, and the stream has begun and broken off, which takes longer.
	inferredListAge = 250 * time.Millisecond
	// maxVersionLength bounds the version in a record of another router, in bytes.
	maxVersionLength = 128
)

// originWait bounds the wait for answers while several versions of a service serve, and while a
// single one does.
type originWait struct{ several, single time.Duration }

// Origins records at which versions streams began, over all routers.
type Origins struct {
	*origin.Tracker
	gossip *Gossip
}

// Origins returns the records of where streams began.
func (g *Gossip) Origins() *Origins { return &Origins{g.options.Origins, g} }

// Observe notes which versions of a service serve now, by a list of replicas that is current or
// not, or the routes. When a second version joins, or may have, or a route is led to another service,
// other routers get the records that they lack.
func (o *Origins) Observe(service string, versions []string, current bool, now time.Time) {
	o.Tracker.Observe(service, versions, current, now)
	if o.Settled(service, now) {
		return
	}
	if records := o.Unshared(now); len(records) > 0 {
		go o.gossip.sendOrigins(records, o.gossip.originHolders)
	}
}

// originQueries are the open queries of this router.
type originQueries struct {
	mu   sync.Mutex
	last uint32
	open map[uint32]originQuery
}

// originQuery is an open query to some routers.
type originQuery struct {
	asked   []string
	replies chan<- originReply
}

// originReply is what one router answered.
type originReply struct {
	from    string
	finding origin.Finding
}

// add opens a query to some routers.
func (q *originQueries) add(asked ...string) (number uint32, replies <-chan originReply) {
	// Each router may be asked again once, and answer both.
	const most = 2
	channel := make(chan originReply, most*len(asked))
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.open == nil {
		// Answers to the process that ran at this address before may still arrive.
		q.open, q.last = make(map[uint32]originQuery), rand.Uint32()
	}
	q.last++
	q.open[q.last] = originQuery{slices.Clone(asked), channel}
	return q.last, channel
}

func (q *originQueries) remove(number uint32) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.open, number)
}

// reply passes a reply to its query, if that is still open. It returns an error if the router that
// answers was not asked.
func (q *originQueries) reply(from string, r *gossippb.OriginReply) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	query, open := q.open[r.Number]
	if !open || r.Source > uint32(origin.Recorded) {
		return nil
	}
	if !slices.Contains(query.asked, from) {
		return errNotAsked
	}
	reply := originReply{from, origin.Finding{Source: origin.Source(r.Source), Version: r.Version, Several: r.Several}}
	select {
	case query.replies <- reply:
	default:
	}
	return nil
}

// answerOriginQuery answers a query of another router.
func (g *Gossip) answerOriginQuery(from string, q *gossippb.OriginQuery, now time.Time) {
	if q.Service == "" {
		g.answerFetch(from, now)
		return
	}
	g.mergePendingOrigins(now)
	f := g.options.Origins.Find(q.Service, origin.Key(q.Stream), now)
	reply := &gossippb.OriginReply{Number: q.Number, Source: uint32(f.Source), Version: f.Version, Several: f.Several}
	g.send(from, encodeDatagram(&gossippb.Datagram{OriginReply: reply}))
}

// RecordOrigin records the version at which a stream of a service begins. Unless it is known that no
// other version served lately and no route led elsewhere, other routers get the record too.
func (o *Origins) RecordOrigin(service string, k origin.Key, version string) {
	now := steady.Now()
	shared := !o.Settled(service, now)
	o.Record(k, version, shared, now)
	if shared {
		o.gossip.sendOrigins([]origin.Record{{Key: k, Version: version}}, o.gossip.originHolders)
	}
}

// sendOrigins sends records to the routers that to returns for each. Many are sent in parts, so
// that the receivers' buffers hold them.
func (g *Gossip) sendOrigins(records []origin.Record, to func(origin.Key) []string) {
	const part, pause = 32, 2 * time.Millisecond
	for i, r := range records {
		if len(r.Version) > maxVersionLength {
			continue
		}
		packet := encodeDatagram(&gossippb.Datagram{Origin: &gossippb.StreamOrigin{Stream: uint64(r.Key), Version: r.Version}})
		for _, address := range to(r.Key) {
			g.send(address, packet)
		}
		if i%part == part-1 {
			time.Sleep(pause)
		}
	}
}

// originHolders returns the other routers that get the record of a stream.
func (g *Gossip) originHolders(k origin.Key) []string { return g.originRouters(k, originHolders) }

// originSources is how many routers of a small fleet a starting one asks for all of their records.
const originSources = 3

const (
	// maxFetches is how often a starting router asks once it has met others, fetchGap apart: a
	// datagram may be lost, or come before the other router knows this one.
	maxFetches = 4
	fetchGap   = 300 * time.Millisecond
	// fetchPause is the least time between two answers to the same router.
	fetchPause = 100 * time.Millisecond
)

// fetchOrigins asks routers of a small fleet for all of their records as this one starts, so that
// records outlive a replacement of all routers one after another. In a large fleet each record has few
// holders, which are hardly replaced together.
func (g *Gossip) fetchOrigins(now time.Time) {
	g.mu.Lock()
	var asked []string
	if g.fetches < maxFetches && now.Sub(g.fetchedAt) >= fetchGap && !g.members.Large() {
		asked = g.members.Alive()
	}
	if len(asked) > 0 {
		g.fetches++
		g.fetchedAt = now
	}
	g.mu.Unlock()
	// A query that names no service asks for all records.
	packet := encodeDatagram(&gossippb.Datagram{OriginQuery: &gossippb.OriginQuery{}})
	for _, address := range asked[:min(len(asked), originSources)] {
		g.send(address, packet)
	}
}

// answerFetch sends all records to a member that asks for them.
func (g *Gossip) answerFetch(from string, now time.Time) {
	if g.mayFetch(from, now) {
		go g.sendOrigins(g.options.Origins.Records(now), func(origin.Key) []string { return []string{from} })
	}
}

// mayFetch reports whether a router may have all records now, and counts it if so.
func (g *Gossip) mayFetch(from string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !slices.Contains(g.members.Alive(), from) || now.Sub(g.fetched[from]) < fetchPause {
		return false
	}
	maps.DeleteFunc(g.fetched, func(_ string, at time.Time) bool { return now.Sub(at) >= fetchPause })
	g.fetched[from] = now
	return true
}

// originRouters returns the other routers that hold the record of a stream: all of a small
// fleet; the first of a large one, and the first of this data centre.
func (g *Gossip) originRouters(k origin.Key, most int) []string {
	task := strconv.FormatUint(uint64(k), 16)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.members.Large() {
		return append(g.members.Alive(), g.leavingAddresses()...)
	}
	own := g.server.Address()
	all := g.members.TaskOwners(task, most, func(string) bool { return true })
	near := g.members.TaskOwners(task, most, func(address string) bool {
		return address == own || g.centres[address] == g.options.DataCentre
	})
	owners := slices.Concat(all, near)
	slices.Sort(owners)
	owners = slices.Compact(owners)
	return slices.DeleteFunc(owners, func(address string) bool { return address == own })
}

// FindOrigin returns what this router and others know of a stream, and reads what served before
// from the store if no router knows it.
func (o *Origins) FindOrigin(ctx context.Context, service string, k origin.Key) origin.Search {
	begun := steady.Now()
	o.gossip.mergePendingOrigins(begun)
	own := o.Find(service, k, begun)
	if own.Source == origin.Recorded {
		return origin.Search{Finding: own}
	}
	timeout := o.gossip.originWait.several
	if !own.Several {
		timeout = o.gossip.originWait.single
	}
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	asked, findings := o.gossip.askOrigin(limited, service, k)
	search := origin.Search{Finding: origin.Merge(append(findings, own)...), Asked: asked, Answered: len(findings)}
	if search.Source == origin.Unknown && !search.Several && o.gossip.options.RecallServed != nil {
		search.Unrecorded = o.gossip.options.RecallServed(service)
		search.Finding = origin.Merge(append(findings, o.Find(service, k, steady.Now()))...)
	}
	since := begun.Add(-inferredListAge)
	if search.Answered == 0 {
		since = begun
	}
	if search.Source == origin.Inferred && !o.gossip.listedSince(ctx, since) {
		search.Finding = origin.Finding{}
	}
	if search.Source == origin.Inferred && !o.allows(service, search.Version) {
		search.Finding = origin.Finding{Several: true}
	}
	return search
}

// listedSince reports whether the list of replicas was read since a time. It waits for that, for a
// bounded time, unless the store answered nobody lately.
func (g *Gossip) listedSince(ctx context.Context, since time.Time) bool {
	now := steady.Now()
	// The proof is older than the list if the store may be a copy.
	if age := now.Sub(since); g.watcher.ListAge(now) <= age && g.watcher.Staleness(now) <= age {
		return true
	}
	if g.watcher.SourceFailing() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, g.originListWait)
	defer cancel()
	if g.watcher.WaitFresh(ctx, since) != nil {
		return false
	}
	now = steady.Now()
	return g.watcher.ListAge(now) <= now.Sub(since)
}

// allows reports whether this router lists and observed no other version than one that was inferred.
func (o *Origins) allows(service, inferred string) bool {
	versions := append(o.gossip.balancer.Versions(service), o.Served(service, steady.Now()).Versions...)
	return !slices.ContainsFunc(versions, func(version string) bool { return version != inferred })
}

// askOrigin asks other routers. It returns how many it asked, and their findings once one has a
// record, all have answered, or ctx ends.
func (g *Gossip) askOrigin(ctx context.Context, service string, k origin.Key) (asked int, findings []origin.Finding) {
	silent := g.originRouters(k, originAsked)
	asked = len(silent)
	number, replies := g.originQueries.add(silent...)
	defer g.originQueries.remove(number)
	query := encodeDatagram(&gossippb.Datagram{OriginQuery: &gossippb.OriginQuery{Number: number, Stream: uint64(k), Service: service}})
	ask := func() {
		for _, address := range silent {
			g.send(address, query)
		}
	}
	ask()
	again := time.NewTimer(originResend)
	defer again.Stop()
	for len(silent) > 0 {
		select {
		case <-ctx.Done():
			return asked, findings
		case <-again.C:
			ask()
		case r := <-replies:
			i := slices.Index(silent, r.from)
			if i < 0 {
				continue
			}
			silent = slices.Delete(silent, i, i+1)
			findings = append(findings, r.finding)
			if r.finding.Source == origin.Recorded {
				return asked, findings
			}
		}
	}
	return asked, findings
}
