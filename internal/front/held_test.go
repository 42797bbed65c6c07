package front

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/faulty"
	"github.com/croftyard/croftyard/internal/front/memory"
)

// chunked hides the length of a text, so that the client sends it chunked.
type chunked struct{ io.Reader }

// post starts a call with a body and returns its answer, or nil if it ended without one.
func (r *rig) post(ctx context.Context, path string, body io.Reader) *http.Response {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.server.URL+path, body)
	if err != nil {
		return nil
	}
	request.Host = "h"
	request.Header.Set("Try", "id-1")
	request.Header.Set("Authorization", "Key k1")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response
}

// Guards against bytes that stay reserved after a call, on each way in which a call can end.
func TestHeldBytesReleasedAtEnd(t *testing.T) {
	large := strings.Repeat("x", 200<<10)
	ok := completeAnswer("id-1", "ok")
	for name, test := range map[string]struct {
		path, answer string
		body         func() io.Reader
		// leave ends the call from the caller's side once the replica has it.
		leave  bool
		status int
	}{
		"served":                         {"/once/x", ok, nil, false, 200},
		"served, chunked":                {"/once/x", ok, func() io.Reader { return chunked{strings.NewReader(large)} }, false, 200},
		"chunked and too large":          {"/once/x", ok, func() io.Reader { return chunked{strings.NewReader(strings.Repeat(large, 6))} }, false, 413},
		"no room, chunked":               {"/once/x", ok, func() io.Reader { return chunked{strings.NewReader(strings.Repeat(large, 4))} }, false, 503},
		"no room":                        {"/once/x", ok, func() io.Reader { return strings.NewReader(strings.Repeat(large, 4)) }, false, 503},
		"not taken":                      {"/once/x", "HTTP/1.1 503 Busy\r\nTry: id-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", nil, false, 503},
		"broken off before the head":     {"/once/x", "!", nil, false, 502},
		"broken off in the body":         {"/once/x", "HTTP/1.1 200 OK\r\nTry: id-1\r\nContent-Length: 9\r\n\r\nx!", nil, false, 0},
		"repeated elsewhere":             {"/repeat/x", "!", nil, false, 502},
		"replica's error":                {"/once/x", "HTTP/1.1 500 Oops\r\nTry: id-1\r\nContent-Length: 0\r\n\r\n", nil, false, 500},
		"deadline":                       {"/short/x", "", nil, false, 504},
		"caller leaves before the head":  {"/once/x", "", nil, true, 0},
		"caller leaves within the body":  {"/once/x", "HTTP/1.1 200 OK\r\nTry: id-1\r\nContent-Length: 9\r\n\r\nx", nil, true, 0},
		"stream broken off and repeated": {"/resumable/x", "HTTP/1.1 200 OK\r\nTry: id-1\r\nContent-Type: text/event-stream\r\n\r\nid: 1\n\nid: 2!", nil, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			first, seen := rawReplica(t, test.answer)
			second, seenToo := rawReplica(t, test.answer)
			r := newRig(t, first, second)
			limit := int64(1 << 20)
			if strings.HasPrefix(name, "no room") {
				limit = 512 << 10
			} else if test.status == http.StatusRequestEntityTooLarge {
				limit = 8 << 20
			}
			r.front.SetHeldBytes(limit)
			body := io.Reader(strings.NewReader(large))
			if test.body != nil {
				body = test.body()
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if test.leave {
				go func() {
					select {
					case <-seen:
					case <-seenToo:
					}
					assert.GreaterOrEqual(t, r.front.Held().Used(), int64(len(large)))
					cancel()
				}()
			}
			status := 0
			if response := r.post(ctx, test.path, body); response != nil {
				status = response.StatusCode
			}
			if test.status != 0 {
				assert.Equal(t, test.status, status)
			}
			waitUntil(t, func() bool { return r.front.ActiveRequests() == 0 })
			assert.Zero(t, r.front.Held().Used())
		})
	}
}

