package front

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/internal/event"
)

// ends serves requests with a handler on a listener that the handler may close.
func ends(t *testing.T, handler func(l net.Listener, w http.ResponseWriter)) string {
	t.Helper()
	server := httptest.NewUnstartedServer(nil)
	server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Try", r.Header.Get("Try"))
		handler(server.Listener, w)
		panic(http.ErrAbortHandler)
	})
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestAReplicaThatEndedIsToldFromAnAnswerThatWasLost(t *testing.T) {
	tests := map[string]struct {
		handler func(l net.Listener, w http.ResponseWriter)
		ended   bool
	}{
		"no answer, it serves on": {handler: func(net.Listener, http.ResponseWriter) {}},
		"half an answer, it serves on": {handler: func(_ net.Listener, w http.ResponseWriter) {
			_, _ = w.Write([]byte("half"))
			_ = http.NewResponseController(w).Flush()
		}},
		"no answer, it ended": {handler: func(l net.Listener, _ http.ResponseWriter) { l.Close() }, ended: true},
		"half an answer, it ended": {handler: func(l net.Listener, w http.ResponseWriter) {
			_, _ = w.Write([]byte("half"))
			_ = http.NewResponseController(w).Flush()
			l.Close()
		}, ended: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, ends(t, test.handler))
			_, _, _ = r.send(t, http.MethodPost, "/single/x", "body")
			if test.ended {
				for r.log.Count(event.ReplicaEnded) == 0 {
					time.Sleep(time.Millisecond)
				}
			}
			assert.Equal(t, test.ended, r.front.ended("r0", r.source.snapshot.Replicas[0].Address))
			assert.Equal(t, test.ended, r.log.Count(event.ReplicaEnded) == 1)
		})
	}
}
