package edge

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/dispatch"
	"github.com/croftyard/croftyard/internal/router/job"
	"github.com/croftyard/croftyard/internal/router/metrics"
	"github.com/croftyard/croftyard/pkg/admission"
	"github.com/croftyard/croftyard/pkg/membudget"
	"github.com/croftyard/croftyard/pkg/policy"
)

func FuzzChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`))
	f.Add([]byte(`{"model":"m","max_tokens":-1,"messages":[{"role":"user","content":[{"type":"text"}]}]}`))
	group := &policy.Group{Name: "g", Parameters: policy.Defaults()}
	f.Fuzz(func(t *testing.T, body []byte) {
		chat, p := parseChat(body)
		if p != nil {
			assert.Equal(t, 400, p.Status)
			return
		}
		var job job.Job
		measure(&job, group, chat)
		assert.Positive(t, job.PromptTokens)
		assert.GreaterOrEqual(t, job.PromptTokens, job.FreshTokens)
	})
}

func expectJob(t *testing.T, body string) job.Job {
	t.Helper()
	chat, p := parseChat([]byte(body))
	require.Nil(t, p)
	var job job.Job
	measure(&job, &policy.Group{Name: "g", Parameters: policy.Defaults()}, chat)
	return job
}

func TestChatIsTheSameThroughItsTurns(t *testing.T) {
	first := expectJob(t, `{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"a"}]}`)
	later := expectJob(t, `{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"a"},{"role":"assistant","content":"b"},{"role":"user","content":"c"}]}`)
	other := expectJob(t, `{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"z"}]}`)
	assert.Equal(t, first.Chat, later.Chat)
	assert.NotEqual(t, first.Chat, other.Chat)
	assert.Zero(t, first.Prefix, "a short system message is no prefix")
}

// deadlines is a writer that records write deadlines.
type deadlines struct {
	*httptest.ResponseRecorder
	set int
}

// SetWriteDeadline is what http.ResponseController looks for.
func (d *deadlines) SetWriteDeadline(time.Time) error {
	d.set++
	return nil
}

func TestEachPieceHasAWriteDeadline(t *testing.T) {
	w := &deadlines{ResponseRecorder: httptest.NewRecorder()}
	a := newAnswer(w, true, time.Second, testObserver())
	require.NoError(t, a.Head(dispatch.Head{Status: 200, ContentType: "text/event-stream"}))
	for range 3 {
		require.NoError(t, a.Chunk([]byte("data: x\n\n")))
	}
	a.finish(admission.RefusePossiblyRun(admission.StreamBroken, "broke"))
	assert.Equal(t, 4, w.set)
}

func testObserver() observer {
	return observer{metrics: metrics.New(), began: time.Now()}
}

func TestUsage(t *testing.T) {
	for _, c := range []struct {
		text           string
		prompt, cached int
	}{
		{`{"choices":[],"usage":{"prompt_tokens":9,"prompt_tokens_details":{"cached_tokens":4}}}`, 9, 4},
		{"data: {}\n\ndata: {\"usage\":{\"prompt_tokens\":3}}\n\ndata: [DONE]\n\n", 3, 0},
		{`{"content":"\"usage\": none"}`, 0, 0},
		{`{"usage":null}`, 0, 0},
	} {
		o := testObserver()
		o.usage([]byte(c.text))
		assert.EqualValues(t, c.prompt, o.metrics.PromptTokens.Count(), c.text)
		assert.EqualValues(t, c.cached, o.metrics.CachedTokens.Count(), c.text)
	}
}

func TestAnswerIsHeldUntilWhole(t *testing.T) {
	w := httptest.NewRecorder()
	a := newAnswer(&deadlines{ResponseRecorder: w}, false, time.Second, testObserver())
	require.NoError(t, a.Head(dispatch.Head{Status: 200, ContentType: "application/json"}))
	require.NoError(t, a.Chunk([]byte(`{"half":`)))
	refusal := admission.RefusePossiblyRun(admission.StreamBroken, "broke")
	refusal.RetryAfter = 1500 * time.Millisecond
	a.finish(refusal)
	assert.Equal(t, 502, w.Code)
	assert.Equal(t, "unknown", w.Header().Get(RanHeader))
	assert.Equal(t, "2", w.Header().Get("Retry-After"))
	var p problem
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &p), "nothing of the half answer got out")
	assert.Equal(t, "stream_broken", p.Reason)
}

// Guards against answers that each stay below their bound and together take all memory, and against
// room that an answer keeps once it has ended.
func TestAnswersAreBoundedTogether(t *testing.T) {
	broken := admission.RefusePossiblyRun(admission.StreamBroken, "broke")
	tests := map[string]struct {
		used   int64
		end    *admission.Refusal
		begun  bool
		status int
	}{
		"room":                 {0, nil, false, 200},
		"room, broken off":     {0, broken, false, 502},
		"no room":              {holdTogether, nil, true, 200},
		"room for a part":      {holdTogether - 9, nil, true, 200},
		"no room, broken off":  {holdTogether, broken, true, 200},
		"room for another one": {holdTogether - 10, nil, false, 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w, budget := httptest.NewRecorder(), new(membudget.Budget)
			budget.SetLimit(holdTogether)
			require.True(t, budget.Reserve(test.used))
			a := newAnswer(&deadlines{ResponseRecorder: w}, false, time.Second, testObserver())
			a.budget = budget
			require.NoError(t, a.Head(dispatch.Head{Status: 200}))
			for range 2 {
				require.NoError(t, a.Chunk([]byte("piece")))
			}
			assert.Equal(t, test.begun, a.begun)
			if test.begun && test.end != nil {
				assert.Panics(t, func() { a.finish(test.end) })
			} else {
				a.finish(test.end)
			}
			assert.Equal(t, test.status, w.Code)
			assert.Equal(t, test.status == 200, w.Body.String() == "piecepiece")
			assert.Equal(t, test.used, budget.Used())
		})
	}
}

func TestLargeAnswerBreaksVisibly(t *testing.T) {
	a := newAnswer(&deadlines{ResponseRecorder: httptest.NewRecorder()}, false, time.Second, testObserver())
	require.NoError(t, a.Head(dispatch.Head{Status: 200}))
	require.NoError(t, a.Chunk(make([]byte, holdAtMost+1)))
	assert.Panics(t, func() { a.finish(admission.RefusePossiblyRun(admission.StreamBroken, "broke")) })
}

// An answer that ended with its target's connection is not framed as complete, and a break of
// one that was begun is seen as a reset.
func TestUnknownEndOfAnswer(t *testing.T) {
	broken := admission.RefusePossiblyRun(admission.StreamBroken, "broke")
	for name, test := range map[string]struct {
		bytes   int
		refusal *admission.Refusal
		status  int
		reset   bool
	}{
		"end unknown":        {bytes: 10, status: 200},
		"large":              {bytes: holdAtMost + 1, status: 200},
		"large, broken off":  {bytes: holdAtMost + 1, refusal: broken, status: 200, reset: true},
		"broken off, unsent": {bytes: 10, refusal: broken, status: 502},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				a := newAnswer(w, false, time.Second, testObserver())
				_ = a.Head(dispatch.Head{Status: 200, Undelimited: true})
				_ = a.Chunk(make([]byte, test.bytes))
				a.finish(test.refusal)
			}))
			defer server.Close()
			response, err := http.Get(server.URL)
			require.NoError(t, err)
			defer response.Body.Close()
			assert.Equal(t, test.status, response.StatusCode)
			assert.Equal(t, test.status == 200, response.ContentLength < 0 && response.TransferEncoding == nil)
			_, err = io.ReadAll(response.Body)
			assert.Equal(t, test.reset, errors.Is(err, syscall.ECONNRESET), "%v", err)
		})
	}
}

// Guards against null in place of a list, which clients of the usual interface do not expect.
func TestListOfNoModelsIsEmpty(t *testing.T) {
	text, err := json.Marshal(modelsOf(&policy.Group{}, []string{"m"}))
	require.NoError(t, err)
	assert.JSONEq(t, `{"object":"list","data":[]}`, string(text))
}

// Guards against a target's own 429 that its caller takes for the promise of a router.
func TestErrorOfTargetMayHaveRun(t *testing.T) {
	for status, ran := range map[int]string{200: "", 302: "", 400: ranUnknown, 408: ranUnknown, 429: ranUnknown, 503: ranUnknown} {
		w := httptest.NewRecorder()
		a := newAnswer(&deadlines{ResponseRecorder: w}, false, time.Second, testObserver())
		require.NoError(t, a.Head(dispatch.Head{Status: status}))
		a.finish(nil)
		assert.Equal(t, status, w.Code)
		assert.Equal(t, ran, w.Header().Get(RanHeader), "%d", status)
	}
}

// Guards against an answer without events to a request for a stream that was broken off and is
// ended in order, with an error event behind its bytes.
func TestBrokenAnswerToAStreamRequestIsNotEndedInOrder(t *testing.T) {
	broken := admission.RefusePossiblyRun(admission.StreamBroken, "broke")
	for name, test := range map[string]struct {
		kind, body  string
		undelimited bool
		refusal     *admission.Refusal
		status      int
		ended       bool
	}{
		"whole":                       {"application/json", `{"whole":1}`, false, nil, 200, true},
		"broken off":                  {"application/json", `{"half":`, false, broken, 502, true},
		"broken off, empty":           {"application/json", "", false, broken, 502, true},
		"broken off, of no kind":      {"", "half", false, broken, 502, true},
		"broken off, unmarked":        {"application/json", `{"half":`, true, broken, 502, true},
		"broken off, large":           {"application/json", string(make([]byte, holdAtMost+1)), false, broken, 200, false},
		"stream without its last one": {"text/event-stream; charset=utf-8", "data: a\n\n", false, broken, 200, true},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				a := newAnswer(w, true, time.Second, testObserver())
				_ = a.Head(dispatch.Head{Status: 200, ContentType: test.kind, Undelimited: test.undelimited})
				if test.body != "" {
					_ = a.Chunk([]byte(test.body))
				}
				a.finish(test.refusal)
			}))
			defer server.Close()
			response, err := http.Get(server.URL)
			require.NoError(t, err)
			defer response.Body.Close()
			assert.Equal(t, test.status, response.StatusCode)
			_, err = io.ReadAll(response.Body)
			assert.Equal(t, test.ended, err == nil, "%v", err)
		})
	}
}