// Guards against a body that is never complete keeping its bytes when its caller leaves.
func TestHeldBytesReleasedIfBodyIncomplete(t *testing.T) {
	address, arrivals := replica(t, func(http.ResponseWriter, *http.Request) {})
	r := newRig(t, address)
	r.front.SetHeldBytes(1 << 20)
	for _, framing := range []string{"Content-Length: 50000", "Transfer-Encoding: chunked"} {
		caller := dial(t, r.server.Listener.Addr().String())
		_, err := io.WriteString(caller, "POST /once/x HTTP/1.1\r\nHost: h\r\nTry: id-1\r\nAuthorization: Key k1\r\n"+framing+"\r\n\r\n1000\r\nx")
		require.NoError(t, err)
		waitUntil(t, func() bool { return r.front.Held().Used() > 0 })
		caller.Close()
		waitUntil(t, func() bool { return r.front.ActiveRequests() == 0 })
		assert.Zero(t, r.front.Held().Used())
	}
	assert.Zero(t, arrivals.Load())
}

// Guards against bodies past the limit being read or sent, against refusing small bodies while
// only large ones fill the budget, and against a budget that does not recover.
func TestFullBudgetRefusesAndRecovers(t *testing.T) {
	const limit, fills = 256 << 10, 200 << 10
	begun, finish := make(chan struct{}), make(chan struct{})
	address, arrivals := replica(t, func(_ http.ResponseWriter, r *http.Request) {
		if body, _ := io.ReadAll(r.Body); len(body) == fills {
			begun <- struct{}{}
			<-finish
		}
	})
	r := newRig(t, address)
	var written bytes.Buffer
	r.front.log = event.New(&written, "here", logrus.InfoLevel)
	r.front.held = memory.NewPool(r.front.log)
	r.front.SetHeldBytes(limit)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.post(t.Context(), "/once/x", strings.NewReader(strings.Repeat("x", fills)))
	}()
	<-begun
	large := strings.Repeat("y", 60<<10)
	for _, body := range []io.Reader{strings.NewReader(large), chunked{strings.NewReader(large)}, strings.NewReader(large)} {
		response := r.post(t.Context(), "/once/x", body)
		require.NotNil(t, response)
		assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		assert.NotEmpty(t, response.Header.Get("Retry-After"))
	}
	assert.EqualValues(t, 1, arrivals.Load(), "nothing refused was sent")
	assert.Equal(t, http.StatusOK, r.post(t.Context(), "/once/x", strings.NewReader("small")).StatusCode)
	finish <- struct{}{}
	<-ended
	waitUntil(t, func() bool { return r.front.ActiveRequests() == 0 })
	assert.Equal(t, http.StatusOK, r.post(t.Context(), "/once/x", strings.NewReader(large)).StatusCode)
	waitUntil(t, func() bool { return r.front.ActiveRequests() == 0 })
	assert.Equal(t, 1, strings.Count(written.String(), fmt.Sprintf(`"event":%d`, event.MemoryFull)), written.String())
	assert.Equal(t, 1, strings.Count(written.String(), fmt.Sprintf(`"event":%d`, event.MemoryFree)))
}

// stuckReplica accepts requests and reads nothing of them.
func stuckReplica(t *testing.T) (address string, accepted chan struct{}) {
	t.Helper()
	listener, err := faulty.Listen()
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	accepted = make(chan struct{}, 16)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			// A small buffer, so that the body cannot end up in it.
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			t.Cleanup(func() { c.Close() })
			accepted <- struct{}{}
		}
	}()
	return listener.Addr().String(), accepted
}

