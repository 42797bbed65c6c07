package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftyard/croftyard/internal/dispatch"
)

// EngineOptions shape an engine's speed.
type EngineOptions struct {
	// PrefillRate is prompt tokens a second, TokenTime the time of one output
	// token; zero for either means at once.
	PrefillRate float64
	TokenTime   time.Duration
	// CacheTokens bounds the prefix cache.
	CacheTokens int
	// ChecksOrders makes the engine refuse orders with a smaller token.
	ChecksOrders bool
}

// Engine is the stand-in of a model engine. Its answer to a chat repeats the
// words of the last message, so that a test can tell whose answer it holds.
type Engine struct {
	Name    string
	Runs    Runs
	options EngineOptions
	cache   *prefixCache

	running atomic.Int64
	leaving atomic.Bool
	// announcing: answers say that the engine leaves, and requests run. rest is for how long
	// each request is turned away with a wish for no further ones; 0: it is taken.
	announcing atomic.Bool
	rest       atomic.Int64
	// turnedAway counts them.
	turnedAway atomic.Int64
	// breakAfter is the number of events after which the next stream breaks; 0: none.
	breakAfter atomic.Int64
	// crossed makes the next answer carry another attempt's id.
	crossed atomic.Bool
	// noResume makes the engine refuse to resume.
	noResume atomic.Bool

	mu sync.Mutex
	// orders are those taken, in order; token is the largest seen.
	orders []Order
	token  uint64
	// streams holds the whole answer of each streamed attempt, for resuming.
	streams map[string]stream
}

// stream is a streamed answer: a resumed one has the usage of the first.
type stream struct {
	words []string
	usage usage
}

// NewEngine returns an engine.
func NewEngine(name string, options EngineOptions) *Engine {
	return &Engine{
		Name:    name,
		Runs:    newRuns(),
		options: options,
		cache:   newPrefixCache(options.CacheTokens),
		streams: make(map[string]stream),
	}
}

// SetLeaving makes the engine refuse new requests as one that leaves.
func (e *Engine) SetLeaving(leaving bool) { e.leaving.Store(leaving) }

// Announce makes the engine's answers say that it leaves, while it takes requests.
func (e *Engine) Announce() { e.announcing.Store(true) }

// Rest makes the engine turn requests away, and ask for no further ones for a time; 0 ends
// that.
func (e *Engine) Rest(d time.Duration) { e.rest.Store(int64(d)) }

// TurnedAway returns how many requests were.
func (e *Engine) TurnedAway() int { return int(e.turnedAway.Load()) }

// BreakNext breaks the next stream after n events; with resume false the
// engine also refuses to resume it.
func (e *Engine) BreakNext(n int, resume bool) {
	e.breakAfter.Store(int64(n))
	e.noResume.Store(!resume)
}

// CrossNext makes the next answer carry a wrong attempt id.
func (e *Engine) CrossNext() { e.crossed.Store(true) }

// Running returns the number of requests in progress.
func (e *Engine) Running() int { return int(e.running.Load()) }

// Handler returns the engine's HTTP face.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("POST /v1/orders", e.takeOrder)
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, LoadReport{Running: e.Running()})
	})
	return mux
}

// LoadReport is an engine's answer to GET /v1/load.
type LoadReport struct {
	Running int `json:"running"`
}

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type chatAnswer struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *usage       `json:"usage,omitempty"`
}

