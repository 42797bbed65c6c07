package gossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/directory"
)

// readGap is the time between two reads of the list. A proof seems older by the time that a call takes, and must
// still be newer than that of the read before.
const readGap = 2 * waitLimit

// newPatientRouter returns an idle router whose calls of others end only after waitLimit: what is tested is
// what they send, not how soon a busy machine answers.
func newPatientRouter(t *testing.T) *router {
	t.Helper()
	r := newIdleRouter(t, &source{})
	r.gossip.callWait = callWait{waitLimit, waitLimit}
	return r
}

// With 300 routers and 3,000 replicas, of which some come and go each second, each router
// fetched the whole list at each change, some 50 KB.
func TestSmallChangeOfLargeListIsCheapToSend(t *testing.T) {
	const replicas, changed, mostBytes = 3000, 10, 5000
	list, read := benchListing(replicas), time.Now().Add(-2*readGap)
	teacher, learner := newPatientRouter(t), newPatientRouter(t)
	for _, r := range []*router{teacher, learner} {
		r.gossip.SetHoldersKnown()
		r.watcher.ApplySnapshot(watch.Snapshot{Config: config(1), Replicas: list.Replicas}, read)
	}
	after := append([]directory.Replica(nil), list.Replicas...)
	for i := range changed {
		after[i*replicas/changed].State = directory.Draining
	}
	teacher.watcher.ApplySnapshot(watch.Snapshot{Config: config(1), Replicas: after}, read.Add(readGap))
	sent, received := learner.gossip.Bytes()
	learner.gossip.fetchKnowledge(t.Context(), teacher.gossip.Address(), false)
	mark := teacher.watcher.Digest().ListHash
	learned := learner.watcher.Digest().ListHash
	require.Equal(t, mark, learned)
	sentNow, receivedNow := learner.gossip.Bytes()
	assert.Less(t, sentNow-sent+receivedNow-received, uint64(mostBytes))
	assert.Equal(t, teacher.watcher.Replicas(), learner.watcher.Replicas())
}

// While the replicas of a fleet start, some hundred are listed between two reads. Nearly all
// parts of the list differ then, and each router fetched the whole list at each read.
func TestGrowthOfTheListIsSentOnce(t *testing.T) {
	const replicas, joined, mostBytes = 3000, 400, 20000
	list, read := benchListing(replicas+joined).Replicas, time.Now().Add(-2*readGap)
	for i := range list {
		list[i].Entry = uint64(i + 1)
	}
	teacher, learner := newPatientRouter(t), newPatientRouter(t)
	for _, r := range []*router{teacher, learner} {
		r.gossip.SetHoldersKnown()
		r.watcher.ApplySnapshot(watch.Snapshot{Config: config(1), Replicas: list[:replicas], Revision: replicas}, read)
	}
	teacher.watcher.ApplySnapshot(watch.Snapshot{Config: config(1), Replicas: list, Revision: replicas + joined}, read.Add(readGap))
	sent, received := learner.gossip.Bytes()
	learner.gossip.exchange(t.Context(), teacher.gossip.Address(), &gossippb.Digest{AsksOnly: true})
	require.Equal(t, teacher.watcher.Digest(), learner.watcher.Digest())
	sentNow, receivedNow := learner.gossip.Bytes()
	assert.Less(t, sentNow-sent+receivedNow-received, uint64(mostBytes))
	assert.Equal(t, teacher.watcher.Replicas(), learner.watcher.Replicas())
}

// Parts other than the requested ones cannot be merged with the router's own list.
func TestExcerptWithOtherPartsIsRejected(t *testing.T) {
	text, err := pack(directory.Listing{})
	require.NoError(t, err)
	have := watch.KnowledgeRequest{ListHash: 7, PartHashes: make([]uint32, 16)}
	k, err := decodeKnowledge(&gossippb.KnowledgeReply{Replicas: text, Parts: 16, Differ: []uint32{3}}, have)
	require.NoError(t, err)
	assert.Equal(t, &directory.Excerpt{PartCount: 16, DifferingParts: []uint32{3}}, k.Excerpt)
	assert.EqualValues(t, 7, k.BaseHash)
	_, err = decodeKnowledge(&gossippb.KnowledgeReply{Replicas: text, Parts: 32}, have)
	assert.ErrorIs(t, err, ErrMalformed)
}
