package front

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/croftyard/croftyard/pkg/freshness"
)

// ConnLimits closes connections of callers that rest or send a head for longer
// than the configuration in force allows. The server's own time-outs can't
// change while it runs.
type ConnLimits struct {
	holder *freshness.Holder
	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// NewConnLimits returns limits that follow a configuration.
func NewConnLimits(h *freshness.Holder) *ConnLimits {
	return &ConnLimits{holder: h, timers: make(map[net.Conn]*time.Timer)}
}

// Times that hold before there is a configuration, and what is added to those
// of one: a caller counts from when it got the answer, which is later.
const (
	defaultIdle   = 30 * time.Second
	defaultHeader = 10 * time.Second
	idleMargin    = 500 * time.Millisecond
)

// ConnState is a server's hook.
func (l *ConnLimits) ConnState(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if timer := l.timers[c]; timer != nil {
		timer.Stop()
		delete(l.timers, c)
	}
	switch state {
	case http.StateNew, http.StateIdle:
		l.timers[c] = time.AfterFunc(l.limit(state), func() { c.Close() })
	}
}

func (l *ConnLimits) limit(state http.ConnState) time.Duration {
	idle, header := defaultIdle, defaultHeader
	if table := l.holder.Current().Table; table != nil {
		limits := table.Limits()
		if limits.Idle > 0 {
			idle = limits.Idle
		}
		if limits.HeaderTime > 0 {
			header = limits.HeaderTime
		}
	}
	// A connection rests, and then sends a head. A new one may rest as well.
	if state == http.StateNew {
		return max(idle, header)
	}
	return idle + header + idleMargin
}
