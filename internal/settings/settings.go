// Package settings reads the INI file that a process starts with.
//
// Settings are what differs between processes: its name, its addresses, its
// data centre, where the platform is. What the fleet shares is configuration
// and lives in the platform's service (package policy). The file is checked as
// a whole: all errors come at once, each with file, section, key, value and
// what is allowed.
package settings

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"gopkg.in/ini.v1"

	"github.com/croftyard/croftyard/pkg/mechanism"
)

// ErrInvalid is wrapped by every error of this package.
var ErrInvalid = errors.New("settings: not valid")

// Settings of one router.
type Settings struct {
	// Name is unique in the fleet.
	Name string
	// DataCentre is the one this instance stands in.
	DataCentre string
	LogLevel   logrus.Level
	Listen     Listen
	Platform   Platform
	Limits     Limits
	Peers      Peers
	Routes     Routes
	Bounds     Bounds
	Overload   Overload
	// Without are the mechanisms that an experiment leaves out.
	Without mechanism.Set
}

// Listen holds the addresses (host:port) that the process listens on.
type Listen struct {
	// Callers is for requests, Peers for other routers, Admin for operators.
	Callers string
	Peers   string
	Admin   string
	// Readiness is where the balancer asks; empty: the admin listener only.
	Readiness string
}

// Platform tells where the platform's service is and how it may be used.
type Platform struct {
	URL string
	// Kind tells what stands at URL.
	Kind PlatformKind
	// Timeout bounds one call.
	Timeout time.Duration
	// Rate is the calls a second that this process may make.
	Rate float64
	// Poll is the pause between two reads of the instance list.
	Poll time.Duration
	// Contracts are the names of what the platform holds routers to on this site.
	Contracts []string
}

// Limits of what the process accepts and how long it waits.
type Limits struct {
	// Body and Header are the largest request body and header, in bytes.
	Body   int64
	Header int
	// Queue is the most requests waiting at this router.
	Queue int
	// Slots is the most requests that one engine is given at a time.
	Slots int
	// Idle bounds the silence of a target or a caller.
	Idle time.Duration
	// Drain bounds a planned stop.
	Drain time.Duration
	// HeldBytes is the most that is held for all callers together; 0: no limit.
	HeldBytes int64
	// DigestPeriod is the pause between two load digests.
	DigestPeriod time.Duration
}

// Default returns the settings that hold where the file is silent.
func Default() Settings {
	return Settings{
		LogLevel: logrus.InfoLevel,
		Listen:   Listen{Callers: "127.0.0.1:8080", Peers: "127.0.0.1:8081", Admin: "127.0.0.1:8082"},
		Platform: Platform{Kind: PlatformService, Timeout: 2 * time.Second, Rate: 5, Poll: time.Second},
		Peers:    defaultPeers(),
		Routes:   defaultRoutes(),
		Bounds:   defaultBounds(),
		Overload: defaultOverload(),
		Limits: Limits{
			Body:         8 << 20,
			Header:       32 << 10,
			Queue:        4096,
			Slots:        256,
			Idle:         30 * time.Second,
			Drain:        2 * time.Minute,
			DigestPeriod: time.Second,
		},
	}
}

// Read reads and checks a file.
func Read(path string) (Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, path)
	if err != nil {
		return Settings{}, fmt.Errorf("%w: %s: %v", ErrInvalid, path, err)
	}
	return parse(path, file)
}

// Parse checks settings that were already read; path is named in errors.
func Parse(path string, text []byte) (Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, text)
	if err != nil {
		return Settings{}, fmt.Errorf("%w: %s: %v", ErrInvalid, path, err)
	}
	return parse(path, file)
}

func parse(path string, file *ini.File) (Settings, error) {
	s := Default()
	r := &reader{path: path, file: file, known: make(map[string][]string)}

	r.section("instance")
	r.name("name", &s.Name)
	r.name("data_centre", &s.DataCentre)
	r.level("log_level", &s.LogLevel)

	r.section("listen")
	r.address("callers", &s.Listen.Callers)
	r.address("peers", &s.Listen.Peers)
	r.address("admin", &s.Listen.Admin)
	r.address("readiness", &s.Listen.Readiness)

	r.section("platform")
	r.url("url", &s.Platform.URL)
	r.kind("kind", &s.Platform.Kind)
	r.duration("timeout", &s.Platform.Timeout, time.Millisecond, time.Minute)
	r.float("rate", &s.Platform.Rate, 0.1, 2000)
	r.duration("poll", &s.Platform.Poll, 10*time.Millisecond, time.Minute)
	r.words("contracts", &s.Platform.Contracts)

	r.section("limits")
	r.integer("body", &s.Limits.Body, 1<<10, 1<<30)
	r.int("header", &s.Limits.Header, 1<<10, 1<<20)
	r.int("queue", &s.Limits.Queue, 1, 1<<20)
	r.int("slots", &s.Limits.Slots, 1, 1<<16)
	r.duration("idle", &s.Limits.Idle, 100*time.Millisecond, time.Hour)
	r.duration("drain", &s.Limits.Drain, 0, time.Hour)
	r.held(&s.Limits.HeldBytes)
	r.duration("digest_period", &s.Limits.DigestPeriod, 50*time.Millisecond, time.Minute)

	r.peers(&s.Peers)
	r.routes(&s.Routes)
	r.bounds(&s.Bounds)
	r.overload(&s.Overload)
	r.experiments(&s.Without)

	r.rejectUnknown()
	if len(r.problems) > 0 {
		return Settings{}, errors.Join(r.problems...)
	}
	return s, nil
}

