package jsonclient

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
)

func TestAReadOnANewConnectionHasItsWholeTime(t *testing.T) {
	tests := map[string]struct {
		left time.Duration
		kept time.Duration
	}{
		"a part of the time":                {2 * time.Second, 800 * time.Millisecond},
		"no less than a slow store needs":   {500 * time.Millisecond, 300 * time.Millisecond},
		"no bound, nothing to take it from": {0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.kept, keptTime(test.left))
		})
	}
}

func TestStatusesAreReported(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusGone)
	}))
	t.Cleanup(server.Close)
	client := New(server.URL, time.Second, time.Second)
	_, err := client.Get(t.Context(), "/a", nil, nil)
	assert.True(t, HasStatus(err, http.StatusGone))
	assert.False(t, HasStatus(err, http.StatusConflict))
	require.ErrorContains(t, err, "/a: status 410")
	assert.True(t, HasStatus(client.Post(t.Context(), "/b", 1, nil), http.StatusGone))
}

// Guards against a service that exhausts the process's memory by an answer without an end.
func TestEndlessAnswersAreReadUpToALimit(t *testing.T) {
	// most is the largest answer and the buffers of both systems.
	const most = maxAnswer + 16<<20
	for name, test := range map[string]struct{ begin, piece string }{
		"header lines":    {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"one header line": {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"no HTTP":         {"", "x"},
		"body":            {"HTTP/1.1 200 OK\r\n\r\n", " "},
		"chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat(" ", 0x400) + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			server, err := faulty.NewEndless(test.begin, test.piece)
			require.NoError(t, err)
			t.Cleanup(server.Close)
			c := New("http://"+server.Address(), time.Minute, time.Minute)
			var into any
			_, err = c.Get(t.Context(), "/", nil, &into)
			assert.Error(t, err)
			assert.Error(t, c.Post(t.Context(), "/", "x", &into))
			assert.Error(t, GetOnce(t.Context(), "http://"+server.Address(), func(*http.Response) {}, &into))
			for range 3 {
				<-server.Closed()
			}
			assert.LessOrEqual(t, server.Sent(), int64(3*most))
		})
	}
}
