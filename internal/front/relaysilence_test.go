package front

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/upstream"
)

// Guards against a stream that is cut as if its time were over because its answer, by another
// router, begins at the moment at which the wait for it ends.
func TestRelayedStreamGoesOnAfterSilence(t *testing.T) {
	for name, c := range map[string]struct {
		events string
		want   relayResult
	}{
		"between events": {"id: 1\ndata: a\n\n", relayRetry},
		"within one":     {"id: 1\nda", relayRetry},
	} {
		t.Run(name, func(t *testing.T) {
			other, _ := rawReplica(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nTry: id-1\r\nRelay-Replica: r0\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(c.events), c.events))
			r := newRig(t, "127.0.0.1:1")
			ctx, cancel := context.WithCancelCause(t.Context())
			answer, err := r.front.pool.Do(ctx, other, &upstream.Request{Method: http.MethodPost, URI: "/resumable/x", Host: "h", ID: "id-1", Header: http.Header{}})
			require.NoError(t, err)
			defer answer.Close()
			caller := newCall(r.front, httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "http://h/resumable/x", nil), time.Now())
			table := r.holder.Current().Table
			caller.route, caller.service, caller.deadline = table.Match("h", "/resumable/x"), table.Service("s"), time.Now().Add(time.Minute)
			time.AfterFunc(50*time.Millisecond, func() { cancel(errSilent) })
			// A call that is cut ends in a panic.
			result := relayFinished
			func() {
				defer func() { _ = recover() }()
				result = caller.forwardRelayed(ctx, answer)
			}()
			assert.Equal(t, c.want, result)
		})
	}
}