// Guards against a call waiting until its deadline for a replica that stops reading its body,
// and against sending it elsewhere if it may run only once.
func TestReplicaThatStopsReadingIsPassedOver(t *testing.T) {
	body := strings.Repeat("x", 1<<20)
	for _, test := range []struct {
		path   string
		status int
	}{{"/repeat/x", http.StatusOK}, {"/short/x", http.StatusGatewayTimeout}} {
		address, arrivals := replica(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
		stuck, accepted := stuckReplica(t)
		r := newRig(t, stuck)
		r.front.SetHeldBytes(2 << 20)
		done := make(chan int)
		go func() { done <- r.post(t.Context(), test.path, strings.NewReader(body)).StatusCode }()
		<-accepted
		listed := r.source.snapshot.Replicas[0]
		listed.ID, listed.Address = "r1", address
		r.addReplicas(t, listed)
		assert.Equal(t, test.status, <-done)
		waitUntil(t, func() bool { return r.front.ActiveRequests() == 0 })
		assert.Equal(t, test.status == http.StatusOK, arrivals.Load() == 1, "sent elsewhere only if it may be")
		assert.Zero(t, r.front.Held().Used())
	}
}

// Guards against a refused call that lasts as long as its caller holds back the body: nothing
// ended it.
func TestRefusalDoesNotWaitForBody(t *testing.T) {
	r := newRig(t)
	caller := dial(t, r.server.Listener.Addr().String())
	_, err := io.WriteString(caller, "POST /once/x HTTP/1.1\r\nHost: h\r\nTry: id-1\r\nAuthorization: Key other\r\nContent-Length: 9\r\n\r\nx")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	require.NoError(t, err)
	assert.GreaterOrEqual(t, response.StatusCode, 400)
	waitUntil(t, func() bool { return r.front.ActiveRequests() == 0 })
}

// Guards against buffering an event of any length, against charging what is no longer held, and
// against resuming within an event of which the caller already has a piece.
func TestLongEventsForwardedInPieces(t *testing.T) {
	line := "data: " + strings.Repeat("x", 100<<10) + "\n"
	for name, test := range map[string]struct {
		events string
		whole  bool
	}{
		"many lines":    {"id: 1\n" + strings.Repeat(line, 25) + "\nid: 2\ndata: b\n\n", true},
		"one line":      {"id: 1\ndata: " + strings.Repeat("x", 3<<20) + "\n\nid: 2\ndata: b\n\n", true},
		"breaks within": {"id: 1\n" + strings.Repeat(line, 25), false},
	} {
		t.Run(name, func(t *testing.T) {
			first, seen := rawReplica(t, streamHead+test.events+"!")
			second, seenToo := rawReplica(t, streamHead+test.events+"!")
			r := newRig(t, first, second)
			_, text, err := r.send(t, "POST", "/resumable/", "")
			assert.Equal(t, test.whole, err == nil)
			assert.Equal(t, 1, len(seen)+len(seenToo))
			if test.whole {
				assert.True(t, test.events == text, "unchanged, %d bytes of %d", len(text), len(test.events))
			}
			waitUntil(t, func() bool { return r.front.ActiveRequests() == 0 })
			assert.Zero(t, r.front.Held().Used())
		})
	}
}

// Guards against taking the end of a line that fills the reader's buffer for the end of its
// event: the stream then resumed behind an event that the caller had not got.
func TestFullBufferDoesNotEndEvent(t *testing.T) {
	cut := streamHead + "id: 1\ndata: a\n\nid: 2\ndata: " + strings.Repeat("x", 4096-len("data: ")) + "\n!"
	first, seen := rawReplica(t, cut)
	second, seenToo := rawReplica(t, cut)
	_, _, err := newRig(t, first, second).send(t, "POST", "/resumable/", "")
	require.Error(t, err)
	for _, asked := range []*http.Request{<-seen, <-seenToo} {
		assert.NotEqual(t, "2", asked.Header.Get("Last-Event-Id"))
	}
}

// Guards against events without an end that together take the memory of the router.
func TestLongEventIsForwardedInPiecesWhileMemoryIsScarce(t *testing.T) {
	for name, test := range map[string]struct {
		limit int64
		sent  int
	}{
		"scarce": {smallEvent, 8 * smallEvent},
		"ample":  {1 << 30, maxEvent + smallEvent},
	} {
		t.Run(name, func(t *testing.T) {
			written, release := make(chan struct{}), make(chan struct{})
			defer close(release)
			address, _ := replica(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				fmt.Fprint(w, "data: "+strings.Repeat("x", test.sent))
				_ = http.NewResponseController(w).Flush()
				close(written)
				<-release
			})
			r := newRig(t, address)
			r.front.SetHeldBytes(test.limit)
			request, err := http.NewRequest(http.MethodPost, r.server.URL+"/resumable/x", nil)
			require.NoError(t, err)
			request.Host = "h"
			request.Header.Set("Try", "id-1")
			request.Header.Set("Authorization", "Key k1")
			response, err := http.DefaultTransport.RoundTrip(request)
			require.NoError(t, err)
			defer response.Body.Close()
			<-written
			_, err = io.ReadFull(response.Body, make([]byte, smallEvent))
			assert.NoError(t, err, "before the event has ended")
		})
	}
}
