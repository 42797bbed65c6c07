package gossip

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/membership"
	"github.com/croftyard/croftyard/pkg/origin"
)

// updatedFleet is a large fleet whose routers are replaced, without a network: all know the same
// members, and datagrams arrive at once.
type updatedFleet struct {
	addresses []string
	centres   map[string]int
	// away and back are when each router ends and when its successor is ready.
	away, back map[string]time.Duration
}

// absence is how long a replacement takes: a planned stop, the start, and what passes until others know
// the new process.
const absence = 6 * time.Second

// newUpdatedFleet plans an update of all routers, one data centre after another, some at a time.
func newUpdatedFleet(routers, centres, together int) *updatedFleet {
	f := &updatedFleet{centres: make(map[string]int), away: make(map[string]time.Duration), back: make(map[string]time.Duration)}
	for n := range routers {
		address := fmt.Sprintf("10.0.%d.%d:7000", n/250, n%250)
		f.addresses = append(f.addresses, address)
		f.centres[address] = n * centres / routers
		f.away[address] = time.Duration(n/together) * absence
		f.back[address] = f.away[address] + absence
	}
	return f
}

// serves reports whether a router serves at a time.
func (f *updatedFleet) serves(address string, at time.Duration) bool {
	return at < f.away[address] || at >= f.back[address]
}

// same reports whether the same process of a router serves at two times.
func (f *updatedFleet) same(address string, from, to time.Duration) bool {
	return f.serves(address, from) && f.serves(address, to) && (to < f.away[address]) == (from < f.away[address])
}

// routersOf returns the first routers by rank for a record, of all and of a data centre.
func (f *updatedFleet) routersOf(table *membership.Table, task string, centre, most int, at time.Duration) (all, near []string) {
	all = table.TaskOwners(task, most, func(address string) bool { return f.serves(address, at) })
	near = table.TaskOwners(task, most, func(address string) bool { return f.serves(address, at) && f.centres[address] == centre })
	return all, near
}

// record is when the routers got the record of a stream.
type record map[string]time.Duration

// has reports whether a router still has a record at a time.
func (f *updatedFleet) has(r record, address string, at time.Duration) bool {
	got, ever := r[address]
	return ever && f.same(address, got, at)
}

// handOver lets the routers that end between two times pass a record on.
func (f *updatedFleet) handOver(r record, table *membership.Table, task string, from, to time.Duration) {
	for at := from; ; {
		end, ending := f.nextEnd(r, at, to)
		if len(ending) == 0 {
			return
		}
		for _, address := range ending {
			all, near := f.routersOf(table, task, f.centres[address], originHolders+1, end-1)
			for _, next := range successors(address, all, near) {
				// Those that end at the same time have announced it before.
				if f.serves(next, end) && !f.has(r, next, end) {
					r[next] = end
				}
			}
		}
		at = end
	}
}

// nextEnd returns when the next routers end that have a record then, and which.
func (f *updatedFleet) nextEnd(r record, from, to time.Duration) (end time.Duration, ending []string) {
	end = to + 1
	for address := range r {
		away := f.away[address]
		if away <= from || away > end || !f.has(r, address, away-1) {
			continue
		}
		if away < end {
			end, ending = away, nil
		}
		ending = append(ending, address)
	}
	if end > to {
		return end, nil
	}
	return end, ending
}

// lostRecords returns how many of the streams whose router is replaced have no record any more when
// they are taken up at any router.
func (f *updatedFleet) lostRecords(streams int, age time.Duration, handOver bool, rnd *rand.Rand) (lost int) {
	const takeUp = time.Second
	table := membership.New(f.addresses[0], nil, maxPartners)
	for _, address := range f.addresses[1:] {
		table.RecordHeartbeat(address, time.Now())
	}
	for n := range streams {
		first := f.addresses[rnd.IntN(len(f.addresses))]
		// The stream breaks off as its router ends, and began before by any part of its longest age.
		begun := f.away[first] - time.Duration(rnd.Int64N(int64(age)))
		takenUp := f.away[first] + takeUp
		at := f.addresses[rnd.IntN(len(f.addresses))]
		for !f.serves(at, takenUp) {
			at = f.addresses[rnd.IntN(len(f.addresses))]
		}
		task := strconv.Itoa(n)
		r := record{first: begun}
		all, near := f.routersOf(table, task, f.centres[first], originHolders, begun)
		for _, address := range slices.Concat(all, near) {
			r[address] = begun
		}
		if handOver {
			f.handOver(r, table, task, begun, takenUp)
		}
		all, near = f.routersOf(table, task, f.centres[at], originAsked, takenUp)
		asked := append(slices.Concat(all, near), at)
		if !slices.ContainsFunc(asked, func(address string) bool { return f.has(r, address, takenUp) }) {
			lost++
		}
	}
	return lost
}

