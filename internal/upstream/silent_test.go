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

// relayed returns a relay before a replica that answers each request once all of a
// number of them are there.
func relayed(t *testing.T, together int) *faulty.Relay {
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

// ask sends one request and reads its answer.
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

func TestKeptConnectionsThatWentSilentAreDroppedTogether(t *testing.T) {
	const kept = 4
	relay := relayed(t, kept)
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
	assert.Equal(t, kept+1, relay.Opened(), "the next request does not meet another silent one")
	cancel()
	assert.ErrorIs(t, <-first, ErrBroken, "what was sent on it may have run")
	assert.Equal(t, 1, pool.Idle())
}

func TestConnectionsOfOneTimeSpeakForEachOther(t *testing.T) {
	const before, sent = 100, 200
	tests := map[string]struct {
		ownHeard                int64
		otherOpened, otherHeard int64
		dropped                 bool
	}{
		"nothing is heard of any":                 {before, 50, 60, true},
		"its own answer has begun":                {201, 50, 60, false},
		"another of its time is heard":            {before, 50, 300, false},
		"one is heard that was opened only after": {before, 150, 300, true},
		"another was heard before it was sent":    {before, 50, 199, true},
		"another was opened as it was heard last": {before, before, 300, false},
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
			pool.suspect(own, moment{before, sent}, false)
			assert.Equal(t, test.dropped, pool.Idle() == 0)
		})
	}
}

func TestUnacknowledgedBytesSpeakAgainstAllOfTheTime(t *testing.T) {
	const before, sent = 100, 200
	tests := map[string]struct {
		state     socket.State
		unknown   bool
		ownHeard  int64
		elseHeard int64
		idle      int
		told      bool
	}{
		"nothing is heard anywhere":       {socket.State{Unacked: true}, false, before, 60, 1, true},
		"another address is heard":        {socket.State{Unacked: true}, false, before, 300, 2, true},
		"acknowledged, the answer is due": {socket.State{}, false, before, 60, 3, false},
		"the answer has come meanwhile":   {socket.State{Unacked: true}, false, 201, 60, 3, false},
		"no socket":                       {socket.State{Unacked: true}, true, before, 60, 3, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			pool := New(Options{})
			pool.look = func(net.Conn) (socket.State, bool) { return test.state, !test.unknown }
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
			pool.lookAfter(own, moment{before, sent}, &Request{Unacked: func() { told = true }})
			assert.Equal(t, test.idle, pool.Idle())
			assert.Equal(t, test.told, told)
		})
	}
}

func TestClosedConnectionsAreForgotten(t *testing.T) {
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

func TestWhatIsHeldBackIsNotWritten(t *testing.T) {
	relay := relayed(t, 1)
	pool := New(Options{IDHeader: "Try", DialTimeout: time.Second, SilenceTimeout: time.Minute, IdleTime: time.Minute})
	for range 2 {
		_, err := pool.Do(context.Background(), relay.Address(), &Request{Method: http.MethodGet, URI: "/", Host: "h", ID: "a", Check: func() error {
			assert.Zero(t, pool.Idle(), "asked once the connection is there")
			return net.ErrClosed
		}})
		assert.ErrorIs(t, err, ErrNotSent)
		assert.ErrorIs(t, err, net.ErrClosed)
	}
	require.NoError(t, ask(context.Background(), pool, relay.Address()))
	assert.Equal(t, 1, relay.Opened(), "a connection that was not used is kept")
}

func TestConnectionsThatRestGiveWayWhenDescriptorsRunOut(t *testing.T) {
	out := &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}
	tests := map[string]struct {
		resting int
		tries   int
		opened  bool
	}{
		"some rest": {2, 2, true},
		"none rest": {0, 1, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			relay := relayed(t, 1)
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
			assert.ErrorIs(t, err, syscall.EMFILE, "the caller can tell that it is this machine's fault")
		})
	}
}
