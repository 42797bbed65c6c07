package balance

import (
	"time"

	"github.com/croftyard/croftyard/pkg/membership"
)

// memberFleet simulates routers that meet by their seeds, are cut off from each other and start
// again.
type memberFleet struct {
	seeds  []string
	order  []string
	tables map[string]*membership.Table
	met    map[[2]string]bool
	rounds int
	// cut tells whether two routers do not reach each other now.
	cut func(a, b string) bool
	// answered is called after one router has answered the hello of another one.
	answered func(from, to string)
}

const (
	// The figures of a large fleet: rows of members in a message, rounds between hellos, partners.
	memberRows, memberHello, memberPartners = 16, 8, 11
)

func newMemberFleet(seeds ...string) *memberFleet {
	return &memberFleet{
		seeds: seeds, tables: make(map[string]*membership.Table), met: make(map[[2]string]bool),
		cut:      func(string, string) bool { return false },
		answered: func(string, string) {},
	}
}

// start replaces a router by one that knows nothing but the seeds.
func (f *memberFleet) start(address string) {
	f.tables[address] = membership.New(address, f.seeds, memberPartners)
	for _, other := range f.order {
		delete(f.met, [2]string{address, other})
	}
}

// hello has two routers pass on a sample of the members that they know.
func (f *memberFleet) hello(from, to string, now time.Time) {
	if f.tables[to] == nil || f.cut(from, to) {
		return
	}
	a, b := f.tables[from], f.tables[to]
	b.RecordContact(from, now)
	b.Merge(a.Sample(f.rounds, memberRows, now), now)
	a.RecordContact(to, now)
	a.Merge(b.Sample(f.rounds, memberRows, now), now)
	if relay, found := b.RelayFor(from, now); found {
		a.Merge([]membership.Row{relay}, now)
	}
	f.answered(from, to)
}

// send sends a router's round to one partner.
func (f *memberFleet) send(from, to string, hello bool, rows []membership.Row, alive []byte, now time.Time) {
	if f.cut(from, to) {
		return
	}
	receiver := f.tables[to]
	receiver.RecordHeartbeat(from, now)
	receiver.Merge(rows, now)
	receiver.MergeAliveHashes(alive, now)
	if pair := [2]string{from, to}; hello || !f.met[pair] {
		f.met[pair], f.met[[2]string{to, from}] = true, true
		f.hello(from, to, now)
	}
}

// round plays one round of all routers. update is called for each as its round begins.
func (f *memberFleet) round(now time.Time, update func(address string, t *membership.Table)) {
	f.rounds++
	for i, address := range f.order {
		t := f.tables[address]
		t.Expire(now)
		p := t.Partners(now)
		update(address, t)
		rows := t.TakeNew(memberRows, now)
		for n, partner := range p.Line {
			f.send(address, partner, (f.rounds+i)%memberHello == 0 && n == f.rounds%len(p.Line), rows, nil, now)
		}
		for _, partner := range p.RelayTo {
			f.send(address, partner, false, rows, t.AliveHashes(now), now)
		}
		for _, other := range append(p.Seeds, t.SilentRelays(4, now)...) {
			f.hello(address, other, now)
		}
	}
}
