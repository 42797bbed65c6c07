package crash

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/entry"
	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/settings"
	"github.com/croftyard/croftyard/internal/standin"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/platform"
)

const (
	host = "crash.example"
	key  = "north-key"
	zone = "north"
	// away is how long a replica that crashed is away. The users' are for some seconds;
	// it is shorter here so that there are always some left to crash.
	away = 1500 * time.Millisecond
	// work, pieces and gap shape what replicas do: some 0.2 s a request.
	work   = 20 * time.Millisecond
	pieces = 8
	gap    = 25 * time.Millisecond
	// deadlyRun is how long a request that crashes its replica runs before.
	deadlyRun = 60 * time.Millisecond
	deadly    = "deadly "
	// deadlyPart begins the ids of the parts that crash what writes an answer on them.
	deadlyPart = "dead"
)

// fleet is real routers in this process, before stand-ins.
type fleet struct {
	t       *testing.T
	options func(seat int) standin.ReplicaOptions
	// contracts are those of the platform.
	contracts []string
	store     *standin.Store
	address   string
	routers   []*entry.Entry
	logs      []*event.Log
	peers     []string

	mu      sync.Mutex
	runs    []*standin.Replica
	started int
	over    chan struct{}
	work    sync.WaitGroup
	attempt atomic.Uint64
}

func newFleet(t *testing.T, routers, replicas int) *fleet {
	t.Helper()
	return newFleetOf(t, routers, replicas, func(int) standin.ReplicaOptions {
		return standin.ReplicaOptions{Slots: 64, Work: work, Pieces: pieces, Gap: gap, Deadly: isDeadly}
	})
}

// newFleetOf is newFleet with replicas that options describes by their seat.
func newFleetOf(t *testing.T, routers, replicas int, options func(seat int) standin.ReplicaOptions, contracts ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, options: options, contracts: contracts, store: standin.NewStore(), over: make(chan struct{})}
	f.store.Put(platform.ConfigKey, configuration())
	server, err := standin.Serve(ownAddress(), f.store.Handler("all"))
	require.NoError(t, err)
	f.address = server.Address
	t.Cleanup(server.Close)
	var listed sync.WaitGroup
	listed.Add(replicas)
	for n := range replicas {
		f.work.Go(func() { f.seat(n, sync.OnceFunc(listed.Done)) })
	}
	t.Cleanup(f.close)
	// Routers that read an empty list reject requests until they read it again.
	listed.Wait()
	for range routers {
		f.start()
	}
	for _, r := range f.routers {
		until(t, r.Ready)
	}
	return f
}

func configuration() platform.Configuration {
	const timeout, target, gapMS, attempts = 6000, 400, 300, 3
	return platform.Configuration{
		Version: 1,
		Routes: []platform.RouteEntry{
			{Name: "stream", Host: host, PathPrefix: "/stream/", Type: platform.RouteStreaming, TimeoutMS: timeout, TargetMS: target, GapMS: gapMS, Service: "s", MaxAttempts: attempts},
			{Name: "resume", Host: host, PathPrefix: "/resume/", Type: platform.RouteStreaming, Resumable: true, TimeoutMS: timeout, TargetMS: target, GapMS: gapMS, Service: "s", MaxAttempts: attempts},
			{Name: "repeat", Host: host, PathPrefix: "/repeat/", Type: platform.RouteIdempotent, TimeoutMS: timeout, TargetMS: target, Service: "s", MaxAttempts: attempts},
		},
		Services: []platform.ServiceEntry{{Name: "s"}},
		Limits:   platform.LimitsEntry{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15_000},
		Tenants:  []platform.TenantEntry{{Name: "north", APIKeys: []string{key}}},
	}
}

// isDeadly is what crashes a replica: a body, or one part of a prompt.
func isDeadly(request *http.Request, body []byte) (time.Duration, bool) {
	parts := request.Header.Get(platform.Dialect().PromptParts)
	return deadlyRun, bytes.HasPrefix(body, []byte(deadly)) || strings.Contains(parts, deadlyPart)
}

// ownAddress is on a loopback address of this process: a port of 127.0.0.1 may be taken
// by an outgoing connection of any other test.
func ownAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.5:0", 1+pid>>8%200, pid%256)
}

// seat lets one replica follow the other, each a new one at a new address, and calls listed
// whenever the store lists one.
func (f *fleet) seat(n int, listed func()) {
	for {
		f.mu.Lock()
		f.started++
		id := fmt.Sprintf("s%d-%d", n, f.started)
		f.mu.Unlock()
		o := f.options(n)
		o.Service, o.Zone = "s", zone
		r, err := standin.StartReplica(id, ownAddress(), o)
		if err != nil {
			panic(err)
		}
		f.mu.Lock()
		f.runs = append(f.runs, r)
		f.mu.Unlock()
		f.store.Put(platform.ReplicaKey(id), r.Entry(r.Address(), platform.ReplicaReady))
		listed()
		select {
		case <-f.over:
			r.Crash()
			return
		case <-r.Ended():
		}
		select {
		case <-f.over:
			return
		case <-time.After(away):
		}
		f.store.Remove(platform.ReplicaKey(id))
	}
}

