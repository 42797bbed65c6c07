package gossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/internal/follow"
	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/steady"
)

// A proof travels as its age: from a router that was suspended it looked as new as before.
func TestAProofFromBeforeASuspensionIsToldAsOld(t *testing.T) {
	r := newRestingRouter(t, &source{})
	r.follower.Take(follow.Snapshot{Config: config(1), Replicas: replicas("a")}, steady.Now())
	defer steady.Pretend(10 * time.Second)()
	answer, err := r.gossip.Exchange(t.Context(), &gossippb.Digest{Sender: "127.0.0.2:1"})
	assert.NoError(t, err)
	assert.GreaterOrEqual(t, answer.GetProofMs(), uint32(10_000))
	reply, err := r.gossip.Knowledge(t.Context(), &gossippb.KnowledgeRequest{})
	assert.NoError(t, err)
	assert.GreaterOrEqual(t, reply.GetProofMs(), uint32(10_000))
}

// What was asked before a suspension and is answered after it tells what was true then.
func TestAnAnswerToAQuestionFromBeforeASuspensionProvesNothingSince(t *testing.T) {
	r := newRestingRouter(t, &source{})
	asked := steady.Now()
	r.follower.Take(follow.Snapshot{Config: config(1), Replicas: replicas("a")}, asked.Add(-time.Minute))
	word := r.follower.Word()
	version, mark := word.Version, word.Mark
	defer steady.Pretend(10 * time.Second)()
	age := uint32(1)
	r.gossip.takeFreshness("127.0.0.2:1", &gossippb.Freshness{Version: version, Mark: mark, ProofMs: &age}, asked, steady.Now())
	assert.GreaterOrEqual(t, r.follower.Age(steady.Now()), 10*time.Second)
}
