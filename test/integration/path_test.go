package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/demo"
	"github.com/croftyard/croftyard/internal/standin"
	"github.com/croftyard/croftyard/pkg/fleet"
)

type usageBody struct {
	Usage struct {
		Details struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func TestReturningChatFindsItsCacheThroughAnotherRouter(t *testing.T) {
	c := newCluster(t, 12, 3)
	first := c.routers[0].post(t, "/v1/chat/completions", chatBody("the lock is open", false))
	require.Equal(t, http.StatusOK, first.status, first.body)
	token := first.header.Get("Croftyard-Chat")
	require.NotEmpty(t, token)
	turn := fmt.Sprintf(`{"model":"drafting","messages":[{"role":"user","content":"the lock is open"},
		{"role":"assistant","content":%q},{"role":"user","content":"and now"}]}`, answerTo("the lock is open"))
	for _, p := range c.routers[1:] {
		second := p.post(t, "/v1/chat/completions", turn, header("Croftyard-Chat", token))
		var body usageBody
		require.NoError(t, json.Unmarshal([]byte(second.body), &body))
		assert.Positive(t, body.Usage.Details.Cached, "through %s", p.name)
		assert.Equal(t, token, second.header.Get("Croftyard-Chat"), "another engine served")
	}
}

func (p *process) metrics(t *testing.T) string {
	t.Helper()
	resp, err := http.Get("http://" + p.admin + "/metrics")
	require.NoError(t, err)
	defer resp.Body.Close()
	return readAll(t, resp)
}

func TestCacheReuseIsInTheMetrics(t *testing.T) {
	c := newCluster(t, 1, 1)
	for _, stream := range []bool{true, false} {
		expectStatus(t, c.routers[0].post(t, chatPath, chatBody("the lock is open and the boat is in", stream)))
	}
	text := c.routers[0].metrics(t)
	assert.Contains(t, text, "croftyard_cache_prompt_tokens 18\n")
	assert.Contains(t, text, "croftyard_cache_cached_tokens 9\n")
	assert.Contains(t, text, "croftyard_latency_first_byte_us_count 2\n")
	assert.Contains(t, text, "croftyard_output_events 18\n")
}

func expectStatus(t *testing.T, r reply) {
	t.Helper()
	require.Equal(t, http.StatusOK, r.status, r.body)
}

func TestStreamIsWholeAndOwn(t *testing.T) {
	c := newCluster(t, 6, 3)
	for i := range 30 {
		message := fmt.Sprintf("boat %d in the chamber", i)
		r := c.routers[i%3].post(t, "/v1/chat/completions", chatBody(message, true))
		expectWhole(t, r, message)
		assert.Equal(t, "text/event-stream", r.header.Get("Content-Type"))
	}
}

func TestDamagedTokenIsIgnored(t *testing.T) {
	c := newCluster(t, 3, 1)
	good := c.routers[0].post(t, "/v1/chat/completions", chatBody("hello", true)).header.Get("Croftyard-Chat")
	for _, token := range []string{"x", good[:70] + "AAAAAA", strings.Repeat("A", 5000)} {
		expectWhole(t, c.routers[0].post(t, "/v1/chat/completions", chatBody("hello", true), header("Croftyard-Chat", token)), "hello")
	}
	foreign := c.routers[0].post(t, "/v1/chat/completions", chatBody("hello", true),
		header("Croftyard-Chat", good), header("Authorization", "Bearer "+foreignKey))
	expectWhole(t, foreign, "hello")
	assert.Contains(t, c.routers[0].metrics(t), "croftyard_chat_tokens_ignored 4\n")
}

func TestBadInputIsAClearErrorAndReachesNoTarget(t *testing.T) {
	c := newCluster(t, 3, 2)
	p := c.routers[0]
	chat := "/v1/chat/completions"
	good := chatBody("hello", false)
	for _, b := range []struct {
		name   string
		path   string
		body   string
		option option
		status int
		detail string
	}{
		{"malformed JSON", chat, `{"model":`, nil, 400, "not a chat completions request"},
		{"no model", chat, `{"messages":[{"role":"user","content":"x"}]}`, nil, 400, "model must be set"},
		{"no messages", chat, `{"model":"drafting"}`, nil, 400, "messages must not be empty"},
		{"no role", chat, `{"model":"drafting","messages":[{"content":"x"}]}`, nil, 400, "messages[0].role"},
		{"broken UTF-8", chat, "{\"model\":\"drafting\",\"messages\":[{\"role\":\"user\",\"content\":\"\xff\"}]}", nil, 400, "UTF-8"},
		{"oversized", chat, `{"model":"` + strings.Repeat("x", 200_000), nil, 413, "larger than 100000 bytes"},
		{"wrong key", chat, good, header("Authorization", "Bearer nobody"), 401, "not known"},
		{"no key", chat, good, header("Authorization", ""), 401, "required"},
		{"foreign model", chat, strings.Replace(good, "drafting", "summary", 1), nil, 403, "may not use model"},
		{"foreign adapter", chat, good, header("Croftyard-Adapter", "deeds"), 403, "may not use adapter"},
		{"bad deadline", chat, good, header("Croftyard-Deadline", "soon"), 400, "Croftyard-Deadline"},
		{"long deadline", chat, good, header("Croftyard-Deadline", "24h"), 400, "up to 2m0s"},
		{"bad priority", chat, good, header("Croftyard-Priority", "99"), 400, "from 0 to 5"},
		{"too many tokens", chat, strings.Replace(good, `"stream"`, `"max_tokens":9999,"stream"`, 1), nil, 400, "must not exceed 512"},
		{"unknown path", "/v2/chat", good, nil, 404, "no such path"},
		{"unknown service", "/v1/services/nothing/x", good, nil, 404, "no such service"},
	} {
		var options []option
		if b.option != nil {
			options = append(options, b.option)
		}
		r := p.post(t, b.path, b.body, options...)
		assert.Equal(t, b.status, r.status, b.name)
		assert.Contains(t, r.body, b.detail, b.name)
		assert.Equal(t, "application/problem+json", r.header.Get("Content-Type"), b.name)
		assert.Equal(t, "no", r.header.Get("Croftyard-Ran"), b.name)
	}
	for _, e := range c.engines {
		assert.Zero(t, e.Runs.Total())
	}
}

func TestEditIsInForceOnEveryRouter(t *testing.T) {
	c := newCluster(t, 3, 3)
	before := c.routers[2].post(t, "/v1/chat/completions", strings.Replace(chatBody("x", false), "drafting", "summary", 1))
	require.Equal(t, http.StatusForbidden, before.status)
	text := strings.Replace(testConfig(), "models = drafting", "models = drafting, summary", 1)
	require.NoError(t, demo.Apply(context.Background(), c.platform, text))
	for _, p := range c.routers {
		c.eventually("version 2", func() bool {
			s, err := p.state()
			return err == nil && s.ConfigVersion == 2
		})
		r := p.post(t, "/v1/chat/completions", strings.Replace(chatBody("x", false), "drafting", "summary", 1))
		assert.Equal(t, http.StatusServiceUnavailable, r.status, "allowed now, but no engine serves it")
		assert.Contains(t, r.body, "no live engine serves summary")
	}
}

func TestAdapterIsServedWhereItIs(t *testing.T) {
	c := newCluster(t, 4, 2)
	require.NoError(t, applyEdit(c, "models = drafting", "models = drafting\nadapters = deeds, wills"))
	holder := c.addEngine("holder", standin.EngineOptions{CacheTokens: 1 << 20})
	c.platform.Put(fleet.Instance{
		Name: "holder", Role: fleet.RoleEngine, DataCentre: testCentre, Address: c.serve(holder.Handler()),
		State: fleet.StateLive, Models: []string{"drafting"}, Adapters: []string{"deeds"},
	})
	for _, p := range c.routers {
		c.eventually("edit and engine seen", func() bool {
			s, err := p.state()
			return err == nil && s.ConfigVersion == 2 && len(s.Instances) == 9
		})
		for range 5 {
			expectWhole(t, p.post(t, chatPath, chatBody("x", true), header("Croftyard-Adapter", "deeds")), "x")
		}
		r := p.post(t, chatPath, chatBody("x", true), header("Croftyard-Adapter", "wills"))
		assert.Contains(t, r.body, "no live engine serves drafting with adapter wills")
	}
	assert.Equal(t, 10, holder.Runs.Total())
}

func TestPlainService(t *testing.T) {
	c := newCluster(t, 1, 1)
	r := c.routers[0].post(t, "/v1/services/lookup/names/a%2Fb?like=1", "body")
	assert.Equal(t, http.StatusOK, r.status)
	assert.Equal(t, "POST /names/a/b\nbody", r.body)
}