// reader reads the keys of a file, remembers which are known and collects
// what is wrong.
type reader struct {
	path     string
	file     *ini.File
	current  string
	known    map[string][]string
	problems []error
}

func (r *reader) section(name string) {
	r.current = name
	r.known[name] = nil
}

func (r *reader) reject(section, key, value, allowed string) {
	r.problems = append(r.problems, fmt.Errorf("%w: %s: [%s] %s = %q: %s", ErrInvalid, r.path, section, key, value, allowed))
}

func (r *reader) value(key string) (string, bool) {
	r.known[r.current] = append(r.known[r.current], key)
	section, err := r.file.GetSection(r.current)
	if err != nil || !section.HasKey(key) {
		return "", false
	}
	values := section.Key(key).ValueWithShadows()
	if len(values) > 1 {
		r.reject(r.current, key, strings.Join(values, " and "), "stands twice")
	}
	return section.Key(key).String(), true
}

func (r *reader) name(key string, to *string) {
	v, set := r.value(key)
	if !set || v == "" || strings.ContainsAny(v, " /\t") {
		r.reject(r.current, key, v, "must be set, without blanks and slashes")
		return
	}
	*to = v
}

func (r *reader) level(key string, to *logrus.Level) {
	v, set := r.value(key)
	if !set {
		return
	}
	level, err := logrus.ParseLevel(v)
	if err != nil {
		r.reject(r.current, key, v, "must be debug, info, warning or error")
		return
	}
	*to = level
}

func (r *reader) address(key string, to *string) {
	v, set := r.value(key)
	if !set {
		return
	}
	host, port, err := net.SplitHostPort(v)
	n, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || portErr != nil || net.ParseIP(host) == nil {
		r.reject(r.current, key, v, "must be IP:PORT with a port up to 65535")
		return
	}
	*to = net.JoinHostPort(host, strconv.FormatUint(n, 10))
}

func (r *reader) url(key string, to *string) {
	v, set := r.value(key)
	u, err := url.Parse(v)
	if !set || err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		r.reject(r.current, key, v, "must be set to a URL that begins with http:// or https://")
		return
	}
	*to = strings.TrimSuffix(v, "/")
}

func (r *reader) duration(key string, to *time.Duration, low, high time.Duration) {
	v, set := r.value(key)
	if !set {
		return
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < low || d > high {
		r.reject(r.current, key, v, fmt.Sprintf("must be a duration from %s to %s, such as 1.5s", low, high))
		return
	}
	*to = d
}

func (r *reader) float(key string, to *float64, low, high float64) {
	v, set := r.value(key)
	if !set {
		return
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= low && n <= high) {
		r.reject(r.current, key, v, fmt.Sprintf("must be a number from %g to %g", low, high))
		return
	}
	*to = n
}

func (r *reader) integer(key string, to *int64, low, high int64) {
	v, set := r.value(key)
	if !set {
		return
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < low || n > high {
		r.reject(r.current, key, v, fmt.Sprintf("must be a whole number from %d to %d", low, high))
		return
	}
	*to = n
}

func (r *reader) int(key string, to *int, low, high int64) {
	n := int64(*to)
	r.integer(key, &n, low, high)
	*to = int(n)
}

// defaultHeldBytes is the most that is held for callers where `memory` is 0, not known.
const defaultHeldBytes = 64 << 20

// held reads how much may be held for callers: `held_bytes`, or else a quarter of `memory`.
// Without either there is no limit.
func (r *reader) held(to *int64) {
	const unset, quarter = -1, 4
	memory := int64(unset)
	r.integer("memory", &memory, 0, 1<<24)
	switch {
	case memory > 0:
		*to = memory << 20 / quarter
	case memory == 0:
		*to = defaultHeldBytes
	}
	r.integer("held_bytes", to, 1<<16, 1<<40)
}

func (r *reader) rejectUnknown() {
	for _, section := range r.file.Sections() {
		keys, known := r.known[section.Name()]
		if !known && section.Name() != ini.DefaultSection {
			r.problems = append(r.problems, fmt.Errorf("%w: %s: [%s]: no such section; allowed are instance, listen, platform, limits, peers, routes, bounds, overload, experiments", ErrInvalid, r.path, section.Name()))
			continue
		}
		for _, key := range section.KeyStrings() {
			if !slices.Contains(keys, key) {
				r.reject(section.Name(), key, section.Key(key).String(), "no such key")
			}
		}
	}
}
