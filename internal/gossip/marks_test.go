package gossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"google.golang.org/protobuf/proto"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/pkg/poison"
)

var (
	crashingRequest = poison.NewDigest("acme", "POST", "h", "/", []byte("deadly"))
	crashingPart    = poison.NewPartDigest("s", 7)
	crashLimits     = poison.Limits{Crashes: 3, Hold: time.Minute}
	acme            = poison.OrganisationHash("acme")
)

// allHold reports whether all routers hold a request and a part of its prompt.
func allHold(fleet []*router) bool {
	for _, r := range fleet {
		if r.gossip.poison.Check(crashingRequest, time.Now()).State != poison.Held || !r.holdsPart() {
			return false
		}
	}
	return true
}

func (r *router) holdsPart() bool {
	return r.gossip.parts.Check([]poison.Digest{crashingPart}, acme, time.Now()).State == poison.Held
}

// recordCrash records a crash under the request and the part.
func (r *router) recordCrash(replica uint32) {
	now := time.Now()
	r.gossip.poison.RecordCrash(crashingRequest, replica, now, now)
	r.gossip.parts.RecordCrash([]poison.Digest{crashingPart}, acme, replica, now, now)
}

func (r *router) setCrashLimits() {
	r.gossip.poison.SetLimits(crashLimits)
	r.gossip.parts.SetLimits(crashLimits)
}

// recordThreeCrashes records crashes of three replicas, each seen by another router.
func recordThreeCrashes(fleet []*router) {
	for n, r := range fleet {
		r.setCrashLimits()
		if n < 3 {
			r.recordCrash(uint32(n + 1))
		}
	}
}

func TestCrashesSeenByThreeRoutersCountEverywhere(t *testing.T) {
	first := newRouter(t, &source{})
	fleet := []*router{first}
	for range 4 {
		fleet = append(fleet, newRouter(t, &source{}, first.gossip.Address()))
	}
	for _, r := range fleet {
		r.awaitMembers(t, len(fleet))
	}
	recordThreeCrashes(fleet)
	waitUntil(t, func() bool { return allHold(fleet) })
	fleet[4].gossip.poison.RecordSuccess(crashingRequest, time.Now())
	fleet[4].gossip.parts.RecordSuccess([]poison.Digest{crashingPart}, time.Now())
	waitUntil(t, func() bool {
		for _, r := range fleet {
			if r.gossip.poison.Check(crashingRequest, time.Now()).State != poison.Allowed || r.holdsPart() {
				return false
			}
		}
		return true
	})
}

func TestMarksReachLargeFleet(t *testing.T) {
	fleet := largeFleet(t, 20)
	recordThreeCrashes(fleet)
	waitUntil(t, func() bool { return allHold(fleet) })
}

// A router that starts, or was cut off, has received no marks.
func TestHelloIsAnsweredWithMarks(t *testing.T) {
	first := newRouter(t, &source{})
	recordThreeCrashes([]*router{first})
	for replica := range uint32(3) {
		first.recordCrash(replica)
	}
	first.gossip.poison.TakePending()
	first.gossip.parts.TakePending()
	second := newRouter(t, &source{}, first.gossip.Address())
	second.setCrashLimits()
	waitUntil(t, func() bool { return allHold([]*router{first, second}) })
}

func TestMarksForBusyPartnerAreKept(t *testing.T) {
	first, second := newIdleRouter(t, &source{}), newRouter(t, &source{})
	first.setCrashLimits()
	second.setCrashLimits()
	address := second.gossip.Address()
	first.gossip.recordMessage(address, "", true, time.Now())
	first.gossip.runRound(t.Context())
	isBusy := func() bool {
		first.gossip.mu.Lock()
		defer first.gossip.mu.Unlock()
		return first.gossip.busy[address]
	}
	// The exchange of the round would otherwise end during the test, and the partner be
	// free again.
	waitUntil(t, func() bool { return !isBusy() })
	first.gossip.mu.Lock()
	first.gossip.busy[address] = true
	first.gossip.mu.Unlock()
	for replica := range uint32(3) {
		first.recordCrash(replica)
	}
	first.gossip.sendMarks(t.Context(), time.Now())
	assert.Empty(t, first.gossip.poison.TakePending())
	first.gossip.mu.Lock()
	delete(first.gossip.busy, address)
	// Marks that are sent again in each round are not under test here.
	missed := proto.CloneOf(first.gossip.deferred[address])
	first.gossip.mu.Unlock()
	assert.Len(t, missed.GetMarks().GetCrashed(), 3)
	first.gossip.runRound(t.Context())
	waitUntil(t, func() bool { return allHold([]*router{second}) })
}

func TestMarksRoundTrip(t *testing.T) {
	now := time.Now()
	marks := []poison.Mark{{Digest: crashingRequest, Replica: 7, At: now.Add(-time.Second)}, {Digest: crashingRequest, At: now.Add(-time.Minute), Served: true}}
	assert.Equal(t, marks, decodeMarks(encodeMarks(marks, now), now))
	ofPart := []poison.Mark{{Digest: crashingPart, Replica: 7, Organisation: acme, Shared: true, At: now.Add(-time.Second)}}
	assert.Equal(t, ofPart, decodeMarks(encodeMarks(ofPart, now), now))
	assert.Nil(t, encodeMarks(nil, now))
	assert.Empty(t, decodeMarks(nil, now))
	assert.Empty(t, decodeMarks(&gossippb.Marks{Crashed: [][]byte{crashingRequest[:3]}, Replica: []uint32{1}, CrashedAgeMs: []uint32{1}}, now))
	assert.Len(t, decodeMarks(&gossippb.Marks{Crashed: [][]byte{crashingRequest[:], crashingRequest[:]}, Replica: []uint32{1, 2}, CrashedAgeMs: []uint32{1}}, now), 1)
	ahead := encodeMarks([]poison.Mark{{Digest: crashingRequest, Replica: 7, At: now.Add(time.Second)}}, now)
	assert.Equal(t, []uint32{0}, ahead.CrashedAgeMs)
}
