package soak

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/croftyard/croftyard/internal/standin"
	"github.com/croftyard/croftyard/platform"
	"github.com/croftyard/croftyard/test/proxy"
)

// What the configuration names.
const (
	host    = "soak.example"
	plain   = "plain"
	other   = "other"
	engines = "engines"
	long    = "long"
)

// Times of routes.
const (
	routeTimeout = 6 * time.Second
	plainTarget  = 300 * time.Millisecond
	streamTarget = 400 * time.Millisecond
	streamGap    = 300 * time.Millisecond
)

// streamEvents is how many events a stream has, longEvents that of a long one, which is
// often under way when something happens.
const (
	streamEvents = 8
	longEvents   = 40
)

// world is what surrounds the routers: store, operator and replicas.
type world struct {
	record *recorder
	store  *standin.Store
	seats  []*seat

	mu      sync.Mutex
	version uint64
	moved   bool
	keys    map[string]string
	// oldKeys were taken away, oldMarkers are paths that were.
	oldKeys    []string
	oldMarkers []string
	freed      []freedAddress
	servers    []*standin.Server
	// linked: there is a link before each replica, on which cuts strike.
	linked bool
	cuts   *cuts
}

// seat is where one incarnation of a replica follows another.
type seat struct {
	name    string
	options standin.ReplicaOptions
	// handling is held while a fault of the replica is under way.
	handling sync.Mutex

	mu      sync.Mutex
	replica *standin.Replica
	// link, if any, stands before the replica; listed is the address in the store.
	link    *proxy.Proxy
	listed  string
	started int
}

// Replicas of each service, and their speed.
const (
	plainReplicas  = 3
	otherReplicas  = 2
	engineReplicas = 4
	longReplicas   = 3
	replicaSlots   = 16
	plainWork      = 8 * time.Millisecond
	firstEvent     = 15 * time.Millisecond
	eventGap       = 25 * time.Millisecond
)

// worldOptions say what replicas there are.
type worldOptions struct {
	// linked: there is a link before each replica, not only before every other one.
	linked bool
	// versions: replicas of streams state two software versions.
	versions bool
	// releases: the world is that of plans with releases of all engines.
	releases bool
	// builds: routers of earlier builds serve too, which forward some faults that this one rejects.
	builds bool
}

// newWorld starts store and replicas.
func newWorld(record *recorder, o worldOptions) (*world, error) {
	linked, versions := o.linked, o.versions
	w := &world{record: record, linked: linked, cuts: &cuts{sources: make(map[string]bool)}, store: standin.NewStore(), keys: map[string]string{"north": "north-key-0", "south": "south-key-0"}}
	for _, s := range []struct {
		service string
		n       int
		o       standin.ReplicaOptions
	}{
		{plain, plainReplicas, standin.ReplicaOptions{Work: plainWork}},
		{other, otherReplicas, standin.ReplicaOptions{Work: plainWork}},
		{engines, engineReplicas, standin.ReplicaOptions{Work: firstEvent, Pieces: streamEvents, Gap: eventGap}},
		{long, longReplicas, standin.ReplicaOptions{Work: firstEvent, Pieces: longEvents, Gap: eventGap}},
	} {
		s.o.Service, s.o.Zone, s.o.Slots, s.o.Deadly, s.o.FirstForms = s.service, zone, replicaSlots, isDeadly, o.builds
		if o.releases && s.o.Pieces > 0 {
			s.n, s.o.BreakOneIn = releaseEngines, breakOneIn
		}
		for n := range s.n {
			place := &seat{name: fmt.Sprintf("%s-%d", s.service, n), options: s.o}
			if o.releases {
				place.options.Zone, place.options.Version = zones[n%len(zones)], firstVersion(n, s.o.Pieces)
			}
			if versions && s.o.Pieces > 0 {
				place.options.Version = softwareVersions[n/2%2]
			}
			// Every other replica stands behind a link that can fail.
			if err := w.open(place, ownAddress(standInHost), linked || n%2 == 1); err != nil {
				return nil, err
			}
			w.seats = append(w.seats, place)
		}
	}
	w.publish(func() {})
	return w, nil
}

