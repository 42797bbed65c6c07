package integration

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/standin"
	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/test/proxy"
)

func newProxy(t testing.TB, target string) *proxy.Proxy {
	t.Helper()
	p, err := proxy.New(target)
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p
}

const chatPath = "/v1/chat/completions"

func totalRuns(c *cluster) int {
	n := 0
	for _, e := range c.engines {
		n += e.Runs.Total()
	}
	return n
}

func keyRuns(c *cluster, key string) int {
	n := 0
	for _, e := range c.engines {
		n += e.Runs.Key(key)
	}
	for _, s := range c.services {
		n += s.Runs.Key(key)
	}
	return n
}

func TestBrokenStreamIsResumedWhole(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.engines[0].BreakNext(5, true)
	for _, p := range c.routers {
		expectWhole(t, p.post(t, chatPath, chatBody("one two three", true)), "one two three")
	}
	assert.Equal(t, 2, totalRuns(c), "a resumed stream is no second run")
}

func TestBrokenStreamThatCannotResumeEndsInAnError(t *testing.T) {
	c := newCluster(t, 1, 2)
	for _, p := range c.routers {
		c.engines[0].BreakNext(5, false)
		r := p.post(t, chatPath, chatBody("one two three", true))
		_, whole := words(r.body)
		assert.False(t, whole)
		assert.Contains(t, r.body, `"type":"croftyard_stream_broken"`)
		assert.NotContains(t, r.body, "[DONE]")
	}
}

func TestAnswerOfAnotherRequestIsDropped(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.engines[0].CrossNext()
	r := c.routers[0].post(t, chatPath, chatBody("mine", true))
	assert.Equal(t, http.StatusBadGateway, r.status)
	assert.Equal(t, "unknown", r.header.Get("Croftyard-Ran"))
	expectWhole(t, c.routers[0].post(t, chatPath, chatBody("mine", true)), "mine")
}

func TestDeadEngineIsTriedElsewhereAndComesBack(t *testing.T) {
	c := newCluster(t, 2, 2)
	gate := newProxy(t, c.serve(standin.NewEngine("gated", standin.EngineOptions{}).Handler()))
	c.listEngine("gated", gate.Address(), fleet.StateLive)
	c.eventually("three engines", func() bool {
		s, err := c.routers[0].state()
		return err == nil && len(s.Pools[0].Groups[0].Engines) == 3
	})
	gate.Set(proxy.Faults{Cut: true})
	for i := range 20 {
		message := fmt.Sprintf("boat %d", i)
		// A connection that was idle when the engine died may break while the
		// request is written: that one answer is unknown, and said so.
		r := c.routers[i%2].post(t, chatPath, chatBody(message, true))
		if r.status == http.StatusOK {
			expectWhole(t, r, message)
			continue
		}
		assert.Equal(t, "unknown", r.header.Get("Croftyard-Ran"))
	}
	gate.Set(proxy.Faults{})
	c.eventually("the engine is used again", func() bool {
		s, err := c.routers[0].state()
		if err != nil {
			return false
		}
		for _, i := range s.Instances {
			if i.Name == "gated" {
				return i.Health == "live"
			}
		}
		return false
	})
}

func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.engines[0].SetLeaving(true)
	for i := range 30 {
		expectWhole(t, c.routers[i%3].post(t, chatPath, chatBody("x", true)), "x")
	}
	c.eventually("told to everyone while the list says live", func() bool {
		for _, p := range c.routers {
			s, err := p.state()
			if err != nil || !closedEngine(s.Pools[0].Groups[0].Engines, "engine-1") {
				return false
			}
		}
		return true
	})
	assert.Zero(t, c.engines[0].Runs.Total())
}

func TestKeyRunsAtMostOnce(t *testing.T) {
	c := newCluster(t, 2, 3)
	const key = "deposit-1"
	path := "/v1/services/deposits/new"
	var answers sync.WaitGroup
	var mu sync.Mutex
	status := map[int]int{}
	for i := range 12 {
		answers.Go(func() {
			r, err := c.routers[i%3].tryPost(path, "10 crowns", header("Idempotency-Key", key))
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			status[r.status]++
			if r.status != http.StatusOK {
				assert.Equal(t, "unknown", r.header.Get("Croftyard-Ran"))
			}
		})
	}
	answers.Wait()
	assert.Equal(t, map[int]int{http.StatusOK: 1, http.StatusConflict: 11}, status)
	assert.Equal(t, 1, keyRuns(c, key))
	c.eventually("already ran", func() bool {
		r := c.routers[0].post(t, path, "10 crowns", header("Idempotency-Key", key))
		return strings.Contains(r.body, `"reason":"already_ran"`)
	})
	other := c.routers[0].post(t, path, "10 crowns", header("Idempotency-Key", key), header("Authorization", "Bearer "+foreignKey))
	assert.Equal(t, http.StatusOK, other.status, "groups do not share keys")
}