// start starts one more router, which knows the first two as seeds.
func (f *fleet) start() *entry.Entry {
	f.t.Helper()
	s := settings.Default()
	s.Name, s.DataCentre = fmt.Sprint("r", len(f.routers)), zone
	s.Platform.Kind, s.Platform.URL, s.Platform.Contracts = settings.PlatformStore, "http://"+f.address, f.contracts
	address := freeAddress(f.t)
	s.Listen = settings.Listen{Callers: ownAddress(), Readiness: ownAddress(), Peers: address, Admin: ownAddress()}
	f.peers = append(f.peers, address)
	s.Peers.Seeds = f.peers[:min(len(f.peers), 2)]
	log := event.Discard()
	e, err := entry.Start(s, entry.Environment{
		Source: func(s settings.Settings, call time.Duration) watch.Source {
			return platform.NewStore(s.Platform.URL, s.Platform.Timeout, call)
		},
		Dialect:         platform.Dialect(),
		ReadyPath:       platform.ReadyPath,
		HeldParts:       platform.Held,
		LimitsAdmission: platform.LimitsAdmission,
		LogDropped:      func() uint64 { return 0 },
	}, log)
	require.NoError(f.t, err)
	f.routers, f.logs = append(f.routers, e), append(f.logs, log)
	return e
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", ownAddress())
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// waitLimit ends a wait in vain, far beyond what a busy machine needs, so that the test fails by its name.
const waitLimit = 2 * time.Minute

// until waits for a condition.
func until(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !condition(); time.Sleep(5 * time.Millisecond) {
		require.True(t, time.Now().Before(end), "condition not met in %v", waitLimit)
	}
}

func (f *fleet) close() {
	for _, r := range f.routers {
		r.Stop()
		r.Kill()
		_ = r.Wait()
	}
	close(f.over)
	f.work.Wait()
}

// send sends a body to a router and tells whether it was answered whole.
func (f *fleet) send(router *entry.Entry, path, body string, deadline time.Duration) (status int, whole bool) {
	return f.sendPrompt(router, path, body, "", deadline)
}

// sendPrompt is send for a body that states the parts of its prompt.
func (f *fleet) sendPrompt(router *entry.Entry, path, body, parts string, deadline time.Duration) (status int, whole bool) {
	callers, _ := router.Addresses()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+callers+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	names := platform.Dialect()
	request.Host = host
	request.Header.Set(names.AttemptID, fmt.Sprintf("%016x", f.attempt.Add(1)))
	request.Header.Set(names.Key, names.KeyScheme+key)
	if parts != "" {
		request.Header.Set(names.PromptParts, parts)
	}
	request.Header.Set(names.Deadline, fmt.Sprint(deadline.Milliseconds()))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err == nil && response.StatusCode == http.StatusOK
}

// repeat sends a body again and again, each time to another router, until ctx ends.
func (f *fleet) repeat(ctx context.Context, body string, pause time.Duration) {
	routers := f.routers
	f.work.Go(func() {
		for n := rand.IntN(len(routers)); ctx.Err() == nil; n++ {
			f.work.Go(func() { f.send(routers[n%len(routers)], "/stream/x", body, 2*time.Second) })
			time.Sleep(pause)
		}
	})
}

// served counts requests of ordinary callers.
type served struct{ sent, first, served atomic.Int64 }

// call is ordinary callers, each with one request after the other until ctx ends. One
// that fails asks another router twice more, as long as it has time.
func (f *fleet) call(ctx context.Context, callers int) *served {
	const deadline, tries = 3 * time.Second, 3
	s := &served{}
	for n := range callers {
		f.work.Go(func() {
			rnd := rand.New(rand.NewPCG(1, uint64(n)))
			for ctx.Err() == nil {
				body := fmt.Sprintf("ordinary %d %d", n, rnd.Uint64())
				path := []string{"/stream/x", "/resume/x", "/repeat/x"}[rnd.IntN(3)]
				s.sent.Add(1)
				end := time.Now().Add(deadline)
				for try := 0; try < tries && time.Now().Before(end); try++ {
					if _, whole := f.send(f.routers[rnd.IntN(len(f.routers))], path, body, time.Until(end)); whole {
						if try == 0 {
							s.first.Add(1)
						}
						s.served.Add(1)
						break
					}
				}
			}
		})
	}
	return s
}

// history is what became of one body at all replicas.
type history struct {
	// crashes are the times at which a replica crashed under it, runs those at which it
	// began to run.
	crashes, runs []time.Time
}

func (f *fleet) historyOf(body string) history {
	f.mu.Lock()
	defer f.mu.Unlock()
	var h history
	sum := standin.Sum([]byte(body))
	for _, r := range f.runs {
		crashed := false
		for _, run := range r.Runs() {
			if run.BodySum != sum {
				continue
			}
			h.runs = append(h.runs, run.At)
			crashed = true
		}
		if crashed {
			select {
			case <-r.Ended():
				h.crashes = append(h.crashes, r.EndedAt())
			default:
			}
		}
	}
	return h
}

// late counts the runs that began later than a time after the third crash.
func (h history) late(contact time.Duration) int {
	const counted = 3
	if len(h.crashes) < counted {
		return 0
	}
	third := sorted(h.crashes)[counted-1]
	late := 0
	for _, at := range h.runs {
		if at.Sub(third) > contact {
			late++
		}
	}
	return late
}
