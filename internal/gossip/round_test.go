package gossip

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/balance"
)

// Rumors are sent once. They were lost if the partner's previous exchange was still in
// progress, and in some runs a test of two routers waited for them in vain.
func TestRumorsForBusyPartnerAreKept(t *testing.T) {
	// Rounds would send and defer rumors during the test.
	first := newIdleRouter(t, &source{})
	second := newIdleRouter(t, &source{})
	address := second.gossip.Address()
	g := first.gossip
	d := digests{hello: &gossippb.Digest{Hello: true}}
	rumor := &gossippb.Digest{
		Sender: g.Address(), Failed: []uint32{1}, Failure: []uint32{4}, FailedAgeMs: []uint32{0},
		Brittle: []uint32{1}, BrittleBears: []uint32{2}, BrittleAgeMs: []uint32{0},
	}
	g.mu.Lock()
	g.busy[address] = true
	g.mu.Unlock()
	g.startExchange(context.Background(), address, rumor, d)
	g.mu.Lock()
	assert.Equal(t, []uint32{1}, g.deferred[address].Failed)
	assert.Len(t, decodeDigest(g.deferred[address], time.Now()).Brittle, 1)
	g.busy[address] = false
	g.mu.Unlock()
	g.startExchange(context.Background(), address, &gossippb.Digest{Sender: g.Address()}, d)
	g.mu.Lock()
	assert.Nil(t, g.deferred[address], "the deferred rumor was sent")
	g.mu.Unlock()
	for range 2 * maxDeferred {
		g.mu.Lock()
		g.deferRumors("other", rumor)
		g.mu.Unlock()
	}
	assert.Len(t, g.deferred["other"].Failed, maxDeferred)
}

func TestLargeFleetSendsEachRoundWhileReplicasAreIdle(t *testing.T) {
	for name, evacuated := range map[string][]string{"all in use": nil, "some idle": {"north"}} {
		t.Run(name, func(t *testing.T) {
			r := newIdleRouter(t, &source{})
			list := replicas("a", "b")
			list[0].DataCentre = "north"
			r.watcher.ApplySnapshot(watch.Snapshot{Config: config(4), Replicas: list, Evacuated: evacuated}, time.Now())
			for port := range maxPartners + 1 {
				r.gossip.members.RecordHeartbeat(fmt.Sprintf("127.0.0.1:%d", port+1), time.Now())
			}
			told := func() int {
				r.gossip.runRound(t.Context())
				r.gossip.mu.Lock()
				defer r.gossip.mu.Unlock()
				return r.gossip.hellos
			}
			first, second := told(), told()
			assert.Equal(t, evacuated != nil, first == 1, "half of a round")
			assert.Equal(t, first+1, second, "a whole round")
		})
	}
}

func TestHotPartsAreSentWithAge(t *testing.T) {
	now := time.Now()
	hot := []balance.HotPart{{Part: 1 << 60, Homes: 7, At: now.Add(-1500 * time.Millisecond)}, {Part: 2, Homes: 2, At: now}}
	var d gossippb.Digest
	encodeHot(&d, hot, now)
	later := now.Add(time.Hour)
	for i := range hot {
		hot[i].At = hot[i].At.Add(time.Hour)
	}
	assert.Equal(t, hot, decodeDigest(&d, later).Hot)
	d.HotHomes = d.HotHomes[:1]
	assert.Len(t, decodeDigest(&d, later).Hot, 1, "a damaged message is read as far as it goes")
}

func TestStatementsOfBrittlenessAreSentWithAge(t *testing.T) {
	now := time.Now()
	stated := []balance.BrittleStatement{{Replica: 1 << 30, Rejections: 7, At: now.Add(-1500 * time.Millisecond)}, {Replica: 2, At: now}}
	var d gossippb.Digest
	encodeRumors(&d, balance.Rumors{Brittle: stated}, now)
	later := now.Add(time.Hour)
	for i := range stated {
		stated[i].At = stated[i].At.Add(time.Hour)
	}
	assert.Equal(t, stated, decodeDigest(&d, later).Brittle)
	d.BrittleBears = d.BrittleBears[:1]
	assert.Len(t, decodeDigest(&d, later).Brittle, 1, "a damaged message is read as far as it goes")
}
