package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
	"github.com/croftyard/croftyard/internal/socket"
)

// newRelay returns a relay in front of a replica that answers its requests once the
// given number of them have arrived.
func newRelay(t *testing.T, together int) *faulty.Relay {
	t.Helper()
	var mu sync.Mutex
	arrived, all := 0, make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		if arrived++; arrived == together {
			close(all)
		}
		mu.Unlock()
		<-all
		w.Header().Set("Try", r.Header.Get("Try"))
	}))
	t.Cleanup(server.Close)
	relay, err := faulty.NewRelay(server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	return relay
}

// ask sends one request and reads its response.
func ask(ctx context.Context, p *Pool, address string) error {
	answer, err := p.Do(ctx, address, &Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"Try": {"a"}}, ID: "a"})
	if err != nil {
		return err
	}
	defer answer.Close()
	_, err = answer.Read(make([]byte, 1))
	if err == nil {
		return assert.AnError
	}
	return nil
}

func TestSilentIdleConnectionsAreDroppedTogether(t *testing.T) {
	const kept = 4
	relay := newRelay(t, kept)
	silenced := make(chan string, kept)
	pool := New(Options{IDHeader: "Try", DialTimeout: time.Second, SilenceTimeout: 100 * time.Millisecond, IdleTime: time.Minute,
		OnSilent: func(address string, _ int) { silenced <- address }})
	var asked sync.WaitGroup
	for range kept {
		asked.Go(func() { assert.NoError(t, ask(context.Background(), pool, relay.Address())) })
	}
	asked.Wait()
	require.Equal(t, kept, pool.Idle())
	relay.Silence()

	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan error, 1)
	go func() { first <- ask(ctx, pool, relay.Address()) }()
	assert.Equal(t, relay.Address(), <-silenced)
	assert.Zero(t, pool.Idle())
	require.NoError(t, ask(context.Background(), pool, relay.Address()))
	assert.Equal(t, kept+1, relay.Opened(), "the next request does not use another silent connection")
	cancel()
	assert.ErrorIs(t, <-first, ErrBroken, "the request sent on the silent connection may have run")
	assert.Equal(t, 1, pool.Idle())
}

func TestLiveConnectionOfSameAgePreventsDrop(t *testing.T) {
	const before, sent = 100, 200
	tests := map[string]struct {
		ownHeard                int64
		otherOpened, otherHeard int64
		dropped                 bool
	}{
		"nothing arrives on any connection":             {before, 50, 60, true},
		"its own response has begun":                    {201, 50, 60, false},
		"another of the same age is live":               {before, 50, 300, false},
		"the live one was opened later":                 {before, 150, 300, true},
		"another was last heard before the send":        {before, 50, 199, true},
		"another was opened as this one was last heard": {before, before, 300, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			pool := New(Options{})
			own, other, resting := pipe(t, pool), pipe(t, pool), pipe(t, pool)
			own.opened, other.opened, resting.opened = 10, test.otherOpened, 10
			own.heard.Store(test.ownHeard)
			other.heard.Store(test.otherHeard)
			resting.heard.Store(before)
			pool.put(resting)
			pool.dropSilent(own, sendTimes{before, sent}, false)
			assert.Equal(t, test.dropped, pool.Idle() == 0)
		})
	}
}

func TestUnacknowledgedBytesDropIdleToAllAddresses(t *testing.T) {
	const before, sent = 100, 200
	tests := map[string]struct {
		state     socket.State
		unknown   bool
		ownHeard  int64
		elseHeard int64
		idle      int
		told      bool
	}{
		"nothing arrives at any address": {socket.State{Unacked: true}, false, before, 60, 1, true},
		"another address is live":        {socket.State{Unacked: true}, false, before, 300, 2, true},
		"acknowledged, response pending": {socket.State{}, false, before, 60, 3, false},
		"the response has arrived":       {socket.State{Unacked: true}, false, 201, 60, 3, false},
		"socket state unknown":           {socket.State{Unacked: true}, true, before, 60, 3, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			pool := New(Options{})
			pool.socketState = func(net.Conn) (socket.State, bool) { return test.state, !test.unknown }
			own, busy, resting, young, same := pipe(t, pool), pipeTo(t, pool, "b"), pipeTo(t, pool, "b"), pipeTo(t, pool, "b"), pipe(t, pool)
			for _, c := range []*conn{own, busy, resting, same} {
				c.opened = 10
				c.heard.Store(before)
			}
			young.opened = 150
			own.heard.Store(test.ownHeard)
			busy.heard.Store(test.elseHeard)
			pool.put(resting)
			pool.put(same)
			pool.put(young)
			told := false
			pool.checkAcknowledged(own, sendTimes{before, sent}, &Request{Unacked: func() { told = true }})
			assert.Equal(t, test.idle, pool.Idle())
			assert.Equal(t, test.told, told)
		})
	}
}

func TestClosedConnectionsAreRemovedFromPool(t *testing.T) {
	pool := New(Options{})
	c := pipe(t, pool)
	require.Len(t, pool.open, 1)
	c.Close()
	c.Close()
	assert.Empty(t, pool.open)
}

func pipe(t *testing.T, p *Pool) *conn { return pipeTo(t, p, "a") }

func pipeTo(t *testing.T, p *Pool, address string) *conn {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { far.Close() })
	return p.newConn(near, address)
}

func TestFailedCheckLeavesRequestUnsent(t *testing.T) {
	relay := newRelay(t, 1)
	pool := New(Options{IDHeader: "Try", DialTimeout: time.Second, SilenceTimeout: time.Minute, IdleTime: time.Minute})
	for range 2 {
		_, err := pool.Do(context.Background(), relay.Address(), &Request{Method: http.MethodGet, URI: "/", Host: "h", ID: "a", Check: func() error {
			assert.Zero(t, pool.Idle(), "Check is called once the connection is open")
			return net.ErrClosed
		}})
		assert.ErrorIs(t, err, ErrNotSent)
		assert.ErrorIs(t, err, net.ErrClosed)
	}
	require.NoError(t, ask(context.Background(), pool, relay.Address()))
	assert.Equal(t, 1, relay.Opened(), "a connection that was not used is kept")
}

func TestIdleConnectionsAreDroppedWhenDescriptorsRunOut(t *testing.T) {
	out := &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}
	tests := map[string]struct {
		resting int
		tries   int
		opened  bool
	}{
		"some idle": {2, 2, true},
		"none idle": {0, 1, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			relay := newRelay(t, 1)
			pool := New(Options{IDHeader: "Try", DialTimeout: time.Second, SilenceTimeout: time.Minute, IdleTime: time.Minute})
			for range test.resting {
				pool.keepUnused(pipeTo(t, pool, "other"))
			}
			tries, open := 0, pool.opener
			pool.opener = func(ctx context.Context, address string) (net.Conn, error) {
				tries++
				if tries == 1 {
					return nil, out
				}
				return open(ctx, address)
			}
			err := ask(context.Background(), pool, relay.Address())
			assert.Equal(t, test.tries, tries)
			if test.opened {
				assert.NoError(t, err)
				assert.Equal(t, 1, pool.Idle())
				return
			}
			assert.ErrorIs(t, err, ErrNotSent)
			assert.ErrorIs(t, err, syscall.EMFILE, "the caller can tell that the fault is local")
		})
	}
}
