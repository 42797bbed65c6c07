package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/croftyard/croftyard/internal/standin"
	"github.com/croftyard/croftyard/platform"
)

// Paths of the routes of rows other than streams.
const (
	pathOnce   = "/once/x"
	pathRepeat = "/repeat/x"
)

// callDeadline is the time that callers of these routes give.
const callDeadline = 2 * time.Second

// plainConfiguration has a route for what runs once and one for what may be repeated.
func plainConfiguration(version uint64, keys ...string) platform.Configuration {
	const timeout, target, attempts = 4000, 400, 3
	return platform.Configuration{
		Version: version,
		Routes: []platform.RouteEntry{
			{Name: "once", Host: host, PathPrefix: "/once/", Type: platform.RouteNonIdempotent, Service: service, MaxAttempts: attempts, TimeoutMS: timeout, TargetMS: target},
			{Name: "repeat", Host: host, PathPrefix: "/repeat/", Type: platform.RouteIdempotent, Service: service, MaxAttempts: attempts, TimeoutMS: timeout, TargetMS: target},
		},
		Services: []platform.ServiceEntry{{Name: service}},
		Limits:   platform.LimitsEntry{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15_000},
		Tenants:  []platform.TenantEntry{{Name: "north", APIKeys: keys}},
	}
}

// traffic is callers that send one request after another until they are stopped.
type traffic struct {
	stop context.CancelFunc
	all  sync.WaitGroup

	mu   sync.Mutex
	sent []*exchange
}

// call lets callers send what next returns, each to a router that is drawn.
func (f *fleet) call(callers int, pause time.Duration, next func() *exchange) *traffic {
	ctx, stop := context.WithCancel(context.Background())
	t := &traffic{stop: stop}
	for n := range callers {
		rnd := rand.New(rand.NewPCG(f.seed, uint64(n)))
		t.all.Go(func() {
			for ctx.Err() == nil {
				e := next()
				// A caller that stops waits for its last answer.
				open := f.openRouters()
				f.send(context.Background(), open[rnd.IntN(len(open))], e, nil)
				t.mu.Lock()
				t.sent = append(t.sent, e)
				t.mu.Unlock()
				select {
				case <-ctx.Done():
				case <-time.After(pause):
				}
			}
		})
	}
	return t
}

// ended stops the callers and returns what they sent, in its order. What found nobody at the
// router's address was not sent.
func (t *traffic) ended() []*exchange {
	t.stop()
	t.all.Wait()
	sent := slices.DeleteFunc(t.sent, func(e *exchange) bool { return errors.Is(e.err, syscall.ECONNREFUSED) })
	slices.SortFunc(sent, func(a, b *exchange) int { return a.sent.Compare(b.sent) })
	return sent
}

// span is what happened around the end of the routers.
type span struct {
	sent            []*exchange
	ended, returned time.Time
	// before and since are calls to the store.
	before, since calls
}

// endUnder ends the routers under traffic that goes on for a time before and after.
func (f *fleet) endUnder(t *traffic, before, after time.Duration) (span, error) {
	time.Sleep(before)
	s := span{ended: time.Now(), before: f.calls()}
	err := f.endAndReturn(func() {}, func() {})
	s.returned = time.Now()
	if err == nil {
		time.Sleep(after)
	}
	s.sent, s.since = t.ended(), f.calls().since(s.before)
	return s, err
}

// afterReturn returns the requests that were sent after the return.
func (s span) afterReturn() []*exchange {
	return slices.DeleteFunc(slices.Clone(s.sent), func(e *exchange) bool { return e.sent.Before(s.returned) })
}

// plain returns a request of a route.
func (f *fleet) plain(path string) *exchange {
	id := f.newID()
	return &exchange{id: id, path: path, body: "body " + id, deadline: callDeadline}
}

// runs returns what came to all replicas, in its order.
func (f *fleet) runs() []standin.ReplicaRun {
	var all []standin.ReplicaRun
	for _, r := range f.allReplicas() {
		all = append(all, r.Runs()...)
	}
	slices.SortFunc(all, func(a, b standin.ReplicaRun) int { return a.At.Compare(b.At) })
	return all
}

// addReplicas starts replicas whose ids begin with a name.
func (f *fleet) addReplicas(name string, n int, o standin.ReplicaOptions) ([]*standin.Replica, error) {
	var all []*standin.Replica
	for i := range n {
		r, err := f.addReplica(fmt.Sprintf("i-%s-%d", name, i), o)
		if err != nil {
			return nil, err
		}
		all = append(all, r)
	}
	return all, nil
}

// outcomeOf returns what became of the requests after the return: what is served is kept.
func outcomeOf(s span) outcome {
	o := outcome{before: s.before, since: s.since}
	for _, e := range s.afterReturn() {
		o.asked++
		switch {
		case e.whole && e.status < 400:
			o.kept++
		case e.refused():
			o.refused++
			o.slowest = max(o.slowest, e.headAfter)
		default:
			o.failed++
		}
	}
	return o
}
