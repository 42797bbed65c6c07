// Package inflight counts requests in flight, so that a stop can wait for them.
package inflight

import "sync"

// Requests counts the requests that a router has taken, and what they leave to be written, so that
// a stop can wait for them. A sync.WaitGroup may not be waited for while requests come: one that
// comes as the last one ends would end the process.
type Requests struct {
	mu    sync.Mutex
	count int
	// idle is closed when the router stops and nothing is in flight; nil before the stop.
	idle chan struct{}
}

// Begin counts a request in, unless the router stops.
func (r *Requests) Begin() (accepted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.idle != nil {
		return false
	}
	r.count++
	return true
}

// Go runs what a request in flight leaves to be done, and counts it in too.
func (r *Requests) Go(do func()) {
	r.mu.Lock()
	r.count++
	r.mu.Unlock()
	go func() {
		defer r.End()
		do()
	}()
}

// End counts out what was counted in.
func (r *Requests) End() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count--
	if r.count == 0 && r.idle != nil {
		close(r.idle)
	}
}

// Stop refuses all that comes from now on. The channel is closed once nothing is in flight.
func (r *Requests) Stop() (idle <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.idle == nil {
		r.idle = make(chan struct{})
		if r.count == 0 {
			close(r.idle)
		}
	}
	return r.idle
}
