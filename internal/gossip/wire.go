package gossip

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/membership"
)

// digests returns what is told in this round, without and with a hello.
func (g *Gossip) digests(now time.Time) (plain, hello *gossippb.Digest) {
	plain = g.digest(now)
	hello = proto.CloneOf(plain)
	hello.Hello = true
	hello.DataCentre = g.options.DataCentre
	g.mu.Lock()
	defer g.mu.Unlock()
	hello.Member, hello.HeardMs = g.rows(now)
	return plain, hello
}

func (g *Gossip) digest(now time.Time) *gossippb.Digest {
	told := g.balancer.Tell(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	d := &gossippb.Digest{Sender: g.server.Address(), Stopping: g.stopped}
	for _, c := range told.Running {
		d.Replica = append(d.Replica, c.Replica)
		d.Running = append(d.Running, uint32(c.Running))
		d.Reading = append(d.Reading, uint32(c.Reading))
	}
	for _, l := range told.Loads {
		d.Loaded = append(d.Loaded, l.Replica)
		d.Load = append(d.Load, uint32(l.Load))
		d.LoadAgeMs = append(d.LoadAgeMs, uint32(now.Sub(l.At).Milliseconds()))
	}
	for _, f := range told.Failures {
		d.Failed = append(d.Failed, f.Replica)
		d.Failure = append(d.Failure, uint32(f.Failure))
		d.FailedAgeMs = append(d.FailedAgeMs, uint32(now.Sub(f.At).Milliseconds()))
	}
	d.Part, d.Holder = encodeHolders(told.Holders)
	return d
}

func encodeHolders(list []balance.Holding) (parts []uint64, replicas []uint32) {
	for _, h := range list {
		parts = append(parts, h.Part)
		replicas = append(replicas, h.Replica)
	}
	return parts, replicas
}

// rows returns members in the wire form, another part of them in each hello.
// g.mu is held.
func (g *Gossip) rows(now time.Time) (addresses []string, ages []uint32) {
	g.hellos++
	for _, r := range g.members.Sample(g.hellos, maxRows, now) {
		addresses = append(addresses, r.Address)
		ages = append(ages, uint32(r.Age.Milliseconds()))
	}
	return addresses, ages
}

func decodeRows(addresses []string, ages []uint32) []membership.Row {
	rows := make([]membership.Row, 0, len(addresses))
	for i := range min(len(addresses), len(ages)) {
		rows = append(rows, membership.Row{Address: addresses[i], Age: milliseconds(ages[i])})
	}
	return rows
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// decode reads a digest. Columns of unequal length are read as far as they all
// go, so that a damaged message cannot harm.
func decode(d *gossippb.Digest, now time.Time) balance.Told {
	var t balance.Told
	for i := range min(len(d.Replica), len(d.Running), len(d.Reading)) {
		t.Running = append(t.Running, balance.Count{Replica: d.Replica[i], Running: int(d.Running[i]), Reading: int(d.Reading[i])})
	}
	for i := range min(len(d.Loaded), len(d.Load), len(d.LoadAgeMs)) {
		t.Loads = append(t.Loads, balance.Load{Replica: d.Loaded[i], Load: int(d.Load[i]), At: now.Add(-milliseconds(d.LoadAgeMs[i]))})
	}
	for i := range min(len(d.Failed), len(d.Failure), len(d.FailedAgeMs)) {
		t.Failures = append(t.Failures, balance.SeenFailure{Replica: d.Failed[i], Failure: balance.Failure(d.Failure[i]), At: now.Add(-milliseconds(d.FailedAgeMs[i]))})
	}
	t.Holders = decodeHolders(d.Part, d.Holder)
	return t
}

func decodeHolders(parts []uint64, replicas []uint32) []balance.Holding {
	var list []balance.Holding
	for i := range min(len(parts), len(replicas)) {
		list = append(list, balance.Holding{Part: parts[i], Replica: replicas[i]})
	}
	return list
}
