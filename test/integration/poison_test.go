package integration

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/standin"
	"github.com/croftyard/croftyard/pkg/fleet"
)

// deadlyEngine ends with the first request that names death, and answers others.
func (c *cluster) deadlyEngine(t *testing.T, name string, ended *atomic.Int32) {
	t.Helper()
	usual := standin.NewEngine(name, standin.EngineOptions{}).Handler()
	var server *standin.Server
	var err error
	server, err = standin.Serve("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if strings.Contains(string(body), "death") {
			ended.Add(1)
			server.Close()
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		usual.ServeHTTP(w, r)
	}))
	require.NoError(t, err)
	t.Cleanup(server.Close)
	c.listEngine(name, server.Address, fleet.StateLive)
}

// The same class as with configured routes: a chat that crashed its engine was sent to the
// next one with each try of its caller.
func TestAChatThatCrashesEnginesIsSentNoMore(t *testing.T) {
	c := newCluster(t, 0, 1)
	var ended atomic.Int32
	for n := range 8 {
		c.deadlyEngine(t, fmt.Sprint("deadly-", n), &ended)
	}
	// Until the engines are known there is nothing that may crash.
	for ended.Load() < 3 {
		c.routers[0].post(t, chatPath, chatBody("death", true))
		time.Sleep(10 * time.Millisecond)
	}
	for range 20 {
		r := c.routers[0].post(t, chatPath, chatBody("death", true))
		assert.Contains(t, r.body, "crashes_target")
		assert.Equal(t, "no", r.header.Get("Croftyard-Ran"))
	}
	assert.EqualValues(t, 3, ended.Load())
	expectWhole(t, c.routers[0].post(t, chatPath, chatBody("alive", true)), "alive")
}
