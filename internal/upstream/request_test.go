package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a second copy of each large body, and against a body that is cut or mixed up
// by being written apart from its head.
func TestLargeBodyIsNotCopied(t *testing.T) {
	here, there := net.Pipe()
	defer here.Close()
	got := make(chan int64, 1)
	go func() {
		request, err := http.ReadRequest(bufio.NewReader(there))
		if err != nil {
			got <- -1
			return
		}
		n, _ := io.Copy(io.Discard, request.Body)
		got <- n
	}()
	r := &Request{Method: http.MethodPost, URI: "/", Host: "h", Body: make([]byte, 8<<20)}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	wrote, _, err := (&conn{Conn: here}).send(r)
	require.NoError(t, err)
	assert.EqualValues(t, len(r.Body), <-got)
	require.NoError(t, <-wrote)
	runtime.ReadMemStats(&after)
	assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(len(r.Body)/2))
}
