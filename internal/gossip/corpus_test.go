package gossip

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/rollout"
)

// readMessage reads a message from testdata. Each folder holds messages of one earlier
// build, written once and never changed: routers of those builds may run beside any later
// one.
func readMessage(t *testing.T, build, name string, into proto.Message) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", build, name))
	require.NoError(t, err)
	require.NoError(t, proto.Unmarshal(text, into))
}

func TestMessagesOfEarlierBuilds(t *testing.T) {
	for build, want := range map[string]struct {
		born       int64
		generation uint64
		facts      *directory.Facts
	}{
		"56dafcd": {},
		"d51716a": {born: 1_700_000_000_000},
		"generations": {born: 1_700_000_000_000, generation: 3, facts: &directory.Facts{
			Replicas: []directory.Fact{{ID: "i-1", Born: 1_700_000_000_000}, {ID: "i-9", Gone: true}}, Evacuated: []string{"north"}, Left: 3 * time.Second,
		}},
	} {
		t.Run(build, func(t *testing.T) {
			var d, a gossippb.Datagram
			readMessage(t, build, "datagram", &d)
			word := watch.Digest{Version: 12, ListHash: 99, Generation: want.generation, FactsHash: d.Digest.GetFacts()}
			assert.Equal(t, word, digestOf(d.Digest))
			told := decodeDigest(d.Digest, steady.Now())
			assert.Len(t, told.Running, 2)
			assert.Len(t, told.Failures, 1)
			assert.Len(t, told.Hot, 1)
			assert.Equal(t, []byte{1, 2, 3}, d.Digest.Alive)
			assert.Len(t, decodeRows(d.Digest.Member, d.Digest.HeardMs), 1)
			assert.EqualValues(t, 700, d.Digest.GetProofMs())

			readMessage(t, build, "answer", &a)
			assert.EqualValues(t, 3, a.Answer.Ask)
			assert.Equal(t, want.generation, digestOf(a.Answer).Generation)

			var request gossippb.KnowledgeRequest
			readMessage(t, build, "request", &request)
			assert.Len(t, request.Sums, 16)
			assert.True(t, request.Holders)

			var reply, excerpt gossippb.KnowledgeReply
			readMessage(t, build, "reply", &reply)
			k, err := decodeKnowledge(&reply, watch.KnowledgeRequest{})
			require.NoError(t, err)
			require.NotNil(t, k.Config)
			assert.EqualValues(t, 12, k.Config.Version)
			assert.Equal(t, want.facts, k.Facts)
			require.NotNil(t, k.Listing)
			assert.Equal(t, []string{"north"}, k.Listing.Evacuated)
			assert.Equal(t, directory.Draining, k.Listing.Replicas[1].State)
			assert.Equal(t, want.born, k.Listing.Replicas[0].Born)

			readMessage(t, build, "excerpt", &excerpt)
			k, err = decodeKnowledge(&excerpt, watch.KnowledgeRequest{PartHashes: make([]uint32, 16)})
			require.NoError(t, err)
			assert.Equal(t, []uint32{2, 5}, k.Excerpt.DifferingParts)
		})
	}
}

// Guards against a change of the wire format: testdata/brittle is what the first build that tells
// of brittle replicas wrote, the older ones tell nothing.
func TestStatementsOfBrittlenessBetweenBuilds(t *testing.T) {
	now := steady.Now()
	for build, want := range map[string][]balance.BrittleStatement{
		"56dafcd": nil,
		"usual":   nil,
		"brittle": {{Replica: 0xdeadbeef, Rejections: 0, At: now}, {Replica: 7, Rejections: 300, At: now.Add(-1500 * time.Millisecond)}},
	} {
		var d gossippb.Datagram
		readMessage(t, build, "datagram", &d)
		assert.Equal(t, want, decodeDigest(d.Digest, now).Brittle, build)
	}
}

// Guards against a change of the wire format: testdata/rollouts is what the first build wrote that states
// how old an order is, and what the one before did.
func TestRolloutReportsBetweenBuilds(t *testing.T) {
	for name, elapsed := range map[string]time.Duration{"datagram": 90500 * time.Millisecond, "older": 0} {
		var d gossippb.Datagram
		readMessage(t, "rollouts", name, &d)
		want := rollout.Report{Service: 5, Order: 12, Elapsed: elapsed, Evidence: rollout.Evidence{7: {New: rollout.Arm{Answered: 3, Failed: 1}}}}
		assert.Equal(t, []rollout.Report{want}, decodeRollouts(d.Digest.Rollouts), name)
	}
}
