package conns

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/socket"
)

// rig is a server whose connections belong to a set, and one caller's connection.
type rig struct {
	set    *Set
	caller net.Conn
	reader *bufio.Reader
	// idle takes each time at which the server takes the connection for idle. The
	// server goes on once resume is filled.
	idle, resume chan struct{}
	begun        chan struct{}
	finish       chan struct{}
	// closes holds the server where it would note the end of a connection, for a while.
	closes time.Duration
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{set: NewSet(), idle: make(chan struct{}, 8), resume: make(chan struct{}, 8), begun: make(chan struct{}, 8), finish: make(chan struct{}, 8)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			if request.URL.Path == "/held" {
				r.begun <- struct{}{}
				<-r.finish
			}
			fmt.Fprint(w, "ok")
		}),
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				time.Sleep(r.closes)
			}
			r.set.ConnState(c, state)
			if state == http.StateIdle {
				r.idle <- struct{}{}
				<-r.resume
			}
		},
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(r.set.Listener(listener)) }()
	r.caller, err = net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	r.reader = bufio.NewReader(r.caller)
	t.Cleanup(func() {
		r.caller.Close()
		close(r.resume)
		close(r.finish)
		server.Close()
		assert.ErrorIs(t, <-ended, http.ErrServerClosed)
	})
	return r
}

func (r *rig) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(r.caller, text)
	require.NoError(t, err)
}

func (r *rig) answer(t *testing.T) {
	t.Helper()
	response, err := http.ReadResponse(r.reader, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
}

// conn returns the connection as the server has it.
func (r *rig) conn(t *testing.T) (conn *Conn) {
	t.Helper()
	await(t, func() bool {
		r.set.mu.Lock()
		defer r.set.mu.Unlock()
		for c := range r.set.open {
			conn = c
			return true
		}
		return false
	})
	return conn
}

// waitLimit ends a wait in vain, far beyond what a busy machine needs, so that the test fails by its name.
const waitLimit = 2 * time.Minute

// await returns once a look finds what is wanted.
func await(t *testing.T, look func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !look(); time.Sleep(time.Millisecond) {
		require.True(t, time.Now().Before(end), "not found in %v", waitLimit)
	}
}

func (c *Conn) waits() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reading
}

func (c *Conn) finds() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unread()
}

const (
	request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	held    = "GET /held HTTP/1.1\r\nHost: h\r\n\r\n"
)

func TestAConnectionAtRestIsClosed(t *testing.T) {
	for _, used := range []bool{false, true} {
		t.Run(fmt.Sprint("used ", used), func(t *testing.T) {
			r := newRig(t)
			if used {
				r.send(t, request)
				r.answer(t)
				<-r.idle
				r.resume <- struct{}{}
			}
			await(t, r.conn(t).waits)
			assert.Equal(t, 1, r.set.CloseResting(time.Now()).Closed)
			_, err := r.reader.ReadByte()
			assert.ErrorIs(t, err, io.EOF, "an orderly end")
			await(t, func() bool { return r.set.Open() == 0 })
		})
	}
}

// The server is held where it takes the connection for idle; the request lies in the
// socket, and http.Server.Shutdown would close the connection over it.
func TestARequestThatLiesUnreadIsServed(t *testing.T) {
	r := newRig(t)
	r.send(t, request)
	r.answer(t)
	<-r.idle
	r.send(t, request)
	c := r.conn(t)
	await(t, c.finds)
	assert.Zero(t, r.set.CloseResting(time.Now()).Closed, "the server has not come to read")
	// The server reads again, and the request is found before it is taken.
	c.setReading(true)
	assert.Equal(t, Ended{Unread: 1}, r.set.CloseResting(time.Now()))
	r.resume <- struct{}{}
	r.answer(t)
}

func TestWhatIsReadIsNotClosed(t *testing.T) {
	t.Run("a head that has come in part", func(t *testing.T) {
		r := newRig(t)
		r.send(t, request[:10])
		c := r.conn(t)
		await(t, func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.heard
		})
		assert.Equal(t, Ended{Serving: 1}, r.set.CloseResting(time.Now()))
		r.send(t, request[10:])
		r.answer(t)
	})
	t.Run("a request that is served", func(t *testing.T) {
		r := newRig(t)
		r.send(t, held)
		<-r.begun
		assert.Equal(t, Ended{Serving: 1}, r.set.CloseResting(time.Now()))
		r.finish <- struct{}{}
		r.answer(t)
	})
	t.Run("the next request, begun while the last one is served", func(t *testing.T) {
		r := newRig(t)
		r.send(t, held)
		<-r.begun
		// The server looks with one byte whether its caller is still there.
		c := r.conn(t)
		r.send(t, request[:1])
		await(t, func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.heard
		})
		r.finish <- struct{}{}
		r.answer(t)
		<-r.idle
		r.resume <- struct{}{}
		await(t, c.waits)
		assert.Equal(t, Ended{Serving: 1}, r.set.CloseResting(time.Now()))
		r.send(t, request[1:])
		r.answer(t)
	})
}