func TestAnswerLostAfterTheRunIsUnknownAndNotRepeated(t *testing.T) {
	c := newCluster(t, 1, 2)
	path := "/v1/services/deposits/new"
	for i, options := range [][]option{{header("Idempotency-Key", "k")}, nil} {
		c.services["deposits"].DropNext()
		r := c.routers[0].post(t, path, "x", options...)
		assert.Equal(t, http.StatusBadGateway, r.status)
		assert.Equal(t, "unknown", r.header.Get("Croftyard-Ran"))
		assert.Equal(t, i+1, c.services["deposits"].Runs.Total(), "not sent again")
	}
	r := c.routers[1].post(t, path, "x", header("Idempotency-Key", "k"))
	assert.Contains(t, r.body, `"reason":"claim_held"`)
	assert.Equal(t, 1, keyRuns(c, "k"))
}

func TestRepeatableServiceIsCalledAgain(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.platform.Put(fleet.Instance{
		Name: "lookup-2", Role: fleet.RoleService, DataCentre: testCentre,
		Address: c.serve(standin.NewService("lookup").Handler()), State: fleet.StateLive, Service: "lookup",
	})
	c.eventually("two replicas", func() bool {
		s, err := c.routers[0].state()
		return err == nil && len(s.Instances) == 5
	})
	for range 20 {
		c.routers[0].post(t, "/v1/services/lookup/x", "earns retries")
	}
	c.services["lookup"].DropNext()
	for range 5 {
		assert.Equal(t, http.StatusOK, c.routers[0].post(t, "/v1/services/lookup/x", "y").status)
	}
}

func TestRepeatableCallThatMayHaveRunIsNeverCalledNotRun(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.services["lookup"].DropNext() // the only replica runs it and loses its answer
	r := c.routers[0].post(t, "/v1/services/lookup/x", "y")
	assert.Equal(t, "unknown", r.header.Get("Croftyard-Ran"), r.body)
	assert.Equal(t, 1, c.services["lookup"].Runs.Total())
}

func TestLostClaimAnswerIsSettled(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.routers[0].post(t, "/v1/services/deposits/new", "warm", header("Idempotency-Key", "warm"))
	c.platform.LoseAnswers(1)
	r := c.routers[0].post(t, "/v1/services/deposits/new", "x", header("Idempotency-Key", "k"))
	assert.Equal(t, http.StatusOK, r.status, r.body)
	assert.Equal(t, 1, keyRuns(c, "k"))
}

func TestOutage(t *testing.T) {
	c := newCluster(t, 2, 2)
	c.routers[0].post(t, "/v1/services/deposits/new", "x", header("Idempotency-Key", "ran"))
	c.platform.SetDown(true)
	expectWhole(t, c.routers[0].post(t, chatPath, chatBody("goes on", true)), "goes on")
	for _, key := range []string{"ran", "never"} {
		r := c.routers[0].post(t, "/v1/services/deposits/new", "x", header("Idempotency-Key", key))
		assert.Equal(t, http.StatusServiceUnavailable, r.status)
		assert.Equal(t, "unknown", r.header.Get("Croftyard-Ran"), "whether the key ran cannot be looked up")
		assert.NotEmpty(t, r.header.Get("Retry-After"))
	}
	assert.Zero(t, keyRuns(c, "never"))
	c.platform.SetDown(false)
	c.eventually("keys work again", func() bool {
		return c.routers[0].post(t, "/v1/services/deposits/new", "x", header("Idempotency-Key", "never")).status == http.StatusOK
	})
	assert.Equal(t, 1, keyRuns(c, "never"))
}

func TestRefusedKeyThatNeverRanSaysSo(t *testing.T) {
	c := newCluster(t, 0, 1)
	r := c.routers[0].post(t, chatPath, chatBody("x", false), header("Idempotency-Key", "k"))
	assert.Equal(t, "no", r.header.Get("Croftyard-Ran"), r.body)
}