// Guards against records of streams that no router has any more amid an update of a large fleet, in
// which a router that starts does not ask others for theirs.
func TestRecordsOutliveAnUpdateOfALargeFleet(t *testing.T) {
	const streams = 200
	for _, routers := range []int{143, 985} {
		for _, age := range []time.Duration{30 * time.Second, 2 * time.Minute} {
			for _, together := range slices.Compact([]int{1, routers / 100, routers / 20, routers / 5}) {
				f := newUpdatedFleet(routers, 5, together)
				lost := func(handOver bool) int {
					return f.lostRecords(streams, age, handOver, rand.New(rand.NewPCG(1, uint64(routers))))
				}
				without, with := lost(false), lost(true)
				t.Logf("%d routers, %d at a time, streams of up to %s: %d of %d records lost, %d with those handed over", routers, together, age, without, streams, with)
				if together <= routers/100 {
					assert.Zero(t, with)
				}
				if together <= routers/20 {
					assert.LessOrEqual(t, with, streams/100)
				}
			}
		}
	}
}

// Guards against records that a stopping router takes with it: its place among those that are asked is
// taken by a router without them.
func TestLeavingRouterHandsOverRecords(t *testing.T) {
	fleet := largeFleet(t, 2*maxPartners)
	at := make(map[string]*router)
	for _, r := range fleet {
		r.awaitMembers(t, len(fleet))
		r.gossip.Origins().Observe("s", []string{"v1", "v2"}, true, steady.Now())
		at[r.gossip.Address()] = r
	}
	key := func(n int) origin.Key { return origin.KeyOf("s", strconv.Itoa(n)) }
	knows := func(r *router, n int) bool {
		return r.gossip.Origins().Find("s", key(n), steady.Now()).Source == origin.Recorded
	}
	const streams, mostTried = 5, 10_000
	leaving, first := fleet[0], fleet[1]
	var held []int
	successors := make(map[int][]string)
	for n := 0; len(held) < streams; n++ {
		require.Less(t, n, mostTried)
		if !slices.Contains(first.gossip.originHolders(key(n)), leaving.gossip.Address()) {
			continue
		}
		// A datagram may be lost.
		waitUntil(t, func() bool {
			first.gossip.Origins().RecordOrigin("s", key(n), "v1")
			return knows(leaving, n)
		})
		held, successors[n] = append(held, n), leaving.gossip.successors(key(n))
		assert.GreaterOrEqual(t, len(successors[n]), originHolders)
	}
	leaving.gossip.Leave()
	// A hand-over ends after a second, also on a machine on which that does not suffice.
	waitUntil(t, func() bool { return leaving.gossip.Origins().HandOver(t.Context()) == streams })
	for _, n := range held {
		for _, address := range successors[n] {
			waitUntil(t, func() bool {
				if knows(at[address], n) {
					return true
				}
				leaving.gossip.Origins().HandOver(t.Context())
				return false
			})
		}
	}
}

// Guards against a hand-over without end: its bytes and its time are bounded.
func TestHandOverIsBounded(t *testing.T) {
	fleet := largeFleet(t, 2*maxPartners)
	leaving := fleet[0].gossip
	waitUntil(t, func() bool { return leaving.MemberCount() == len(fleet) })
	const most = 3 * maxHandOver
	for n := range most {
		leaving.Origins().Record(origin.Key(n), "v1", true, steady.Now())
	}
	sent, _ := leaving.Bytes()
	begun := time.Now()
	records := leaving.Origins().HandOver(t.Context())
	after, _ := leaving.Bytes()
	t.Logf("%d of %d records, %d bytes, %s", records, most, after-sent, time.Since(begun))
	assert.LessOrEqual(t, records, maxHandOver)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Zero(t, leaving.Origins().HandOver(ended))
}
