package front

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/relay"
	"github.com/croftyard/croftyard/pkg/route"
)

const streamHead = "HTTP/1.1 200 OK\r\nTry: id-1\r\nSign: s\r\nContent-Type: text/event-stream\r\n\r\n"

func TestResumableStreamResumesElsewhere(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTry: id-1\r\nSign: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n"
	events, last := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", "id: 3\ndata: c\n\n"
	cut := fmt.Sprintf(head, "first", len(events), events)
	rest := fmt.Sprintf(head, "second", len(last), last) + "0\r\n\r\n"
	// The first replica to get the request breaks off; the other one resumes.
	asked := make(chan *http.Request, 2)
	serve := inTurn(t, asked, cut, rest)
	first, _ := replica(t, serve)
	second, _ := replica(t, serve)
	r := newRig(t, first, second)
	response, text, err := r.send(t, "POST", "/resumable/", "")
	require.NoError(t, err)
	assert.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", text)
	assert.Equal(t, "first", response.Header.Get("Sign"))
	require.Len(t, asked, 2)
	<-asked
	assert.Equal(t, "2", (<-asked).Header.Get("Last-Event-Id"))
}

func TestNonResumableStreamAborted(t *testing.T) {
	broken := "HTTP/1.1 200 OK\r\nTry: id-1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nid: 1\n\n\r\n!"
	first, seen := rawReplica(t, broken)
	second, seenToo := rawReplica(t, broken)
	_, _, err := newRig(t, first, second).send(t, "POST", "/stream/", "")
	assert.Error(t, err)
	assert.Equal(t, 1, len(seen)+len(seenToo))
}

// silentReplica is a replica whose first stream falls silent behind its first event.
type silentReplica struct {
	// hangs: it does not answer health checks any more. gone: it takes no connections any more.
	// cut: nothing arrives on the connection any more, while new ones work.
	hangs, gone, cut bool
	// silence is how long the stream is silent before it goes on; it does not if this is 0.
	silence time.Duration
	// late is how long the next replica to be asked takes to answer.
	late time.Duration
}

const healthPath = "/health"

// startSilentReplicas starts three replicas that count the streams they are asked for. The first one
// to be asked falls silent, once then was called with the names of the others.
func startSilentReplicas(t *testing.T, silent silentReplica, then func(others []string)) (r *rig, asked *atomic.Int32) {
	t.Helper()
	const first, last = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	asked = new(atomic.Int32)
	names := []string{"r0", "r1", "r2"}
	var hung atomic.Pointer[string]
	listeners := make(map[string]net.Listener)
	handler := func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path == healthPath {
			if name := hung.Load(); name != nil && listeners[*name].Addr().String() == request.Host {
				<-request.Context().Done()
			}
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		w.Header().Set("Try", request.Header.Get("Try"))
		w.Header().Set("Content-Type", "text/event-stream")
		if n := asked.Add(1); n > 1 {
			assert.Equal(t, "1", request.Header.Get("Last-Event-Id"))
			if n == 2 {
				time.Sleep(silent.late)
			}
			fmt.Fprint(w, last)
			return
		}
		own := request.Header.Get("Want")
		if silent.hangs {
			hung.Store(&own)
		}
		if silent.gone {
			listeners[own].Close()
		}
		then(slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == own }))
		fmt.Fprint(w, first)
		_ = http.NewResponseController(w).Flush()
		if silent.cut {
			c, _, err := http.NewResponseController(w).Hijack()
			if assert.NoError(t, err) {
				t.Cleanup(func() { c.Close() })
				assert.NoError(t, faulty.Silence(c))
			}
			return
		}
		if silent.silence > 0 {
			select {
			case <-request.Context().Done():
			case <-time.After(silent.silence):
				fmt.Fprint(w, last)
			}
			return
		}
		<-request.Context().Done()
	}
	var addresses []string
	for _, name := range names {
		server := serve(t, http.HandlerFunc(handler))
		listeners[name] = server.Listener
		addresses = append(addresses, server.Listener.Addr().String())
	}
	return newRig(t, addresses...), asked
}

// Guards against a stream that stays with a replica that is silent and cannot be reached, and
// against one that goes on at a second replica while the first one, which is reached, may go on with it.
func TestSilentResumableStreamResumesElsewhere(t *testing.T) {
	const pause = 2500 * time.Millisecond
	tests := map[string]struct {
		replica silentReplica
		path    string
		asked   int32
	}{
		"gone":                       {silentReplica{gone: true}, "", 2},
		"gone, with health checks":   {silentReplica{gone: true}, healthPath, 2},
		"hangs":                      {silentReplica{hangs: true}, healthPath, 2},
		"connection cut":             {silentReplica{cut: true}, "", 2},
		"gone, the next one is late": {silentReplica{gone: true, late: pause}, "", 2},
		"sound":                      {silentReplica{silence: pause}, "", 1},
		"sound, with health checks":  {silentReplica{silence: pause}, healthPath, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, asked := startSilentReplicas(t, test.replica, func([]string) {})
			r.setHealthPath(t, test.path)
			_, text, err := r.send(t, "POST", "/resumable/", "")
			require.NoError(t, err)
			assert.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", text)
			assert.Equal(t, test.asked, asked.Load())
		})
	}
}

