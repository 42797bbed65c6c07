package gossip

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/origin"
)

// sendOriginFrom lets a router receive the record of a stream from an address.
func (r *router) sendOriginFrom(t *testing.T, from netip.AddrPort, stream int) {
	t.Helper()
	packet, err := proto.Marshal(&gossippb.Datagram{Origin: &gossippb.StreamOrigin{Stream: uint64(stream), Version: "v1"}})
	require.NoError(t, err)
	r.gossip.handleDatagram(from, packet)
}

// Guards against records that are lost since their sender is met later, and against those of senders
// that are never met, which are to be counted, and bounded meanwhile.
func TestRecordsOfUnknownSendersWaitUntilTheyAreKnown(t *testing.T) {
	hello := func(r *router) { r.gossip.applyDigest(&gossippb.Digest{Sender: nobody.String()}, steady.Now()) }
	for name, test := range map[string]struct {
		before, after    func(r *router)
		records, passed  int
		wanted, rejected int
	}{
		"known before":  {before: hello, records: 3, wanted: 3},
		"known later":   {after: hello, records: 3, wanted: 3},
		"never known":   {records: 3, passed: int(pendingOriginTime), rejected: 3},
		"not known yet": {records: 3, passed: int(pendingOriginTime - time.Second)},
		"left before": {before: func(r *router) {
			hello(r)
			r.gossip.applyDigest(&gossippb.Digest{Sender: nobody.String(), Stopping: true}, steady.Now())
		}, records: 3, wanted: 3},
		"fell silent before": {before: func(r *router) { hello(r); r.forgetMembers(steady.Now()) }, records: 3, wanted: 3},
		"too many":           {after: hello, records: maxPendingOrigins + 2, wanted: maxPendingOrigins, rejected: 2},
	} {
		t.Run(name, func(t *testing.T) {
			r := knowing(t)
			for _, step := range []func(*router){test.before, func(r *router) {
				for n := range test.records {
					r.sendOriginFrom(t, nobody, n)
				}
			}, test.after} {
				if step != nil {
					step(r)
				}
			}
			r.gossip.mergePendingOrigins(steady.Now().Add(time.Duration(test.passed)))
			assert.Equal(t, test.wanted, r.gossip.Origins().Len())
			assert.EqualValues(t, test.rejected, r.gossip.RejectedMessages())
		})
	}
}

// Guards against records that are lost as routers start: those that send them are not known to all
// others yet, or the other way round.
func TestRecordsAtAndOfStartingRoutersAreKept(t *testing.T) {
	for _, routers := range []int{3, 2 * maxPartners} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			fleet := largeFleet(t, routers)
			for _, r := range fleet {
				waitUntil(t, func() bool { return r.gossip.MemberCount() == len(fleet) })
			}
			started := newRouter(t, &source{}, fleet[0].gossip.Address())
			fleet = append(fleet, started)
			const streams = 20
			holders := make(map[origin.Key][]string)
			for n := 0; started.gossip.MemberCount() < len(fleet) || n < streams; n++ {
				for _, r := range fleet {
					k := origin.KeyOf("s", fmt.Sprint(n, r.gossip.Address()))
					holders[k] = r.gossip.originHolders(k)
					r.gossip.Origins().RecordOrigin("s", k, "v1")
				}
				time.Sleep(time.Millisecond)
			}
			for _, r := range fleet {
				waitUntil(t, func() bool { return r.gossip.MemberCount() == len(fleet) })
				r.awaitRound(t)
				assert.Zero(t, r.gossip.RejectedMessages())
				assert.Zero(t, r.gossip.pendingOrigins.records)
			}
			lost := 0
			for k, addresses := range holders {
				for _, r := range fleet {
					for _, address := range addresses {
						if address == r.gossip.Address() && r.gossip.Origins().Find("s", k, steady.Now()).Source != origin.Recorded {
							lost++
						}
					}
				}
			}
			t.Logf("%d records of %d streams did not arrive", lost, len(holders))
		})
	}
}
