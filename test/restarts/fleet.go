package main

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/croftyard/croftyard/internal/standin"
	"github.com/croftyard/croftyard/platform"
)

const (
	host = "restarts.example"
	key  = "north-key"
	zone = "north"
	// service is the one before which a row's replicas stand.
	service = "s"
)

const (
	// startLimit bounds the time until a router is ready.
	startLimit = 30 * time.Second
	// settleTime is how long routers that are ready run before anything happens: they learn of
	// each other meanwhile.
	settleTime = 2 * time.Second
	// graceTime is that of a planned stop.
	graceTime = 4 * time.Second
	// turnPause is the pause between two kills of endInTurn, lastPause that before the last ones
	// of endMost.
	turnPause = time.Second
	lastPause = 2 * time.Second
	// twicePause is the time from a return to the second end of endTwice.
	twicePause = 3 * time.Second
)

var (
	errNotReady = errors.New("a router is not ready in time")
	errEnded    = errors.New("a router ended by itself")
)

// fleet is the routers of a case and what surrounds them.
type fleet struct {
	scenario
	programs
	rnd     *rand.Rand
	folder  string
	store   *standin.Store
	routers []*router
	client  *http.Client
	attempt atomic.Uint64

	mu sync.Mutex
	// open are the routers that callers go to.
	open []*router
	// replicas are all that were started, listed or not.
	replicas []*standin.Replica
	// copied is what the store held before the change.
	copied standin.Copy
	timers []*time.Timer
}

// newFleet prepares a fleet whose routers have not started.
func newFleet(s scenario, p programs, folder string) (*fleet, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	f := &fleet{
		scenario: s, programs: p, folder: folder, store: standin.NewStore(),
		rnd:    rand.New(rand.NewPCG(s.seed, uint64(s.size))),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	free, err := freeAddresses(s.size * listeners)
	if err != nil {
		return nil, err
	}
	for n := range s.size {
		r := &router{fleet: f, name: fmt.Sprint("r", n), listen: [listeners]string(free[n*listeners:])}
		server, err := standin.Serve(ownAddress(standInHost), r.counted(f.store.Handler(r.name)))
		if err != nil {
			f.close()
			return nil, err
		}
		r.storeServer = server
		f.routers = append(f.routers, r)
	}
	f.open = f.routers
	return f, nil
}

// addReplica starts a replica and lists it.
func (f *fleet) addReplica(id string, o standin.ReplicaOptions) (*standin.Replica, error) {
	o.Service, o.Zone = service, cmp.Or(o.Zone, zone)
	r, err := standin.StartReplica(id, ownAddress(standInHost), o)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.replicas = append(f.replicas, r)
	f.mu.Unlock()
	f.store.Put(platform.ReplicaKey(id), r.Entry(r.Address(), platform.ReplicaReady))
	return r, nil
}

// allReplicas returns all replicas that were started.
func (f *fleet) allReplicas() []*standin.Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replicas
}

// start starts all routers for the first time and waits until they serve.
func (f *fleet) start() error {
	for _, r := range f.routers {
		if err := r.start(true); err != nil {
			return err
		}
	}
	for _, r := range f.routers {
		if err := r.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return nil
}

// calls returns the reading and writing calls of all routers so far, per router.
func (f *fleet) calls() calls {
	var c calls
	for _, r := range f.routers {
		c.reads += r.reads.Load()
		c.writes += r.writes.Load()
	}
	c.reads /= int64(len(f.routers))
	c.writes /= int64(len(f.routers))
	return c
}

func (c calls) since(earlier calls) calls {
	return calls{c.reads - earlier.reads, c.writes - earlier.writes}
}

// endAndReturn ends routers in the case's way and waits until they have returned. broken is
// called as soon as the first ones have ended, meanwhile while they are away.
func (f *fleet) endAndReturn(broken, meanwhile func()) error {
	first, later, pause := f.groups()
	gone := time.Now()
	switch f.end {
	case endUpdate:
		return f.update(broken, meanwhile)
	case endStill:
		f.setOpen(first)
		for _, r := range f.routers[1:] {
			r.signal(syscall.SIGSTOP)
		}
	}
	f.stopAll(first)
	broken()
	meanwhile()
	var all sync.WaitGroup
	errs := make([]error, 1+len(later))
	all.Go(func() {
		time.Sleep(f.absence - time.Since(gone))
		f.disturbStore()
		errs[0] = f.returnAll(first)
	})
	for i, group := range later {
		all.Go(func() {
			// The pauses are between the ends, whatever the absence is.
			time.Sleep(time.Until(gone.Add(time.Duration(i+1) * pause)))
			f.stopAll(group)
			time.Sleep(f.absence)
			errs[1+i] = f.returnAll(group)
		})
	}
	all.Wait()
	if err := errors.Join(errs...); err != nil || f.end != endTwice {
		return err
	}
	time.Sleep(twicePause)
	f.stopAll(first)
	time.Sleep(f.absence)
	return f.returnAll(first)
}

// setOpen sets the routers that callers go to.
func (f *fleet) setOpen(routers []*router) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open = routers
}

