package router

import "sync"

// inFlight counts the requests that a router has taken, and what they leave to be written, so that
// a stop can wait for them. A WaitGroup may not be waited for while requests come: one that
// comes as the last one ends would end the process.
type inFlight struct {
	mu    sync.Mutex
	count int
	// idle is closed when the router stops and nothing is in flight; nil before the stop.
	idle chan struct{}
}

// begin counts a request in, unless the router stops.
func (f *inFlight) begin() (accepted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.idle != nil {
		return false
	}
	f.count++
	return true
}

// beside runs what a request in flight leaves to be done, and counts it in too.
func (f *inFlight) beside(do func()) {
	f.mu.Lock()
	f.count++
	f.mu.Unlock()
	go func() {
		defer f.end()
		do()
	}()
}

// end counts out what was counted in.
func (f *inFlight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count == 0 && f.idle != nil {
		close(f.idle)
	}
}

// stop refuses all that comes from now on. The channel is closed once nothing is in flight.
func (f *inFlight) stop() (idle <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.idle == nil {
		f.idle = make(chan struct{})
		if f.count == 0 {
			close(f.idle)
		}
	}
	return f.idle
}