// changeServices changes the services of the configuration.
func (r *rig) changeServices(t *testing.T, services ...route.Service) {
	t.Helper()
	r.source.mu.Lock()
	config := *r.source.snapshot.Config
	config.Version++
	config.Services = services
	r.source.snapshot.Config = &config
	snapshot := r.source.snapshot
	r.source.mu.Unlock()
	require.NoError(t, r.watcher.ApplySnapshot(snapshot, time.Now()))
}

func (r *rig) setHealthPath(t *testing.T, path string) {
	t.Helper()
	r.changeServices(t, route.Service{Name: "s", HealthPath: path})
}

// useEngines makes the replicas of the rig engines with slots.
func (r *rig) useEngines(t *testing.T, slots int) {
	t.Helper()
	r.source.mu.Lock()
	r.source.snapshot.Replicas = slices.Clone(r.source.snapshot.Replicas)
	for i := range r.source.snapshot.Replicas {
		r.source.snapshot.Replicas[i].Slots = slots
	}
	r.source.mu.Unlock()
	r.changeServices(t, route.Service{Name: "s", Engine: &route.Engine{Slots: slots, Capacity: 1 << 20, TokenBytes: 1}})
}

// Guards against a stream that is ended because it is silent, although no other replica has room for
// it: its caller loses what it would have got by waiting.
func TestSilentStreamIsKeptUntilAnotherReplicaHasRoom(t *testing.T) {
	const slots = 4
	const silence = 1800 * time.Millisecond
	for name, test := range map[string]struct {
		replica silentReplica
		asked   int32
	}{
		"the replica goes on":      {silentReplica{gone: true, silence: silence}, 1},
		"another replica has room": {silentReplica{gone: true}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var r *rig
			var asked *atomic.Int32
			r, asked = startSilentReplicas(t, test.replica, func(others []string) {
				for _, other := range others {
					for range 2 * slots {
						r.front.balancer.RequestStarted(other)
					}
				}
				if test.replica.silence > 0 {
					return
				}
				time.AfterFunc(silence, func() {
					for range 2 * slots {
						r.front.balancer.RequestFinished(others[0])
					}
				})
			})
			r.useEngines(t, slots)
			_, text, err := r.send(t, "POST", "/resumable/", "", "Parts", "x")
			require.NoError(t, err)
			assert.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", text)
			assert.Equal(t, test.asked, asked.Load())
		})
	}
}

// A stream that ends within an event was broken off, also on a route that does not resume, so
// its caller must not get it as complete.
func TestStreamEndingWithinEventIsAborted(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTry: id-1\r\nSign: s\r\nContent-Type: text/event-stream\r\n"
	const events = "id: 1\ndata: a\n\nid: 2\nda"
	for name, answer := range map[string]string{
		"closed":      head + "\r\n" + events + "!",
		"in chunks":   head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(events), events),
		"with length": head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(events), events),
	} {
		t.Run(name, func(t *testing.T) {
			first, _ := rawReplica(t, answer)
			_, text, err := newRig(t, first).send(t, "POST", "/stream/", "")
			assert.Error(t, err, "got %q as complete", text)
		})
	}
}

// A plain answer that breaks off on a route that resumes streams is not continued with the
// answer of another replica.
func TestBrokenPlainAnswerOfResumableRouteIsAborted(t *testing.T) {
	plain := "HTTP/1.1 200 OK\r\nTry: id-1\r\nContent-Type: application/json\r\nContent-Length: 50\r\n\r\n{!"
	stream := streamHead + "id: 1\ndata: a\n\n!"
	asked := make(chan *http.Request, 2)
	serve := inTurn(t, asked, plain, stream)
	first, _ := replica(t, serve)
	second, _ := replica(t, serve)
	_, text, err := newRig(t, first, second).send(t, "POST", "/resumable/", "")
	assert.Error(t, err)
	assert.Equal(t, "{", text)
	assert.Len(t, asked, 1)
}

// A router of an earlier build goes on with a relayed stream at any version and does not say at
// which. Its answer is not appended unless the list shows that the version is the same.
func TestRelayedStreamIsNotContinuedAtAnotherVersion(t *testing.T) {
	for name, test := range map[string]struct {
		replica   string
		continued bool
	}{
		"same version":    {"r1", true},
		"another version": {"r2", false},
		"not listed":      {"r9", false},
	} {
		t.Run(name, func(t *testing.T) {
			broken, _ := rawReplica(t, streamHead+"id: 1\ndata: a\n\nid: 2!")
			other, _ := rawReplica(t, "HTTP/1.1 200 OK\r\nTry: id-1\r\nRelay-Replica: "+test.replica+
				"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n")
			r := newRig(t, broken, "127.0.0.1:1", "127.0.0.1:1")
			r.setVersions(t, "v1", "v1", "v2")
			// The stream begins at the first replica, also on a busy machine: the others are avoided for
			// some ms after they are seen to be full.
			for _, id := range []string{"r1", "r2"} {
				r.front.balancer.RequestFailed(id, balance.Shed, "here", steady.Now().Add(10*time.Second))
			}
			r.front.options.RelayPool = r.front.pool
			r.front.options.Relays = func() []relay.Router { return []relay.Router{{Address: other, DataCentre: "here"}} }
			_, text, err := r.send(t, "POST", "/resumable/", "")
			assert.Equal(t, test.continued, strings.Contains(text, "data: b"), "%q, %v", text, err)
			assert.Equal(t, test.continued, err == nil)
		})
	}
}