// The last numbers of the loopback addresses on which routers and stand-ins listen. A
// router's ports are free while it is restarted, and must not be taken meanwhile.
const (
	routerHost  = 2
	standInHost = 3
)

// ownAddress is on a loopback address of this process: a port of 127.0.0.1 may be
// taken by an outgoing connection of any other test.
func ownAddress(host int) string {
	const perByte, lowest = 256, 1
	const usable = 200
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:0", lowest+pid/perByte%usable, pid%perByte, host)
}

// given are the addresses that were handed out for routers. Runs play beside each other,
// and an address is free while its router has not started or is restarted: one that was
// given to a router of another run then keeps this one from ever being ready.
var given = struct {
	sync.Mutex
	addresses map[string]bool
}{addresses: make(map[string]bool)}

// freeAddresses returns addresses for processes that are to be started, each another
// and none that was returned before.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for len(out) < n {
		l, err := net.Listen("tcp", ownAddress(routerHost))
		if err != nil {
			return nil, fmt.Errorf("soak: %w", err)
		}
		defer l.Close()
		if address := l.Addr().String(); give(address) {
			out = append(out, address)
		}
	}
	return out, nil
}

// give tells whether an address is handed out for the first time.
func give(address string) bool {
	given.Lock()
	defer given.Unlock()
	if given.addresses[address] {
		return false
	}
	given.addresses[address] = true
	return true
}

// open starts the next incarnation at a seat and lists it.
func (w *world) open(s *seat, address string, linked bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started++
	id := fmt.Sprintf("%s.%d", s.name, s.started)
	replica, err := standin.StartReplica(id, address, s.options)
	if errors.Is(err, syscall.EADDRINUSE) {
		// Another stand-in may have been given the port since it was free.
		replica, err = standin.StartReplica(id, ownAddress(standInHost), s.options)
	}
	if err != nil {
		return err
	}
	w.record.replica(replica)
	s.replica, s.listed = replica, replica.Address()
	if s.link != nil {
		s.link.Close()
		s.link = nil
	}
	if linked {
		if s.link, err = proxy.New(replica.Address()); err != nil {
			return fmt.Errorf("soak: %w", err)
		}
		s.link.Gate(w.cuts.strikes)
		if w.linked {
			// Otherwise no router could see that a replica ended.
			go closeWith(s.link, replica)
		}
		s.listed = s.link.Address()
	}
	w.store.Put(platform.ReplicaKey(replica.ID), replica.Entry(s.listed, platform.ReplicaReady))
	return nil
}

// closeWith closes a link once its replica has ended, as the port of a dead process is.
func closeWith(link *proxy.Proxy, replica *standin.Replica) {
	<-replica.Ended()
	link.Close()
}

// freedAddress is where a replica stood that has ended.
type freedAddress struct {
	address string
	since   time.Time
}

// reuseAfter is how long after a replica has ended its address may be given to one of
// another service. Source: the users' sheet.
const reuseAfter = 2 * time.Second

// free notes an address whose replica ended at a time.
func (w *world) free(address string, since time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.freed = append(w.freed, freedAddress{address: address, since: since})
}

// reuse returns the address that was given up last of those that may be used again,
// since some router may still know it as it was, or a new one.
func (w *world) reuse() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, f := range slices.Backward(w.freed) {
		if time.Since(f.since) >= reuseAfter {
			w.freed = slices.Delete(w.freed, i, i+1)
			return f.address
		}
	}
	return ownAddress(standInHost)
}

func (s *seat) now() (*standin.Replica, *proxy.Proxy, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica, s.link, s.listed
}

// publish changes what the operator wants and writes the next version.
func (w *world) publish(change func()) {
	const step = 3
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
	if w.version > 0 {
		w.oldMarkers = append(w.oldMarkers, marker(w.version))
	}
	w.version += 1 + w.version%step
	v := &Version{Number: w.version, Put: time.Now(), Routes: w.routes(), Keys: make(map[string]string)}
	for tenant, key := range w.keys {
		v.Keys[key] = tenant
	}
	w.record.version(v)
	v.Acked = w.store.Put(platform.ConfigKey, configOf(v))
}

