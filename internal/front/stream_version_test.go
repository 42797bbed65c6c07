package front

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/front/relayheader"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/route"
)

// chunkedStreamHead begins a stream in chunks.
const chunkedStreamHead = "HTTP/1.1 200 OK\r\nTry: id-1\r\nSign: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// newHeadOnlyRig returns a rig whose first choice sends the head of a stream and breaks off
// before any event; the other replicas serve whole streams.
func newHeadOnlyRig(t *testing.T, versions ...string) *rig {
	t.Helper()
	head, _ := rawReplica(t, fmt.Sprintf(chunkedStreamHead, versions[0])+"!")
	addresses := []string{head}
	for _, version := range versions[1:] {
		whole, _ := rawReplica(t, fmt.Sprintf(chunkedStreamHead, version)+chunk("id: 1\ndata: "+version+"\n\n")+"0\r\n\r\n")
		addresses = append(addresses, whole)
	}
	r := newRig(t, addresses...)
	r.setVersions(t, versions...)
	for i := range versions[1:] {
		r.front.balancer.RequestFailed(fmt.Sprint("r", i+1), balance.Shed, "here", steady.Now().Add(10*time.Second))
	}
	return r
}

// Guards against an answer whose head is of one software version and whose events are of another:
// its first replica broke off between the two.
func TestStreamGoesOnAtVersionOfItsHead(t *testing.T) {
	for range 10 {
		response, text, err := newHeadOnlyRig(t, "v1", "v2", "v1", "v2").send(t, "POST", "/resumable/", "")
		require.NoError(t, err)
		assert.Equal(t, "id: 1\ndata: "+response.Header.Get("Sign")+"\n\n", text)
	}
}

// Guards against a relayed answer that is stated to be of the version of its head and holds events
// of another: the first router would record that version and go on at it.
func TestRelayedStreamIsOfStatedVersion(t *testing.T) {
	r := newHeadOnlyRig(t, "v1", "v2")
	other := httptest.NewServer(http.HandlerFunc(r.front.ServeRelayed))
	t.Cleanup(other.Close)
	r.server = other
	response, text, err := r.send(t, "POST", "/resumable/", "", relayheader.Attempts, "2", relayheader.Service, "s", relayheader.Organisation, "acme", relayheader.Origin, "")
	require.NoError(t, err)
	assert.Equal(t, "id: 1\ndata: "+response.Header.Get(relayheader.Version)+"\n\n", text)
}

// A stream goes on behind the last event only if that event's id says where: another replica would
// send again what its caller has.
func TestStreamResumesBehindItsLastEvent(t *testing.T) {
	for name, test := range map[string]struct {
		events string
		// after is the event behind which it goes on, or "" if it cannot.
		after string
	}{
		"a comment":                {"id: 1\ndata: a\n\n: alive\n\n", "1"},
		"a comment in the event":   {": alive\nid: 1\n: alive\ndata: a\n\n", "1"},
		"a field of retries":       {"id: 1\ndata: a\n\nretry: 100\n\n", "1"},
		"an id behind the data":    {"data: a\nid: 1\n\n", "1"},
		"an id without a space":    {"id:1\ndata: a\n\n", "1"},
		"an id that is no number":  {"id: a-1\ndata: a\n\n", "a-1"},
		"two ids in an event":      {"id: 1\nid: 2\ndata: a\n\n", "2"},
		"lines that end in CR LF":  {"id: 1\r\ndata: a\r\n\r\n", "1"},
		"a version line":           {"weight-versions: 2\nid: 1\ndata: a\n\n", "1"},
		"an event without an id":   {"id: 1\ndata: a\n\ndata: b\n\n", ""},
		"no ids":                   {"data: a\n\n", ""},
		"an empty id":              {"id: 1\ndata: a\n\nid:\ndata: b\n\n", ""},
		"an id without a colon":    {"id: 1\ndata: a\n\nid\ndata: b\n\n", ""},
		"an id again after none":   {"data: a\n\nid: 2\ndata: b\n\n", "2"},
		"an empty id without data": {"id: 1\ndata: a\n\nid:\n\n", "1"},
		"an id without data":       {"id: 1\ndata: a\n\nid: 2\n\n", "2"},
		"an id in a long line":     {"id: 1\ndata: " + strings.Repeat("x", maxEvent-len("data: ")) + "id: 7\n\n", "1"},
	} {
		t.Run(name, func(t *testing.T) {
			asked := make(chan *http.Request, 2)
			serve := inTurn(t, asked, fmt.Sprintf(chunkedStreamHead, "s")+chunk(test.events)+"!", fmt.Sprintf(chunkedStreamHead, "s")+chunk("id: 9\ndata: z\n\n")+"0\r\n\r\n")
			first, _ := replica(t, serve)
			second, _ := replica(t, serve)
			_, text, err := newRig(t, first, second).send(t, "POST", "/resumable/", "")
			<-asked
			if test.after == "" {
				assert.Error(t, err)
				assert.True(t, test.events == text, "%.100q", text)
				assert.Empty(t, asked)
				return
			}
			require.NoError(t, err)
			assert.True(t, test.events+"id: 9\ndata: z\n\n" == text, "%.100q", text)
			assert.Equal(t, test.after, (<-asked).Header.Get("Last-Event-Id"))
		})
	}
}

// An event whose lines end in CR alone reaches its caller as it arrives.
func TestStreamOfCarriageReturnsIsForwarded(t *testing.T) {
	const first, last = "id: 1\rdata: a\r\r", "id: 2\rdata: b\r\r"
	forwarded := make(chan struct{})
	one, _ := replica(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, first)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-forwarded:
		case <-time.After(time.Second):
		}
		fmt.Fprint(w, last)
	})
	_, text, err := newRig(t, one).send(t, "POST", "/resumable/", "")
	require.NoError(t, err)
	assert.Equal(t, first+last, text)
}

// Guards against an answer that goes on at another service of the same version, to which the operator led
// the route meanwhile.
func TestStreamGoesOnAtItsServiceWithinAnswer(t *testing.T) {
	const begun = "id: 1\ndata: a\n\n"
	other, arrivals := replica(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "id: 2\ndata: b\n\n")
	})
	var r *rig
	address, _ := replica(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, begun)
		_ = http.NewResponseController(w).Flush()
		r.source.mu.Lock()
		snapshot := changedSnapshot(r, func(c *route.Config) {
			c.Services = append(c.Services, route.Service{Name: "other"})
			for i := range c.Routes {
				c.Routes[i].Shares = []route.Share{{Service: "other", Weight: 1}}
			}
		})
		r.source.snapshot = snapshot
		r.source.mu.Unlock()
		assert.NoError(t, r.watcher.ApplySnapshot(snapshot, time.Now()))
		panic(http.ErrAbortHandler)
	})
	r = newRig(t, address)
	r.addReplicas(t, directory.Replica{ID: "o0", Service: "other", Address: other, DataCentre: "here", Version: "v1"})
	r.setVersions(t, "v1", "v1")
	_, text, err := r.send(t, "POST", "/resumable/", "")
	assert.Error(t, err, "the answer looks complete")
	assert.Equal(t, begun, text)
	assert.Zero(t, arrivals.Load())
}
