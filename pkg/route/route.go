// Package route holds what the operators configured for callers' requests:
// which host and path lead to which service, who may call, and within which
// limits.
//
//	Config  what a configuration source delivers, one version as a whole
//	Table   the same, compiled for look-ups; immutable, swapped whole
//
// The package does no I/O.
package route

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// ErrInvalid is wrapped by every error of Compile.
var ErrInvalid = errors.New("route: configuration not valid")

// Kind tells what may be done with a request of a route.
type Kind uint8

// The kinds.
const (
	// Once: at most one run for each attempt of a caller.
	Once Kind = iota
	// Repeatable: may run more than once.
	Repeatable
	// Stream: answered by server-sent events; at most one run unless resumable.
	Stream
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	switch k {
	case Repeatable:
		return "repeatable"
	case Stream:
		return "stream"
	}
	return "once"
}

// Share is one service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Route leads requests to a service.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another replica after a given event.
	Resumable bool
	// Timeout is the longest time that a request may be held; zero: no bound.
	Timeout time.Duration
	// Target is the time within which an answer has its full worth.
	Target time.Duration
	// Gap is the longest pause between events of a stream that is in time.
	Gap time.Duration
	// Attempts is the most replicas that one attempt of a caller is sent to.
	Attempts int
	// Priority: 0 is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	Shares []Share
}

// RunsOnce tells whether a request of the route may run at most once.
func (r *Route) RunsOnce() bool {
	return r.Kind == Once || r.Kind == Stream && !r.Resumable
}

// Service picks the service for a request; draw is uniform in [0, 1).
func (r *Route) Service(draw float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	rest := draw * float64(total)
	for _, s := range r.Shares {
		rest -= float64(s.Weight)
		if rest < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the most requests that one runs at a time.
	Slots int
	// Capacity is the tokens that its memory holds.
	Capacity int
	// TokenBytes is the memory of a token.
	TokenBytes int
}

// Service is a group of equal replicas.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the most that one replica takes from all callers; 0: not known.
	MaxConnections int
	// ColdRate is how many requests a second a replica bears that is still slow from
	// its start; 0: as many as a warm one, as far as is known.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits of what a caller may send, and how long it may take or rest.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	Idle        time.Duration
}

// Organisation is a customer with its keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority takes precedence over that of a route where HasPriority is true.
	Priority    int
	HasPriority bool
}

// Config is one version of the configuration, whole.
type Config struct {
	// Version rises with every change.
	Version       uint64
	Routes        []Route
	Services      []Service
	Limits        Limits
	Organisations []Organisation
	// Keys states whether requests need a key. Organisations imply KeysRequired.
	Keys KeyRule
}

// KeyRule states whether requests need a key, unless their route is public.
type KeyRule uint8

// The rules.
const (
	// KeysUnstated: only organisations show it. Without any, it is not known whether there never
	// were any or all were removed; Compile takes the former for granted.
	KeysUnstated KeyRule = iota
	// KeysRequired: they do, even if no organisation is left to hold one.
	KeysRequired
	// KeysNotRequired: they do not.
	KeysNotRequired
)

// RequireKeys returns the rule that requests need a key, or that they do not.
func RequireKeys(required bool) KeyRule {
	if required {
		return KeysRequired
	}
	return KeysNotRequired
}

// IsKeyRuleKnown reports whether the rule follows from the configuration.
func (c *Config) IsKeyRuleKnown() bool { return c.Keys != KeysUnstated || len(c.Organisations) > 0 }

func (c *Config) keyRule() KeyRule {
	switch {
	case len(c.Organisations) > 0:
		return KeysRequired
	case c.Keys == KeysUnstated:
		return KeysNotRequired
	}
	return c.Keys
}

// Table answers which route and organisation a request belongs to.
type Table struct {
	config   Config
	routes   map[string]*Route
	services map[string]*Service
	keys     map[string]*Organisation
}

// Compile checks a configuration and builds its table.
func Compile(c Config) (*Table, error) {
	c.Keys = c.keyRule()
	t := &Table{
		config:   c,
		routes:   make(map[string]*Route, len(c.Routes)),
		services: make(map[string]*Service, len(c.Services)),
		keys:     make(map[string]*Organisation),
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		if err := t.add(&c.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			if key != "" {
				// A request without a key has the key "".
				t.keys[key] = &c.Organisations[i]
			}
		}
	}
	return t, nil
}

func (t *Table) add(r *Route) error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("%w: route %q: host %q, prefix %q", ErrInvalid, r.Name, r.Host, r.Prefix)
	}
	if len(r.Shares) == 0 {
		return fmt.Errorf("%w: route %q leads to no service", ErrInvalid, r.Name)
	}
	for _, s := range r.Shares {
		if s.Weight < 0 {
			return fmt.Errorf("%w: route %q: weight %d", ErrInvalid, r.Name, s.Weight)
		}
	}
	t.routes[strings.ToLower(r.Host)+r.Prefix] = r
	return nil
}

// Version returns the configuration's version.
func (t *Table) Version() uint64 { return t.config.Version }

// Limits returns the limits for callers.
func (t *Table) Limits() Limits { return t.config.Limits }

// Config returns the configuration, which must not be changed.
func (t *Table) Config() Config { return t.config }

// Keyed tells whether requests need a key, unless their route is public.
func (t *Table) Keyed() bool { return t.config.Keys == KeysRequired }

// Match returns the route of the host whose prefix is the longest that begins
// the path, or nil. host may carry a port.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(hostOnly(host))
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, found := t.routes[host+path[:end+1]]; found {
			return r
		}
	}
	return nil
}

func hostOnly(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// Organisation returns who holds a key, or nil.
func (t *Table) Organisation(key string) *Organisation { return t.keys[key] }

// Service returns a service, or nil if the configuration has none of the name.
func (t *Table) Service(name string) *Service { return t.services[name] }