// marker is the prefix of the route that one version alone has.
func marker(version uint64) string { return fmt.Sprintf("/v%d/", version) }

func (w *world) routes() map[string]Route {
	const onceAttempts, repeatAttempts = 2, 3
	moved := plain
	if w.moved {
		moved = other
	}
	return map[string]Route{
		"/once/":          {Service: plain, Type: platform.RouteNonIdempotent, Attempts: onceAttempts, Timeout: routeTimeout},
		"/repeat/":        {Service: plain, Type: platform.RouteIdempotent, Attempts: repeatAttempts, Timeout: routeTimeout},
		"/moved/":         {Service: moved, Type: platform.RouteIdempotent, Attempts: repeatAttempts, Timeout: routeTimeout},
		"/stream/":        {Service: engines, Type: platform.RouteStreaming, Attempts: onceAttempts, Timeout: routeTimeout},
		"/resume/":        {Service: engines, Type: platform.RouteStreaming, Resumable: true, Attempts: repeatAttempts, Timeout: routeTimeout},
		"/long/":          {Service: long, Type: platform.RouteStreaming, Resumable: true, Attempts: repeatAttempts, Timeout: routeTimeout},
		marker(w.version): {Service: other, Type: platform.RouteIdempotent, Attempts: repeatAttempts, Timeout: routeTimeout},
	}
}

// configOf writes a version as the operator does.
func configOf(v *Version) platform.Configuration {
	engine := &platform.EngineEntry{Slots: replicaSlots, KVCapacity: 1 << 20, KVBytes: 1 << 10}
	c := platform.Configuration{
		Version:  v.Number,
		Services: []platform.ServiceEntry{{Name: plain}, {Name: other}, {Name: engines, Engine: engine}, {Name: long, Engine: engine}},
		Limits:   platform.LimitsEntry{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
	}
	for prefix, r := range v.Routes {
		entry := platform.RouteEntry{
			Name: strings.Trim(prefix, "/"), Host: host, PathPrefix: prefix, Type: r.Type, Service: r.Service,
			TimeoutMS: float64(r.Timeout.Milliseconds()), TargetMS: float64(plainTarget.Milliseconds()),
			MaxAttempts: r.Attempts, Resumable: r.Resumable,
		}
		if r.Type == platform.RouteStreaming {
			entry.TargetMS, entry.GapMS = float64(streamTarget.Milliseconds()), float64(streamGap.Milliseconds())
		}
		c.Routes = append(c.Routes, entry)
	}
	for key, tenant := range v.Keys {
		c.Tenants = append(c.Tenants, platform.TenantEntry{Name: tenant, APIKeys: []string{key}})
	}
	return c
}

// revoke takes a tenant's key away and gives it another.
func (w *world) revoke(tenant string) {
	w.publish(func() {
		old := w.keys[tenant]
		w.oldKeys = append(w.oldKeys, old)
		w.keys[tenant] = fmt.Sprintf("%s-key-%d", tenant, len(w.oldKeys))
	})
}

// facts are what callers know of the world.
type facts struct {
	keys, oldKeys, markers, oldMarkers []string
}

func (w *world) facts() facts {
	w.mu.Lock()
	defer w.mu.Unlock()
	var f facts
	for _, tenant := range []string{"north", "south"} {
		f.keys = append(f.keys, w.keys[tenant])
	}
	f.oldKeys = append(f.oldKeys, w.oldKeys...)
	f.markers = []string{marker(w.version)}
	f.oldMarkers = append(f.oldMarkers, w.oldMarkers...)
	return f
}

// keysEver returns each key that there was.
func (w *world) keysEver() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := append([]string(nil), w.oldKeys...)
	for key := range maps.Values(w.keys) {
		out = append(out, key)
	}
	return out
}

// close ends store and replicas.
func (w *world) close() {
	for _, s := range w.seats {
		replica, link, _ := s.now()
		replica.Crash()
		if link != nil {
			link.Close()
		}
	}
	for _, s := range w.servers {
		s.Close()
	}
}
