package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Sink passes lines on to a writer without ever making a caller wait: a line
// for which there is no room is dropped and counted.
type Sink struct {
	lines   chan []byte
	dropped atomic.Uint64
	stop    chan struct{}
	once    sync.Once
	done    chan struct{}
}

// NewSink returns a sink that holds at most room lines which out has not taken.
func NewSink(out io.Writer, room int) *Sink {
	s := &Sink{lines: make(chan []byte, room), stop: make(chan struct{}), done: make(chan struct{})}
	go s.run(out)
	return s
}

// Write implements io.Writer. It takes one whole line.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines for which there was no room.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes what waits, for at most limit, and ends the sink.
func (s *Sink) Close(limit time.Duration) {
	s.once.Do(func() { close(s.stop) })
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	}
}

func (s *Sink) run(out io.Writer) {
	defer close(s.done)
	for {
		select {
		case line := <-s.lines:
			// Where the log can't be written there is no place to say so.
			_, _ = out.Write(line)
		case <-s.stop:
			s.rest(out)
			return
		}
	}
}

func (s *Sink) rest(out io.Writer) {
	for {
		select {
		case line := <-s.lines:
			_, _ = out.Write(line)
		default:
			return
		}
	}
}

// budget bounds the lines of one event in a second.
type budget struct {
	second  time.Time
	written int
	leftOut int
}

// budgets are those of all events.
type budgets struct {
	mu        sync.Mutex
	perSecond int
	of        [lastID]budget
}

// take tells whether a line of the event may be written now, and how many were
// left out since the last one that was.
func (b *budgets) take(id ID, now time.Time) (allowed bool, leftOut int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	one := &b.of[id]
	if now.Sub(one.second) >= time.Second {
		one.second, one.written = now, 0
	}
	if one.written >= b.perSecond {
		one.leftOut++
		return false, 0
	}
	one.written++
	leftOut, one.leftOut = one.leftOut, 0
	return true, leftOut
}