func TestNothingIsReadFromAClosedConnection(t *testing.T) {
	r := newRig(t)
	c := r.conn(t)
	await(t, c.waits)
	assert.Equal(t, Closed, c.endRest())
	r.send(t, request)
	_, err := r.reader.ReadByte()
	assert.Error(t, err, "the request is not served on a connection that is said to be closed")
	assert.Equal(t, Gone, c.CloseIfResting(), "closed once")
}

// What asks the system of a connection sees through to the socket.
func TestACallerThatLeftIsSeen(t *testing.T) {
	r := newRig(t)
	r.send(t, held)
	<-r.begun
	left := func() bool {
		state, known := socket.Look(r.conn(t))
		assert.True(t, known)
		return state.Left
	}
	assert.False(t, left())
	r.caller.Close()
	await(t, left)
	r.finish <- struct{}{}
}

func TestDrainWaitsForWhatIsServed(t *testing.T) {
	r := newRig(t)
	r.send(t, held)
	<-r.begun
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	ended, err := r.set.Drain(ctx)
	assert.ErrorIs(t, err, context.Canceled)
	assert.Equal(t, 1, ended.Serving)
	r.finish <- struct{}{}
	r.answer(t)
	<-r.idle
	r.resume <- struct{}{}
	ended, err = r.set.Drain(context.Background())
	assert.NoError(t, err)
	assert.Equal(t, 1, ended.Closed)
	assert.NoError(t, r.set.Wait(context.Background()))
}

// A caller may send the next request before it has the answer; its first bytes then come
// with those of the request before.
func TestANextRequestThatCameInPartWithTheLastOneIsNotClosedOver(t *testing.T) {
	r := newRig(t)
	r.send(t, held+request[:10])
	<-r.begun
	r.finish <- struct{}{}
	r.answer(t)
	<-r.idle
	r.resume <- struct{}{}
	await(t, r.conn(t).waits)
	assert.Equal(t, Ended{Serving: 1}, r.set.CloseResting(time.Now()))
	r.send(t, request[10:])
	r.answer(t)
}

// A stop that is cut short while connections rest, and no request is in flight, has cut
// nothing. Each connection is closed, and counted, once.
func TestAKillOfAServerAtRestCutsNothing(t *testing.T) {
	r := newRig(t)
	r.closes = 3 * drainPause
	await(t, r.conn(t).waits)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	ended, err := r.set.Drain(ctx)
	assert.NoError(t, err, "nothing is in flight")
	assert.Equal(t, 1, ended.Closed)
}

// A caller need not wait for an answer: the next request then lies in the server's
// buffer, where no look into the socket finds it.
func TestARequestInTheServersBufferIsServed(t *testing.T) {
	r := newRig(t)
	r.send(t, held+request)
	<-r.begun
	r.finish <- struct{}{}
	r.answer(t)
	<-r.idle
	assert.Equal(t, Ended{Serving: 1}, r.set.CloseResting(time.Now()))
	r.resume <- struct{}{}
	r.answer(t)
}

// A connection that its server has not come to accept may bring a request.
func TestWhatLiesInTheQueueIsWaitedFor(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	set := NewSet()
	listener := set.Listener(raw)
	defer listener.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(t, set.Wait(ctx))
	caller, err := net.Dial("tcp", raw.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	await(t, set.Queued)
	assert.ErrorIs(t, set.Wait(ctx), context.Canceled)
	assert.ErrorIs(t, set.WaitAccepted(ctx), context.Canceled)
	served, err := listener.Accept()
	require.NoError(t, err)
	defer served.Close()
	assert.NoError(t, set.WaitAccepted(ctx))
	assert.ErrorIs(t, set.Wait(ctx), context.Canceled, "it is open")
	listener.Close()
	assert.NoError(t, set.WaitAccepted(ctx))
}
