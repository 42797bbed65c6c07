package settings

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/croftyard/croftyard/pkg/mechanism"
)

// PlatformKind tells what a router finds at the platform's address.
type PlatformKind string

// The kinds.
const (
	// PlatformService is the key-value service that holds templates and groups.
	PlatformService PlatformKind = "service"
	// PlatformStore is a store that holds routes and the entries of replicas.
	PlatformStore PlatformKind = "store"
)

// Peers tells how routers that serve routes find each other.
type Peers struct {
	// Seeds are peers' addresses of a few routers; they may be stale or down.
	Seeds []string
	// Period is the pause between two exchanges with a peer.
	Period time.Duration
}

// Routes holds the times of a router that serves routes.
type Routes struct {
	// Dial bounds the opening of a connection to a replica.
	Dial time.Duration
	// Silence is how long sent bytes may stay unacknowledged by a replica. A sound replica may
	// be silent for a second and more.
	Silence time.Duration
	// Source is the IP address from which connections to replicas are opened, empty if the
	// system chooses it.
	Source string
	// Keep is how long a connection to a replica rests before it is closed.
	Keep time.Duration
	// Crashes is how many replicas in a row a request may crash before it is not sent
	// any more for CrashHold; 0: requests are sent whatever they crash.
	Crashes   int
	CrashHold time.Duration
	// PartCrashes is the same for a part of prompts, in whatever requests it stands.
	PartCrashes int
	// FirstStart: the whole fleet starts for the first time, so that no engine
	// holds anything yet.
	FirstStart bool
}

// Bounds are what the users hold the whole fleet to.
type Bounds struct {
	// Apply is the time in which an accepted configuration is in force, Revoke
	// that in which a key that was taken away is refused everywhere.
	Apply  time.Duration
	Revoke time.Duration
	// RevokeAlways: Revoke binds routers that are cut off as well. Where it does
	// not, they go on believing the keys that they know.
	RevokeAlways bool
	// Drain is the time after which a replica that said that it leaves gets nothing
	// new.
	Drain time.Duration
	// Evacuate is the time after which the replicas of a data centre that was
	// evacuated get nothing new.
	Evacuate time.Duration
	// ColdOverage is how many times what a cold replica bears all routers may send it
	// in any one second, beside ColdAllowance.
	ColdOverage   float64
	ColdAllowance float64
	// LoadFactor is how many times the mean of its service a replica may carry.
	LoadFactor float64
	// Exposure is the part of a service's requests that a bad version may get until the
	// deadline of its roll-out.
	Exposure float64
	// Grace is the time from the order to stop until the kill.
	Grace time.Duration
	// Heartbeat is how often replicas renew their entries.
	Heartbeat time.Duration
	// RepeatRatio is the fleet's repeats over its requests in RepeatWindow,
	// beside RepeatAllowance.
	RepeatRatio     float64
	RepeatAllowance float64
	RepeatWindow    time.Duration
}

func defaultRoutes() Routes {
	return Routes{Dial: 300 * time.Millisecond, Silence: 3 * time.Second, Keep: time.Minute, Crashes: 3, PartCrashes: 3, CrashHold: 2 * time.Minute}
}

func defaultPeers() Peers { return Peers{Period: 300 * time.Millisecond} }

func defaultBounds() Bounds {
	return Bounds{
		Apply:           2 * time.Second,
		Revoke:          5 * time.Second,
		RevokeAlways:    true,
		Drain:           2 * time.Second,
		Evacuate:        5 * time.Second,
		ColdOverage:     1.5,
		ColdAllowance:   5,
		LoadFactor:      2,
		Exposure:        0.1,
		Grace:           8 * time.Second,
		Heartbeat:       1200 * time.Millisecond,
		RepeatRatio:     0.1,
		RepeatAllowance: 30,
		RepeatWindow:    10 * time.Second,
	}
}

func (r *reader) peers(p *Peers) {
	r.section("peers")
	if v, set := r.value("seeds"); set && v != "" {
		p.Seeds = strings.Split(v, ",")
		for _, seed := range p.Seeds {
			if _, _, err := net.SplitHostPort(seed); err != nil {
				r.reject("peers", "seeds", v, "must be IP:PORT, separated by commas")
				break
			}
		}
	}
	r.duration("period", &p.Period, 10*time.Millisecond, time.Minute)
}

func (r *reader) routes(t *Routes) {
	r.section("routes")
	r.duration("dial", &t.Dial, time.Millisecond, time.Minute)
	r.duration("silence", &t.Silence, time.Millisecond, time.Hour)
	if v, set := r.value("source"); set && v != "" {
		if t.Source = v; net.ParseIP(v) == nil {
			r.reject("routes", "source", v, "must be an IP address")
		}
	}
	r.duration("keep", &t.Keep, time.Millisecond, time.Hour)
	r.int("crashes", &t.Crashes, 0, 1000)
	r.int("part_crashes", &t.PartCrashes, 0, 1000)
	r.duration("crash_hold", &t.CrashHold, time.Second, 24*time.Hour)
	r.bool("first_start", &t.FirstStart)
}

func (r *reader) bounds(b *Bounds) {
	r.section("bounds")
	r.duration("apply", &b.Apply, 10*time.Millisecond, time.Hour)
	r.duration("revoke", &b.Revoke, 10*time.Millisecond, time.Hour)
	r.bool("revoke_always", &b.RevokeAlways)
	r.duration("drain", &b.Drain, 10*time.Millisecond, time.Hour)
	r.duration("evacuate", &b.Evacuate, 10*time.Millisecond, time.Hour)
	r.float("cold_overage", &b.ColdOverage, 0, 100)
	r.float("cold_allowance", &b.ColdAllowance, 1, 1e6)
	r.float("load_factor", &b.LoadFactor, 1, 100)
	r.float("exposure", &b.Exposure, 0, 1)
	r.duration("grace", &b.Grace, 10*time.Millisecond, time.Hour)
	r.duration("heartbeat", &b.Heartbeat, time.Millisecond, time.Hour)
	r.float("repeat_ratio", &b.RepeatRatio, 0, 1)
	r.float("repeat_allowance", &b.RepeatAllowance, 0, 1e6)
	r.duration("repeat_window", &b.RepeatWindow, 10*time.Millisecond, time.Hour)
	if b.RepeatAllowance > 0 && b.RepeatAllowance < 1 {
		r.reject("bounds", "repeat_allowance", fmt.Sprint(b.RepeatAllowance), "must be 0, for no repeats, or at least 1")
	}
}

func (r *reader) experiments(without *mechanism.Set) {
	r.section("experiments")
	v, set := r.value("without")
	if !set {
		return
	}
	parsed, err := mechanism.Parse(v)
	if err != nil {
		r.reject("experiments", "without", v, err.Error())
		return
	}
	*without = parsed
}

func (r *reader) kind(key string, to *PlatformKind) {
	v, set := r.value(key)
	if !set {
		return
	}
	switch k := PlatformKind(v); k {
	case PlatformService, PlatformStore:
		*to = k
	default:
		r.reject(r.current, key, v, fmt.Sprintf("must be %s or %s", PlatformService, PlatformStore))
	}
}

func (r *reader) bool(key string, to *bool) {
	v, set := r.value(key)
	if !set {
		return
	}
	b, err := strconv.ParseBool(v)
	if err != nil {
		r.reject(r.current, key, v, "must be true or false")
		return
	}
	*to = b
}
