package gossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/watch"
)

// A proof is sent as its age: after a suspension a router sent the age from before it.
func TestProofAgeIncludesSuspension(t *testing.T) {
	r := newIdleRouter(t, &source{})
	r.watcher.ApplySnapshot(watch.Snapshot{Config: config(1), Replicas: replicas("a")}, steady.Now())
	defer steady.Pretend(10 * time.Second)()
	answer, err := r.gossip.Exchange(t.Context(), &gossippb.Digest{Sender: "127.0.0.2:1"})
	assert.NoError(t, err)
	assert.GreaterOrEqual(t, answer.GetProofMs(), uint32(10_000))
	reply, err := r.gossip.Knowledge(t.Context(), &gossippb.KnowledgeRequest{})
	assert.NoError(t, err)
	assert.GreaterOrEqual(t, reply.GetProofMs(), uint32(10_000))
}

// An answer after a suspension to a query from before it is dated from the query.
func TestAnswerAfterSuspensionIsDatedFromQuery(t *testing.T) {
	r := newIdleRouter(t, &source{})
	asked := steady.Now()
	r.watcher.ApplySnapshot(watch.Snapshot{Config: config(1), Replicas: replicas("a")}, asked.Add(-time.Minute))
	word := r.watcher.Digest()
	version, mark := word.Version, word.ListHash
	defer steady.Pretend(10 * time.Second)()
	age := uint32(1)
	r.gossip.applyFreshness("127.0.0.2:1", &gossippb.Freshness{Version: version, Mark: mark, ProofMs: &age}, asked, steady.Now())
	assert.GreaterOrEqual(t, r.watcher.Age(steady.Now()), 10*time.Second)
}
