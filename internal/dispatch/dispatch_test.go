package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
	"github.com/croftyard/croftyard/pkg/admission"
)

// record is a Sink that keeps what it got; fail makes it refuse chunks.
type record struct {
	head Head
	body strings.Builder
	fail error
}

func (r *record) Head(h Head) error {
	r.head = h
	return nil
}

func (r *record) Chunk(b []byte) error {
	r.body.Write(b)
	return r.fail
}

// target serves with a handler that need not echo the attempt.
func target(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(AttemptHeader, r.Header.Get(AttemptHeader))
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func run(address string, stream bool, sink Sink) Outcome {
	r := Request{Method: http.MethodPost, Address: address, Path: "/x", Body: []byte("hello"), Attempt: NewAttempt(), Stream: stream}
	return New(time.Second).Run(context.Background(), r, sink)
}

func TestWholeAnswer(t *testing.T) {
	address := target(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})
	var sink record
	out := run(address, false, &sink)
	assert.True(t, out.Whole)
	assert.Equal(t, "hello", sink.body.String())
	assert.Equal(t, http.StatusOK, sink.head.Status)
}

func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		stream  bool
		sink    record
		want    Outcome
	}{
		{"another attempt's answer", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(AttemptHeader, "other") },
			false, record{}, Outcome{Reason: admission.AnswerCrossed}},
		{"served, and leaving", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(LeavingHeader, "true") },
			false, record{}, Outcome{Whole: true, Begun: true, Leaving: true}},
		{"asks for rest", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "3")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, false, record{}, Outcome{Whole: true, Begun: true, Rest: 3 * time.Second}},
		{"end unknown", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Transfer-Encoding", "identity")
			_, _ = io.WriteString(w, "some")
		}, false, record{}, Outcome{Whole: true, EndUnknown: true, Begun: true}},
		{"leaving", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(LeavingHeader, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, false, record{}, Outcome{NotRun: true, Leaving: true, Reason: admission.TargetLeaving}},
		{"no answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			false, record{}, Outcome{Reason: admission.TargetFailed}},
		{"half a body", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, false, record{}, Outcome{Begun: true, Reason: admission.StreamBroken}},
		{"a stream without its end marker", func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(ResumeHeader) != "" {
				w.WriteHeader(http.StatusConflict)
				return
			}
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "data: a\n\n")
		}, true, record{}, Outcome{Begun: true, Resumed: 1, Reason: admission.StreamBroken}},
		{"the caller left", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "body") },
			false, record{fail: errors.New("gone")}, Outcome{Begun: true, Reason: admission.CallerGone}},
	} {
		out := run(target(t, c.handler), c.stream, &c.sink)
		out.Err = nil
		assert.Equal(t, c.want, out, c.name)
	}
}

func TestUnreachableDidNotRun(t *testing.T) {
	listener, err := faulty.Listen()
	require.NoError(t, err)
	address := listener.Addr().String()
	listener.Close()
	out := run(address, false, &record{})
	assert.True(t, out.NotRun)
	assert.True(t, out.Unreachable)
}

// Guards against a router whose own path is lost and that takes its targets to have ended.
func TestEnded(t *testing.T) {
	listener, err := faulty.Listen()
	require.NoError(t, err)
	defer listener.Close()
	open := listener.Addr().String()
	for name, c := range map[string]struct {
		address string
		others  []string
		ended   bool
	}{
		"it listens":            {open, []string{open}, false},
		"there is no other":     {"127.0.0.1:1", nil, true},
		"another one listens":   {"127.0.0.1:1", []string{"127.0.0.1:2", open}, true},
		"the others refuse too": {"127.0.0.1:1", []string{"127.0.0.1:2", "127.0.0.1:3"}, false},
	} {
		assert.Equal(t, c.ended, Ended(t.Context(), c.address, c.others), name)
	}
}

// TestTheLibraryRepeatsNothing guards against net/http, which repeats a request
// that carries an Idempotency-Key when a reused connection breaks.
func TestTheLibraryRepeatsNothing(t *testing.T) {
	var runs atomic.Int64
	address := target(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if runs.Add(1) > 1 {
			panic(http.ErrAbortHandler) // after the run, without an answer
		}
	})
	d := New(time.Second)
	for _, body := range [][]byte{[]byte("x"), nil} {
		runs.Store(0)
		request := Request{Method: http.MethodPost, Address: address, Path: "/", Body: body, Key: "k", Attempt: NewAttempt()}
		require.True(t, d.Run(context.Background(), request, &record{}).Whole)
		out := d.Run(context.Background(), request, &record{}) // on the same connection
		assert.False(t, out.NotRun)
		assert.EqualValues(t, 2, runs.Load(), "the second was sent once")
	}
}

func TestSilentTargetIsGivenUp(t *testing.T) {
	release := make(chan struct{})
	address := target(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	r := Request{Method: http.MethodPost, Address: address, Path: "/", Attempt: NewAttempt()}
	// The same time bounds the connection, which is not what is tested.
	out := New(2*time.Second).Run(context.Background(), r, &record{})
	assert.False(t, out.Whole)
	assert.False(t, out.NotRun)
}

func TestAChatThatWasGivenUpIsNotDeliveredLater(t *testing.T) {
	target, err := faulty.NewNarrow()
	require.NoError(t, err)
	defer target.Close()
	ctx, giveUp := context.WithCancel(t.Context())
	go func() {
		target.Begun()
		giveUp()
	}()
	request := Request{Method: http.MethodPost, Address: target.Address(), Path: "/", Attempt: "a", Body: make([]byte, 1<<17)}
	out := New(time.Minute).Run(ctx, request, &record{})
	assert.False(t, out.NotRun)
	assert.ErrorIs(t, target.Rest(), syscall.ECONNRESET)
}

func TestEventsArePassedWhole(t *testing.T) {
	text := "data: a\n\n: note\r\n\r\ndata: " + strings.Repeat("x", 40_000) + "\n\ndata: [DONE]\n\n"
	address := target(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
		_, _ = io.WriteString(w, text+"data: after the end\n\n")
	})
	var sink record
	out := run(address, true, &sink)
	assert.True(t, out.Whole)
	assert.Equal(t, text, sink.body.String())
}

// discard is a Sink that takes everything.
type discard struct{}

func (discard) Head(Head) error    { return nil }
func (discard) Chunk([]byte) error { return nil }

// BenchmarkPassEvents passes a stream of 200 events on, each read alone; the
// allocations reported are of one stream.
func BenchmarkPassEvents(b *testing.B) {
	const events = 200
	event := `data: {"id":"x","choices":[{"index":0,"delta":{"content":"word "}}]}` + "\n\n"
	text := strings.Repeat(event, events) + "data: [DONE]\n\n"
	b.ReportAllocs()
	for b.Loop() {
		a := &attempt{dispatcher: new(Dispatcher), sink: discard{}, request: Request{Stream: true}}
		if err := a.passEvents(&stepReader{text: text, step: len(event)}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/events, "ns/event")
}

// stepReader gives its text in pieces, as events arrive.
type stepReader struct {
	text string
	step int
}

func (r *stepReader) Read(p []byte) (int, error) {
	if r.text == "" {
		return 0, io.EOF
	}
	n := copy(p, r.text[:min(r.step, len(r.text))])
	r.text = r.text[n:]
	return n, nil
}
