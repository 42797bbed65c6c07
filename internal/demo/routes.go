package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/croftyard/croftyard/internal/entry"
	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/settings"
	"github.com/croftyard/croftyard/internal/standin"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/platform"
)

// Ports of the demo of routes, from its first port on: four for each router, then the
// stand-ins' two.
const (
	routers        = 3
	portsOfRouter  = 4
	portOfStore    = routers * portsOfRouter
	portOfCrashes  = portOfStore + 1
	routesService  = "engines"
	recordsService = "records"
	// RoutesHost is the host of the demo's routes.
	RoutesHost = "127.0.0.1"
)

// Speed of the demo's replicas: slow enough to kill one by hand amid an answer.
const (
	demoReplicas = 2
	demoSlots    = 16
	demoWork     = time.Second
	demoEvents   = 20
	demoGap      = 100 * time.Millisecond
)

// RoutesOptions shape the demo of routes.
type RoutesOptions struct {
	// Port is the first of those that the demo listens on.
	Port  int
	Level logrus.Level
	// Logs is the folder of the routers' logs.
	Logs string
}

// RoutesFleet is a running demo of routers that serve routes.
type RoutesFleet struct {
	Routers []*entry.Entry
	options RoutesOptions
	store   *standin.Store
	servers []*standin.Server
	logs    []*os.File
	// mu guards replicas and started.
	mu       sync.Mutex
	replicas map[*standin.Replica]bool
	started  int
}

// StartRoutes starts store, replicas and routers, and waits until all are ready.
func StartRoutes(ctx context.Context, o RoutesOptions) (*RoutesFleet, error) {
	f := &RoutesFleet{options: o, store: standin.NewStore(), replicas: make(map[*standin.Replica]bool)}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, f.waitReady(ctx)
}

func (f *RoutesFleet) start() error {
	if err := os.MkdirAll(f.options.Logs, 0o700); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	f.store.Put(platform.ConfigKey, routesConfig())
	if err := f.serve(portOfStore, f.store.Handler("demo")); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /crash/{id}", f.crash)
	if err := f.serve(portOfCrashes, mux); err != nil {
		return err
	}
	for range demoReplicas {
		for _, o := range []standin.ReplicaOptions{
			{Service: routesService, Work: demoGap, Pieces: demoEvents, Gap: demoGap},
			{Service: recordsService, Work: demoWork},
		} {
			if err := f.startReplica(o); err != nil {
				return err
			}
		}
	}
	for n := range routers {
		if err := f.startRouter(n); err != nil {
			return err
		}
	}
	return nil
}

func (f *RoutesFleet) serve(port int, handler http.Handler) error {
	server, err := standin.Serve(f.address(port), handler)
	if err != nil {
		return err
	}
	f.servers = append(f.servers, server)
	return nil
}

func (f *RoutesFleet) address(port int) string {
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(f.options.Port+port))
}

// routesConfig is the operator's configuration: a stream that can go on elsewhere, and
// a record that is written at most once.
func routesConfig() platform.Configuration {
	const timeout, target, gap, attempts = 20_000, 1000, 500, 3
	return platform.Configuration{
		Version: 1,
		Routes: []platform.RouteEntry{
			{Name: "generate", Host: RoutesHost, PathPrefix: "/generate/", Type: platform.RouteStreaming, Resumable: true,
				TimeoutMS: timeout, TargetMS: target, GapMS: gap, Service: routesService, MaxAttempts: attempts},
			{Name: "record", Host: RoutesHost, PathPrefix: "/record/", Type: platform.RouteNonIdempotent,
				TimeoutMS: timeout, TargetMS: 2 * target, Service: recordsService, MaxAttempts: attempts},
		},
		Services: []platform.ServiceEntry{
			{Name: routesService, Engine: &platform.EngineEntry{Slots: demoSlots, KVCapacity: 1 << 20, KVBytes: 1 << 10}},
			{Name: recordsService},
		},
		Limits:  platform.LimitsEntry{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15_000},
		Tenants: []platform.TenantEntry{{Name: "harrowgate", APIKeys: []string{Key}}},
	}
}

func (f *RoutesFleet) startReplica(o standin.ReplicaOptions) error {
	o.Zone, o.Slots = dataCentre, demoSlots
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	r, err := standin.StartReplica(fmt.Sprintf("%s-%d", o.Service, f.started), "127.0.0.1:0", o)
	if err != nil {
		return err
	}
	f.replicas[r] = true
	f.store.Put(platform.ReplicaKey(r.ID), r.Entry(r.Address(), platform.ReplicaReady))
	return nil
}

// crash ends the replica that works on a request; another one takes its place.
func (f *RoutesFleet) crash(w http.ResponseWriter, request *http.Request) {
	r := f.worksOn(request.PathValue("id"))
	if r == nil {
		http.Error(w, "no replica works on it", http.StatusNotFound)
		return
	}
	r.Crash()
	f.store.Remove(platform.ReplicaKey(r.ID))
	if err := f.startReplica(r.Options); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	fmt.Fprintf(w, "%s crashed\n", r.ID)
}

func (f *RoutesFleet) worksOn(id string) *standin.Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	for r := range f.replicas {
		for _, run := range r.Runs() {
			if run.Attempt == id && run.Ended.IsZero() {
				delete(f.replicas, r)
				return r
			}
		}
	}
	return nil
}

func (f *RoutesFleet) startRouter(n int) error {
	name := fmt.Sprintf("router-%d", n+1)
	log, err := os.Create(filepath.Join(f.options.Logs, name+".log"))
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	f.logs = append(f.logs, log)
	first := n * portsOfRouter
	s := settings.Default()
	s.Name, s.DataCentre = name, dataCentre
	s.Platform.Kind, s.Platform.URL = settings.PlatformStore, "http://"+f.address(portOfStore)
	s.Listen = settings.Listen{Callers: f.address(first), Readiness: f.address(first + 1), Peers: f.address(first + 2), Admin: f.address(first + 3)}
	s.Peers.Seeds = []string{f.address(2)}
	s.Routes.FirstStart = true
	e, err := entry.Start(s, entry.Environment{
		Source: func(s settings.Settings, call time.Duration) watch.Source {
			return platform.NewStore(s.Platform.URL, s.Platform.Timeout, call)
		},
		Dialect:         platform.Dialect(),
		ReadyPath:       platform.ReadyPath,
		HeldParts:       platform.Held,
		LimitsAdmission: platform.LimitsAdmission,
	}, event.New(log, name, f.options.Level))
	if err != nil {
		return err
	}
	f.Routers = append(f.Routers, e)
	return nil
}

func (f *RoutesFleet) waitReady(ctx context.Context) error {
	const pause = 10 * time.Millisecond
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for _, e := range f.Routers {
		for !e.Ready() {
			select {
			case <-ctx.Done():
				return fmt.Errorf("demo: not ready: %w", ctx.Err())
			case <-ticker.C:
			}
		}
	}
	return nil
}

// CrashURL is where the replica that works on a request is told to crash.
func (f *RoutesFleet) CrashURL(id string) string {
	return "http://" + f.address(portOfCrashes) + "/crash/" + id
}

// Close stops everything.
func (f *RoutesFleet) Close() {
	for _, e := range f.Routers {
		e.Stop()
		e.Kill()
		// How a cut stop ended is of no interest here.
		_ = e.Wait()
	}
	for _, s := range f.servers {
		s.Close()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for r := range f.replicas {
		r.Crash()
	}
	for _, log := range f.logs {
		log.Close()
	}
}