func TestRouterWithoutAConfigurationKnowsNothingOfAKey(t *testing.T) {
	c := newCluster(t, 1, 1)
	require.Equal(t, http.StatusOK, c.routers[0].post(t, "/v1/services/deposits/new", "x", header("Idempotency-Key", "ran")).status)
	c.platform.SetDown(true)
	p := c.startRouter("router-2", testCentre)
	r := p.post(t, "/v1/services/deposits/new", "x", header("Idempotency-Key", "ran"))
	assert.Equal(t, http.StatusServiceUnavailable, r.status)
	assert.Equal(t, "unknown", r.header.Get("Croftyard-Ran"))
	assert.Equal(t, "no", p.post(t, chatPath, chatBody("x", false)).header.Get("Croftyard-Ran"))
}

func TestRouterStartsDuringAnOutageFromItsPeers(t *testing.T) {
	c := newCluster(t, 1, 2)
	gate := newProxy(t, c.address)
	// Only the key-value service is out for the new router: it sees the list
	// once, then loses the platform.
	p := c.startRouter("router-3", testCentre, gate.Address())
	c.eventually("ready", func() bool { s, err := p.state(); return err == nil && s.Ready })
	gate.Set(proxy.Faults{Cut: true})
	expectWhole(t, p.post(t, chatPath, chatBody("alone", true)), "alone")
	require.NoError(t, applyEdit(c, "models = drafting", "models = drafting, summary"))
	c.eventually("the new version came from a peer", func() bool {
		s, err := p.state()
		return err == nil && s.ConfigVersion == 2
	})
}

func TestDataCentreCutOffServesWhatItCan(t *testing.T) {
	c := newCluster(t, 2, 1)
	gate := newProxy(t, c.address)
	far := standin.NewEngine("far", standin.EngineOptions{CacheTokens: 1 << 20})
	p := c.startRouter("router-south", otherCentre, gate.Address())
	c.platform.Put(fleet.Instance{
		Name: "far", Role: fleet.RoleEngine, DataCentre: otherCentre,
		Address: c.serve(far.Handler()), State: fleet.StateLive, Models: []string{"drafting"},
	})
	c.eventually("ready", func() bool { s, err := p.state(); return err == nil && s.Ready && len(s.Pools) == 2 })
	gate.Set(proxy.Faults{Silent: true})
	before := totalRuns(c)
	for range 10 {
		expectWhole(t, p.post(t, chatPath, chatBody("x", true)), "x")
	}
	assert.Equal(t, 10, far.Runs.Total())
	assert.Equal(t, before, totalRuns(c), "the other data centre's engines stay out of it")
	gate.Set(proxy.Faults{})
}

func TestDataCentreWithoutEnginesAsksAnother(t *testing.T) {
	c := newCluster(t, 2, 2)
	p := c.startRouter("router-south", otherCentre)
	c.eventually("ready", func() bool { s, err := p.state(); return err == nil && s.Ready && len(s.Pools) == 1 })
	expectWhole(t, p.post(t, chatPath, chatBody("x", true)), "x")
}

// Guards against new work for an engine whose answers say that it leaves, though it
// takes requests.
func TestAnEngineThatAnnouncesItsShutdownInItsAnswersGetsNoNewWork(t *testing.T) {
	c := newCluster(t, 2, 1)
	c.engines[0].Announce()
	c.eventually("it answered once", func() bool {
		expectWhole(t, c.routers[0].post(t, chatPath, chatBody("x", true)), "x")
		return c.engines[0].Runs.Total() > 0
	})
	had := c.engines[0].Runs.Total()
	for range 30 {
		expectWhole(t, c.routers[0].post(t, chatPath, chatBody("x", true)), "x")
	}
	assert.Equal(t, had, c.engines[0].Runs.Total())
}

// Guards against requests to an engine in a rest that it asked for, and against none after
// it.
func TestAnEngineThatAsksForRestIsLeftAloneUntilItsEnd(t *testing.T) {
	c := newCluster(t, 2, 1)
	c.engines[0].Rest(time.Hour)
	c.eventually("it asked for rest", func() bool {
		c.routers[0].post(t, chatPath, chatBody("x", true))
		return c.engines[0].TurnedAway() > 0
	})
	for range 30 {
		expectWhole(t, c.routers[0].post(t, chatPath, chatBody("x", true)), "x")
	}
	assert.Equal(t, 1, c.engines[0].TurnedAway())
}
