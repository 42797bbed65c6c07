package admin

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/event"
)

// Guards against an operator whose order to stop gets no answer since the router, which
// has nothing in flight, ends at once.
func TestAnOrderToStopIsAnsweredBeforeTheRouterEnds(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var a *Admin
	a = New(Subject{State: func() any { return nil }}, event.Discard(), func() { a.Close() })
	served := make(chan error, 1)
	go func() { served <- a.Serve(listener) }()
	response, err := http.Post("http://"+listener.Addr().String()+"/drain", "", nil)
	require.NoError(t, err)
	defer response.Body.Close()
	assert.Equal(t, http.StatusAccepted, response.StatusCode)
	assert.NoError(t, <-served)
}
