package jsonclient

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
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
