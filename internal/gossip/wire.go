package gossip

import (
	"encoding/binary"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/membership"
)

// digests are the messages of one round.
type digests struct {
	// own has the counts of this router, line those of its line. line is nil in a small
	// fleet.
	own, line *gossippb.Digest
	// hello is what a hello adds to either.
	hello *gossippb.Digest
}

// digests returns the messages of this round.
func (g *Gossip) digests(now time.Time, large bool) digests {
	update := g.balancer.TakePeerUpdate(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	rumors := &gossippb.Digest{Stopping: g.stopped}
	if !large {
		rumors.Sender = g.server.Address()
	}
	g.addOwnDigest(rumors, now)
	encodeRows(rumors, g.members.TakeNew(maxRows, now))
	g.encodeCount(rumors, now)
	encodeRumors(rumors, update.Rumors, now)
	if !large {
		// In a large fleet each mark arrives over many paths at once, and a repetition
		// would go to some twenty partners of each router.
		rumors.Marks = encodeMarks(g.poison.Recent(now), now)
		rumors.PartMarks = encodeMarks(g.parts.Recent(now), now)
	}
	d := digests{own: proto.CloneOf(rumors), hello: g.hello(now)}
	encodeCounts(d.own, update.Running)
	d.own.Rollouts = encodeRollouts(g.balancer.Rollouts().Reports(now))
	if large {
		d.line = rumors
		d.line.Rollouts = encodeRollouts(g.balancer.Rollouts().GroupReports(g.partners.Line, now))
		line, lines := g.members.Line()
		d.line.Line, d.line.Lines = uint32(line), uint32(lines)
		sum := g.balancer.SumLine(now)
		encodeCounts(d.line, sum.Counts)
		for _, single := range sum.Singles {
			d.line.Singles = binary.LittleEndian.AppendUint16(d.line.Singles, single)
		}
	}
	g.addReports(d, now)
	if large && g.largeRounds%aliveInterval == 0 {
		d.line.Alive = g.members.AliveHashes(now)
	}
	return d
}

// hello returns what a hello adds to a digest. g.mu is held.
func (g *Gossip) hello(now time.Time) *gossippb.Digest {
	d := &gossippb.Digest{Hello: true, DataCentre: g.options.DataCentre}
	d.Member, d.HeardMs = g.rows(now)
	d.Marks = encodeMarks(g.poison.Sample(maxHelloMarks), now)
	d.PartMarks = encodeMarks(g.parts.Sample(maxHelloParts), now)
	return d
}

// withHello returns a copy of a digest with a hello.
func (d digests) withHello(digest *gossippb.Digest) *gossippb.Digest {
	both := proto.CloneOf(digest)
	proto.Merge(both, d.hello)
	return both
}

func encodeCounts(d *gossippb.Digest, counts []balance.ReplicaCount) {
	for _, c := range counts {
		d.Replica = append(d.Replica, c.Replica)
		d.Running = append(d.Running, uint32(c.Running))
	}
}

func encodeRumors(d *gossippb.Digest, rumors balance.Rumors, now time.Time) {
	for _, f := range rumors.Failures {
		d.Failed = append(d.Failed, f.Replica)
		d.Failure = append(d.Failure, uint32(f.Failure))
		d.FailedAgeMs = append(d.FailedAgeMs, uint32(now.Sub(f.At).Milliseconds()))
	}
	d.Part, d.Holder = encodeHolders(rumors.Holders)
	encodeHot(d, rumors.Hot, now)
	for _, s := range rumors.Brittle {
		d.Brittle = append(d.Brittle, s.Replica)
		d.BrittleBears = append(d.BrittleBears, uint32(s.Rejections))
		d.BrittleAgeMs = append(d.BrittleAgeMs, uint32(now.Sub(s.At).Milliseconds()))
	}
}

func encodeHot(d *gossippb.Digest, parts []balance.HotPart, now time.Time) {
	for _, h := range parts {
		d.Hot = append(d.Hot, h.Part)
		d.HotHomes = append(d.HotHomes, uint32(h.Homes))
		d.HotAgeMs = append(d.HotAgeMs, uint32(now.Sub(h.At).Milliseconds()))
	}
}

func encodeRows(d *gossippb.Digest, rows []membership.Row) {
	for _, r := range rows {
		d.Member = append(d.Member, r.Address)
		d.HeardMs = append(d.HeardMs, uint32(r.Age.Milliseconds()))
	}
}

func encodeHolders(list []balance.PartHolder) (parts []uint64, replicas []uint32) {
	for _, h := range list {
		parts = append(parts, h.Part)
		replicas = append(replicas, h.Replica)
	}
	return parts, replicas
}

// rows returns members in wire form, a different part of them in each hello. g.mu is
// held.
func (g *Gossip) rows(now time.Time) (addresses []string, ages []uint32) {
	g.hellos++
	var d gossippb.Digest
	encodeRows(&d, g.members.Sample(g.hellos, maxRows, now))
	return d.Member, d.HeardMs
}

func decodeRows(addresses []string, ages []uint32) []membership.Row {
	rows := make([]membership.Row, 0, len(addresses))
	for i := range min(len(addresses), len(ages)) {
		rows = append(rows, membership.Row{Address: addresses[i], Age: milliseconds(ages[i])})
	}
	return rows
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// decodeDigest decodes a digest. It reads columns of unequal length up to the shortest,
// so that a damaged message can do no harm.
func decodeDigest(d *gossippb.Digest, now time.Time) balance.PeerUpdate {
	var t balance.PeerUpdate
	for i := range min(len(d.Replica), len(d.Running)) {
		t.Running = append(t.Running, balance.ReplicaCount{Replica: d.Replica[i], Running: int(d.Running[i])})
	}
	for i := range min(len(d.Failed), len(d.Failure), len(d.FailedAgeMs)) {
		t.Failures = append(t.Failures, balance.ObservedFailure{Replica: d.Failed[i], Failure: balance.Failure(d.Failure[i]), At: now.Add(-milliseconds(d.FailedAgeMs[i]))})
	}
	t.Holders = decodeHolders(d.Part, d.Holder)
	for i := range min(len(d.Hot), len(d.HotHomes), len(d.HotAgeMs)) {
		t.Hot = append(t.Hot, balance.HotPart{Part: d.Hot[i], Homes: int(d.HotHomes[i]), At: now.Add(-milliseconds(d.HotAgeMs[i]))})
	}
	for i := range min(len(d.Brittle), len(d.BrittleBears), len(d.BrittleAgeMs)) {
		t.Brittle = append(t.Brittle, balance.BrittleStatement{Replica: d.Brittle[i], Rejections: int(d.BrittleBears[i]), At: now.Add(-milliseconds(d.BrittleAgeMs[i]))})
	}
	return t
}

// decodeSingles decodes pairs of bytes, and ignores an odd byte at the end.
func decodeSingles(b []byte) []uint16 {
	var singles []uint16
	for ; len(b) >= 2; b = b[2:] {
		singles = append(singles, binary.LittleEndian.Uint16(b))
	}
	return singles
}

func decodeHolders(parts []uint64, replicas []uint32) []balance.PartHolder {
	var list []balance.PartHolder
	for i := range min(len(parts), len(replicas)) {
		list = append(list, balance.PartHolder{Part: parts[i], Replica: replicas[i]})
	}
	return list
}