type chatChoice struct {
	Index        int          `json:"index"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(dispatch.AttemptHeader)
	echo := attempt
	if e.crossed.CompareAndSwap(true, false) {
		echo = dispatch.NewAttempt()
	}
	w.Header().Set(dispatch.AttemptHeader, echo)
	if from := r.Header.Get(dispatch.ResumeHeader); from != "" {
		e.resume(w, r, attempt, from)
		return
	}
	if e.leaving.Load() {
		w.Header().Set(dispatch.LeavingHeader, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if e.announcing.Load() {
		w.Header().Set(dispatch.LeavingHeader, "true")
	}
	if rest := time.Duration(e.rest.Load()); rest > 0 {
		e.turnedAway.Add(1)
		w.Header().Set("Retry-After", strconv.FormatFloat(rest.Seconds(), 'f', -1, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var req chatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || len(req.Messages) == 0 {
		http.Error(w, "not a chat request", http.StatusBadRequest)
		return
	}
	e.Runs.add(attempt, r.Header.Get(dispatch.KeyHeader), req.Messages[len(req.Messages)-1].Content)
	e.running.Add(1)
	defer e.running.Add(-1)

	words := Answer(req.Messages[len(req.Messages)-1].Content, req.MaxTokens)
	u := e.prefill(r, req.Messages, words)
	if !req.Stream {
		e.pause(r, time.Duration(len(words))*e.options.TokenTime)
		writeJSON(w, whole(attempt, req.Model, words, u))
		return
	}
	e.mu.Lock()
	e.streams[attempt] = stream{words: words, usage: u}
	e.mu.Unlock()
	e.stream(w, r, attempt, 0)
}

// Answer returns the words with which an engine answers a message.
func Answer(message string, maxTokens int) []string {
	const words = 16
	said := strings.Fields(message)
	if len(said) == 0 {
		said = []string{"silence"}
	}
	n := words
	if maxTokens > 0 {
		n = maxTokens
	}
	out := make([]string, n)
	for i := range out {
		out[i] = said[i%len(said)] + " "
	}
	return out
}

func (e *Engine) prefill(r *http.Request, messages []chatMessage, answer []string) usage {
	tokens, cached := e.cache.use(messages, strings.Join(answer, ""))
	if e.options.PrefillRate > 0 {
		seconds := float64(tokens-cached) / e.options.PrefillRate
		e.pause(r, time.Duration(seconds*float64(time.Second)))
	}
	return usage{
		PromptTokens:     tokens,
		CompletionTokens: len(answer),
		TotalTokens:      tokens + len(answer),
		Details:          promptDetails{CachedTokens: cached},
	}
}

func (e *Engine) pause(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

func whole(id, model string, words []string, u usage) chatAnswer {
	stop := "stop"
	message := &chatMessage{Role: "assistant", Content: strings.Join(words, "")}
	return chatAnswer{
		ID: id, Object: "chat.completion", Model: model, Usage: &u,
		Choices: []chatChoice{{Message: message, FinishReason: &stop}},
	}
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request, attempt, text string) {
	from, err := strconv.Atoi(text)
	e.mu.Lock()
	s, known := e.streams[attempt]
	e.mu.Unlock()
	if err != nil || !known || from < 0 || from > len(s.words)+2 || e.noResume.Load() {
		w.WriteHeader(http.StatusConflict)
		return
	}
	w.Header().Set(dispatch.ResumeHeader, text)
	e.running.Add(1)
	defer e.running.Add(-1)
	e.stream(w, r, attempt, from)
}

// stream writes the events of an answer from an offset: one for each word, one
// with the usage, and the end marker.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, attempt string, from int) {
	e.mu.Lock()
	s := e.streams[attempt]
	e.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	breakAfter := e.breakAfter.Swap(0)
	for i := from; i <= len(s.words)+1; i++ {
		if breakAfter > 0 && int64(i-from) == breakAfter {
			_ = flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		if i < len(s.words) {
			e.pause(r, e.options.TokenTime)
		}
		if r.Context().Err() != nil {
			return
		}
		fmt.Fprintf(w, "data: %s\n\n", e.event(attempt, s, i))
		if e.options.TokenTime > 0 {
			_ = flusher.Flush()
		}
	}
	e.mu.Lock()
	delete(e.streams, attempt)
	e.mu.Unlock()
}

func (e *Engine) event(attempt string, s stream, i int) []byte {
	answer := chatAnswer{ID: attempt, Object: "chat.completion.chunk"}
	switch {
	case i < len(s.words):
		answer.Choices = []chatChoice{{Delta: &chatMessage{Role: "assistant", Content: s.words[i]}}}
	case i == len(s.words):
		stop := "stop"
		answer.Choices = []chatChoice{{Delta: &chatMessage{}, FinishReason: &stop}}
		answer.Usage = &s.usage
	default:
		return []byte(dispatch.EndMarker)
	}
	data, err := json.Marshal(answer)
	if err != nil {
		panic(err)
	}
	return data
}
