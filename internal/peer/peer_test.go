package peer

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/croftyard/croftyard/internal/peer/peerpb"
	"github.com/croftyard/croftyard/pkg/fleet"
)

// countingConn counts what a client's socket sends and receives.
type countingConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

var testTime = time.Unix(1_800_000_000, 0)

func sampleDigest() fleet.Digest {
	return fleet.Digest{
		Sender: 7, Sequence: 9, Relayed: true, Version: 3, Stopping: true,
		Loads:   []fleet.GroupLoad{{Group: 1, Load: 2.25}, {Group: 4, Load: 0.5}},
		Demands: []fleet.Demand{{Organisation: 5, Rate: 1600}},
		Leaving: []fleet.ID{6},
		Engines: []fleet.EngineCount{{Engine: 8, InFlight: 3}},
	}
}

func listen(t *testing.T, h Handler) (string, *Meter) {
	t.Helper()
	meter := &Meter{}
	server, err := Listen("127.0.0.1:0", h, meter)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server.Address(), meter
}

func newTestClient(t *testing.T) *Client {
	t.Helper()
	c := NewClient(&Meter{})
	t.Cleanup(c.Close)
	return c
}

func TestMeterMatchesSocket(t *testing.T) {
	address, served := listen(t, Handler{Exchange: func(*peerpb.Digest) *peerpb.DigestReply { return &peerpb.DigestReply{Version: 4} }})
	client := newTestClient(t)
	var sent, received atomic.Int64
	dial := client.dial
	client.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		return countingConn{conn, &sent, &received}, err
	}
	const calls = 50
	for range calls {
		_, err := client.Exchange(context.Background(), address, EncodeDigest(sampleDigest()))
		require.NoError(t, err)
	}
	countedSent, countedReceived := client.meter.Bytes()
	assert.InEpsilon(t, sent.Load()+received.Load(), countedSent+countedReceived, 0.05)
	servedSent, servedReceived := served.Bytes()
	assert.Equal(t, countedSent, servedReceived)
	assert.Equal(t, countedReceived, servedSent)
	assert.EqualValues(t, calls, served.Calls())
}

func TestDigestRoundTrip(t *testing.T) {
	assert.Equal(t, sampleDigest(), DecodeDigest(EncodeDigest(sampleDigest())))
}

func FuzzDigest(f *testing.F) {
	wire, err := proto.Marshal(EncodeDigest(sampleDigest()))
	require.NoError(f, err)
	f.Add(wire)
	f.Fuzz(func(t *testing.T, wire []byte) {
		var m peerpb.Digest
		if proto.Unmarshal(wire, &m) != nil {
			return
		}
		d := DecodeDigest(&m)
		assert.LessOrEqual(t, len(d.Loads), len(m.Group))
		assert.LessOrEqual(t, len(d.Engines), len(m.Engine))
		fleet.NewDigestTable(1).Put(d, testTime)
	})
}

func TestForward(t *testing.T) {
	address, _ := listen(t, Handler{Forward: func(_ context.Context, r *peerpb.ForwardRequest, send Sender) error {
		if r.Model == "breaks" {
			return errors.New("broken")
		}
		for _, chunk := range []string{"a", "b"} {
			if err := send(&peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_Chunk{Chunk: []byte(chunk)}}); err != nil {
				return err
			}
		}
		return send(&peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_End{End: &peerpb.End{Whole: true}}})
	}})
	client := newTestClient(t)
	got := ""
	receive := func(e *peerpb.ForwardEvent) error {
		got += string(e.GetChunk())
		return nil
	}
	for range 3 {
		require.NoError(t, client.Forward(context.Background(), address, &peerpb.ForwardRequest{}, receive))
	}
	assert.Equal(t, "ababab", got)
	err := client.Forward(context.Background(), address, &peerpb.ForwardRequest{Model: "breaks"}, receive)
	assert.ErrorIs(t, err, ErrBroken)
	err = client.Forward(context.Background(), "127.0.0.1:1", &peerpb.ForwardRequest{}, receive)
	assert.ErrorIs(t, err, ErrUnreachable)
	gone := errors.New("gone")
	err = client.Forward(context.Background(), address, &peerpb.ForwardRequest{}, func(*peerpb.ForwardEvent) error { return gone })
	assert.ErrorIs(t, err, gone)
}

// BenchmarkExchange is one digest sent and answered, both ends in one process.
func BenchmarkExchange(b *testing.B) {
	server, err := Listen("127.0.0.1:0", Handler{Exchange: func(m *peerpb.Digest) *peerpb.DigestReply {
		DecodeDigest(m)
		return &peerpb.DigestReply{Version: 4}
	}}, &Meter{})
	require.NoError(b, err)
	defer server.Close()
	client := NewClient(&Meter{})
	defer client.Close()
	d := sampleDigest()
	for b.Loop() {
		if _, err := client.Exchange(context.Background(), server.Address(), EncodeDigest(d)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkForwardChunk is one piece of a stream from owner to edge, both ends
// in one process; the allocations are of both.
func BenchmarkForwardChunk(b *testing.B) {
	chunk := &peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_Chunk{Chunk: make([]byte, 70)}}
	pieces := make(chan int)
	server, err := Listen("127.0.0.1:0", Handler{Forward: func(_ context.Context, _ *peerpb.ForwardRequest, send Sender) error {
		for range <-pieces {
			if err := send(chunk); err != nil {
				return err
			}
		}
		return send(&peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_End{End: &peerpb.End{Whole: true}}})
	}}, &Meter{})
	require.NoError(b, err)
	defer server.Close()
	client := NewClient(&Meter{})
	defer client.Close()
	b.ReportAllocs()
	b.ResetTimer()
	go func() { pieces <- b.N }()
	err = client.Forward(context.Background(), server.Address(), &peerpb.ForwardRequest{}, func(*peerpb.ForwardEvent) error { return nil })
	require.NoError(b, err)
}
