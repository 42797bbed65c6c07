package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
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

// The last numbers of the loopback addresses on which routers and stand-ins listen. A router's
// ports are free while it is away, and must not be taken meanwhile.
const (
	routerHost  = 6
	standInHost = 7
)

// ownAddress is on a loopback address of this process: a port of 127.0.0.1 may be taken by an
// outgoing connection of any other process.
func ownAddress(last int) string {
	const perByte, usable = 256, 200
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:0", 1+pid/perByte%usable, pid%perByte, last)
}

// given are the addresses that were handed out: those of a router that is away are free.
var given = struct {
	sync.Mutex
	addresses map[string]bool
}{addresses: make(map[string]bool)}

// freeAddresses returns addresses for routers, none of which was returned before.
func freeAddresses(n int) ([]string, error) {
	given.Lock()
	defer given.Unlock()
	var out []string
	for len(out) < n {
		l, err := net.Listen("tcp", ownAddress(routerHost))
		if err != nil {
			return nil, err
		}
		defer l.Close()
		if address := l.Addr().String(); !given.addresses[address] {
			given.addresses[address] = true
			out = append(out, address)
		}
	}
	return out, nil
}

// listeners is how many addresses a router listens on.
const listeners = 4

// router is a place at which one process after another serves.
type router struct {
	fleet       *fleet
	name        string
	listen      [listeners]string
	storeServer *standin.Server
	reads       atomic.Int64
	writes      atomic.Int64

	command *exec.Cmd
	// ended is closed when the process has, expected is set before it is told to end.
	ended      chan struct{}
	expected   atomic.Bool
	unexpected atomic.Bool
}

// counted counts the calls of a router.
func (r *router) counted(store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.Method == http.MethodGet {
			r.reads.Add(1)
		} else {
			r.writes.Add(1)
		}
		store.ServeHTTP(w, request)
	})
}

func (r *router) callers() string { return r.listen[0] }

// start starts the next process.
func (r *router) start(first bool) error {
	seeds := ""
	for i, seed := range r.fleet.routers[:min(r.fleet.size, 3)] {
		if i > 0 {
			seeds += ","
		}
		seeds += seed.listen[2]
	}
	text := fmt.Sprintf("[instance]\nname = %s\ndata_centre = %s\n[listen]\ncallers = %s\nreadiness = %s\npeers = %s\nadmin = %s\n"+
		"[platform]\nkind = store\nurl = http://%s\n[peers]\nseeds = %s\n[routes]\nfirst_start = %t\n[bounds]\nheartbeat = %s\ngrace = %s\n",
		r.name, zone, r.listen[0], r.listen[1], r.listen[2], r.listen[3], r.storeServer.Address, seeds, first, heartbeat, graceTime)
	settings := filepath.Join(r.fleet.folder, r.name+".ini")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(r.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	program := r.fleet.next
	if first {
		program = r.fleet.first
	}
	command := exec.Command(program, "serve", "--settings", settings)
	command.Stdout, command.Stderr = log, log
	// An interrupt at the terminal is for the rig, which ends the routers of the cases under way.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := startAlone(command); err != nil {
		return err
	}
	ended := make(chan struct{})
	r.command, r.ended = command, ended
	r.expected.Store(false)
	go func() {
		// How it ended is in its log.
		_ = command.Wait()
		if !r.expected.Load() {
			r.unexpected.Store(true)
		}
		close(ended)
	}()
	return nil
}

// startAlone starts a process while no addresses are looked for: a process holds the listeners of
// the one that started it until it runs its own program, and their addresses stay in use.
func startAlone(command *exec.Cmd) error {
	given.Lock()
	defer given.Unlock()
	return command.Start()
}

func (r *router) logPath() string { return filepath.Join(r.fleet.folder, r.name+".log") }

// lastLine is the last line that the processes of this place have written.
func (r *router) lastLine() string {
	text, err := os.ReadFile(r.logPath())
	if err != nil {
		return err.Error()
	}
	const most = 300
	return string(text[max(len(text)-most, 0):])
}

// signal sends a signal; one that ends the process is noted before.
func (r *router) signal(s syscall.Signal) {
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		r.expected.Store(true)
	}
	// A process that has just ended takes no signal.
	_ = r.command.Process.Signal(s)
}

// kill ends the process if there is one, and waits for it.
func (r *router) kill() {
	if r.command == nil {
		return
	}
	r.signal(syscall.SIGKILL)
	<-r.ended
}

// awaitReady waits until the router says that it is ready.
func (r *router) awaitReady() error {
	const poll = 5 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	for ctx.Err() == nil {
		select {
		case <-r.ended:
			return fmt.Errorf("%w: %s: %s", errEnded, r.name, r.lastLine())
		case <-time.After(poll):
		}
		if r.ready(ctx) {
			return nil
		}
	}
	return fmt.Errorf("%w: %s", errNotReady, r.name)
}

// ready reports whether the router says that it is ready.
func (r *router) ready(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.listen[1]+platform.ReadyPath, http.NoBody)
	if err != nil {
		return false
	}
	response, err := r.fleet.client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