// openRouters returns the routers that callers go to.
func (f *fleet) openRouters() []*router {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open
}

// groups returns the routers that end first, and those that do later with the pause between them.
func (f *fleet) groups() (first []*router, later [][]*router, pause time.Duration) {
	switch f.end {
	case endInTurn:
		for _, r := range f.routers[1:] {
			later = append(later, []*router{r})
		}
		return f.routers[:1], later, turnPause
	case endMost:
		most := (2*f.size + 2) / 3
		return f.routers[:most], [][]*router{f.routers[most:]}, lastPause
	case endHalf:
		return f.routers[:(f.size+1)/2], nil, 0
	case endStill:
		return f.routers[:1], nil, 0
	}
	return f.routers, nil, 0
}

// stopAll ends routers at once, or lets them fall silent.
func (f *fleet) stopAll(routers []*router) {
	signal := syscall.SIGKILL
	if f.end == endPower {
		signal = syscall.SIGSTOP
	}
	for _, r := range routers {
		r.signal(signal)
	}
	if signal == syscall.SIGKILL {
		for _, r := range routers {
			<-r.ended
		}
	}
}

// returnAll starts routers again and waits until they are ready.
func (f *fleet) returnAll(routers []*router) error {
	for _, r := range routers {
		r.kill()
		if err := r.start(false); err != nil {
			return err
		}
	}
	for _, r := range routers {
		if err := r.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// update replaces one router after another.
func (f *fleet) update(broken, meanwhile func()) error {
	for i, r := range f.routers {
		r.signal(syscall.SIGTERM)
		<-r.ended
		if i == 0 {
			meanwhile()
			f.disturbStore()
		}
		time.Sleep(f.absence)
		if err := r.start(false); err != nil {
			return err
		}
		if err := r.awaitReady(); err != nil {
			return err
		}
	}
	broken()
	return nil
}

// disturbStore brings the store into the case's state.
func (f *fleet) disturbStore() {
	switch f.scenario.store {
	case storeAway:
		f.store.Set(standin.StoreFaults{Status: http.StatusServiceUnavailable})
		f.after(storeAwayTime, func() { f.store.Set(standin.StoreFaults{}) })
	case storeSlow:
		f.store.Set(standin.StoreFaults{Slow: storeSlowTime})
	case storeCopy:
		f.returnCopy()
	}
}

// What replicas write after the store came back from a copy: those that serve do so with their
// next heartbeat, entries that nobody writes lapse after three.
const (
	heartbeat = 1200 * time.Millisecond
	lapse     = 3 * heartbeat
)

// returnCopy lets the store come back from the copy of before the change.
func (f *fleet) returnCopy() {
	copied := f.copied
	before := f.store.Return(copied)
	for _, r := range f.allReplicas() {
		wait := lapse
		select {
		case <-r.Ended():
		default:
			wait = time.Duration(f.rnd.Int64N(int64(heartbeat)))
		}
		f.after(wait, func() { f.store.WriteAgain(platform.ReplicaKey(r.ID), before, copied) })
	}
	for _, key := range []string{platform.ConfigKey, platform.EvacuationKey(southern)} {
		f.after(heartbeat, func() { f.store.WriteAgain(key, before, copied) })
	}
}

// after does something later, unless the case is over.
func (f *fleet) after(wait time.Duration, do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.timers = append(f.timers, time.AfterFunc(wait, do))
}

// endedByItself returns an error if a router did.
func (f *fleet) endedByItself() error {
	for _, r := range f.routers {
		if r.unexpected.Load() {
			return fmt.Errorf("%w: %s: %s", errEnded, r.name, r.lastLine())
		}
	}
	return nil
}

func (f *fleet) close() {
	f.mu.Lock()
	for _, t := range f.timers {
		t.Stop()
	}
	f.mu.Unlock()
	for _, r := range f.routers {
		r.kill()
		r.storeServer.Close()
	}
	for _, r := range f.allReplicas() {
		r.Crash()
	}
}

// build builds the router's program.
func build(path string) error {
	out, err := exec.Command("go", "build", "-o", path, "github.com/croftyard/croftyard/cmd/croftyard").CombinedOutput()
	if err != nil {
		return fmt.Errorf("build: %w: %s", err, out)
	}
	return nil
}
