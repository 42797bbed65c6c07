package dispatch

import (
	"io"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// stalledReader gives its text and then stalls until it is closed.
type stalledReader struct {
	text    io.Reader
	stalled func()
	closed  <-chan struct{}
	once    sync.Once
}

func (r *stalledReader) Read(p []byte) (int, error) {
	if n, err := r.text.Read(p); err == nil {
		return n, nil
	}
	r.once.Do(r.stalled)
	<-r.closed
	return 0, io.ErrUnexpectedEOF
}

// Guards against streams that each stay below the bound of an event and together take all memory.
func TestLongEventsAreBoundedTogether(t *testing.T) {
	const streams, length = 128, maxEvent - 1<<10
	text := "data: " + strings.Repeat("x", length)
	d, closed := New(time.Minute), make(chan struct{})
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	var settled, ended sync.WaitGroup
	settled.Add(streams)
	for range streams {
		ended.Go(func() {
			settle := sync.OnceFunc(settled.Done)
			a := &attempt{dispatcher: d, sink: discard{}, request: Request{Stream: true}}
			assert.ErrorIs(t, a.passEvents(&stalledReader{text: strings.NewReader(text), stalled: settle, closed: closed}), errBroken)
			settle()
		})
	}
	settled.Wait()
	held := heap() - before
	close(closed)
	ended.Wait()
	// A buffer that grows has room for a quarter more, and each stream has two of 16 KB.
	assert.LessOrEqual(t, held, uint64(maxLongEvents/4*5+4*streams*shortEvent))
	assert.Zero(t, d.longEvents.Used())
}

// Guards against short events that fail for lack of room, room that a long event keeps, and long
// events that come in order and fail.
func TestEventsWhileLongOnesHaveNoRoom(t *testing.T) {
	const end = "data: [DONE]\n\n"
	short, long := "data: x\n\n", "data: "+strings.Repeat("x", 4*shortEvent)+"\n\n"
	play := func(d *Dispatcher, text string) (string, error) {
		var sink record
		a := &attempt{dispatcher: d, sink: &sink, request: Request{Stream: true}}
		err := a.passEvents(&stepReader{text: text, step: 1 << 10})
		return sink.body.String(), err
	}
	tests := map[string]struct {
		used  int64
		text  string
		whole string
		fails bool
	}{
		"short, no room":           {maxLongEvents, short + end, short + end, false},
		"long, no room":            {maxLongEvents, short + long + end, short, true},
		"long":                     {0, long + short + end, long + short + end, false},
		"one by one, room for one": {maxLongEvents - 5*shortEvent, long + long + end, long + long + end, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := New(time.Minute)
			require.True(t, d.longEvents.Reserve(test.used))
			got, err := play(d, test.text)
			assert.Equal(t, test.whole, got)
			assert.Equal(t, test.fails, err != nil, "%v", err)
			assert.Equal(t, test.used, d.longEvents.Used())
		})
	}
}
