package integration

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/standin"
)

// A router that is told to stop while it has no processor finds requests in the sockets
// of connections that its callers have kept.
func TestAStopAnswersWhatLiesUnread(t *testing.T) {
	c := newCluster(t, 4, 2)
	stopping := c.routers[0]
	body := chatBody("x", false)
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", chatPath, testKey, len(body), body)
	const callers = 20
	var conns []net.Conn
	var readers []*bufio.Reader
	for range callers {
		conn, err := net.Dial("tcp", stopping.callers)
		require.NoError(t, err)
		defer conn.Close()
		// A fault must end the test, not hold it.
		require.NoError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
		conns, readers = append(conns, conn), append(readers, bufio.NewReader(conn))
	}
	answers := func() (lost int) {
		for i := range conns {
			response, err := http.ReadResponse(readers[i], nil)
			if err != nil {
				lost++
				continue
			}
			_, err = readers[i].Discard(int(response.ContentLength))
			assert.NoError(t, err)
		}
		return lost
	}
	send := func() {
		for _, conn := range conns {
			_, err := fmt.Fprint(conn, text)
			require.NoError(t, err)
		}
	}
	send()
	require.Zero(t, answers())
	require.NoError(t, stopping.cmd.Process.Signal(syscall.SIGSTOP))
	send()
	require.NoError(t, stopping.cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, stopping.cmd.Process.Signal(syscall.SIGCONT))
	assert.Zero(t, answers(), "requests without an answer, of %d", callers)
	<-stopping.exited
	assert.Zero(t, stopping.cmd.ProcessState.ExitCode(), stopping.stderr.String())
}

// What is under way when a router is told to stop ends with word that its connection
// does, too.
func TestAnAnswerThatBeginsAfterTheStopIsTheLastOfItsConnection(t *testing.T) {
	c := newCluster(t, 0, 1)
	c.addEngine("slow", standin.EngineOptions{TokenTime: 300 * time.Millisecond, CacheTokens: 1 << 20})
	c.waitReady()
	stopping := c.routers[0]
	answer := make(chan reply, 1)
	go func() {
		r, _ := stopping.tryPost(chatPath, chatBody("boat", false))
		answer <- r
	}()
	c.eventually("it runs", func() bool { return c.engines[0].Running() == 1 })
	require.NoError(t, stopping.cmd.Process.Signal(syscall.SIGTERM))
	r := <-answer
	assert.Equal(t, http.StatusOK, r.status, r.body)
	assert.True(t, r.closes, "the caller is told not to use the connection again")
}
