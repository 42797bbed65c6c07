package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// action is one fault at its time.
type action struct {
	At   time.Duration
	Kind string
	// Target draws whom it befalls, For is how long it lasts.
	Target int
	For    time.Duration
}

// Kinds of faults, by what they cost.
var (
	// plannedKinds are work that is to cost nothing.
	plannedKinds = []string{kindTerm, kindTerm, kindHangUp, kindPublish, kindPublish, kindRevoke, kindDrain, kindDrain, kindVanish}
	// replicaKinds befall replicas and their links.
	replicaKinds = []string{kindFaults, kindFaults, kindFaults, kindCrash, kindLink}
	// hardKinds befall routers and the store.
	hardKinds = []string{kindKill, kindKill, kindFreeze, kindFreeze, kindRefuse, kindStoreDown, kindStoreSlow, kindStoreSilent,
		kindStoreLoses, kindTermFrozen, kindRoll, kindKillAll}
)

// The kinds.
const (
	kindTerm        = "term"
	kindTermFrozen  = "term-while-frozen"
	kindRoll        = "term-all-in-series"
	kindHangUp      = "hang-up"
	kindPublish     = "publish"
	kindRevoke      = "revoke"
	kindDrain       = "replica-drains"
	kindVanish      = "replica-vanishes"
	kindFaults      = "replica-faults"
	kindCrash       = "replica-crashes"
	kindLink        = "replica-link"
	kindKill        = "kill"
	kindKillAll     = "kill-all"
	kindFreeze      = "freeze"
	kindRefuse      = "store-refuses-one"
	kindStoreDown   = "store-down"
	kindStoreSlow   = "store-slow"
	kindStoreSilent = "store-silent"
	kindStoreLoses  = "store-loses-answers"
	kindReborn      = "replica-starts-again"
	kindForeign     = "foreign-entry"
	kindSpoil       = "entry-spoilt"
	kindDeadly      = "deadly-request"
	kindLongFreeze  = "long-freeze"
	kindDrill       = "store-back-from-copy"
	kindOtherBuild  = "other-build"
	kindRollBuild   = "other-build-all-in-series"
	kindAnnounce    = "replica-announces-shutdown"
	kindRest        = "replica-asks-for-rest"
	kindRestAll     = "all-replicas-of-a-service-ask-for-rest"
	kindPartition   = "routers-cut-from-all-replicas"
	kindBrittle     = "brittle-replicas"
	kindSilence     = "replica-silent-for-a-second"
	kindUndelimited = "answers-without-length-or-chunks"
	kindRelease     = "replica-of-another-version"
	kindBreak       = "streams-break-off"
	kindDeadlyPart  = "deadly-part-of-prompts"
	kindReleaseAll  = "all-engines-of-another-version"
	kindLopsided    = "most-new-connections-to-one-router"
)

// moreKinds come besides, in runs that have more. The schedule of a seed is the same
// with them but for what is added, so that the seeds that once failed stay as they were.
var moreKinds = []string{kindReborn, kindReborn, kindForeign, kindSpoil, kindDeadly, kindDeadly, kindLongFreeze}

// morePart is how many of the others come for one that is added.
const morePart = 3

// extras name what a plan has besides the kinds of its profile. Each has the schedule of
// the one before, with what it adds between.
const (
	noExtras = ""
	// extraMore has moreKinds, extraDrills a store that comes back from copies too.
	extraMore   = "more"
	extraDrills = "drills"
	// extraBuilds has moreKinds, and routers that are replaced by those of another build
	// and back; extraOldest the same with the oldest build, without moreKinds, some of
	// which it does not know.
	extraBuilds = "builds"
	extraOldest = "oldest"
	// extraStatements has moreKinds, and replicas that say in their answers that they leave
	// or want no requests for a time.
	extraStatements = "statements"
	// extraPaths has moreKinds, routers that are cut off from all replicas, replicas that are
	// brittle and say so, and replicas that are silent for a second.
	extraPaths = "paths"
	// extraStreams has moreKinds, answers that end with their connection, and replicas of
	// several software versions whose streams break off.
	extraStreams = "streams"
	// extraParts has moreKinds, prompts of several parts, of which one crashes what begins to
	// answer it, and times in which most new connections go to one router.
	extraParts = "parts"
	// extraReleases has releases of all engines, back and forth, and streams that break off at any
	// byte; no router is ended. extraReleasesRestarts ends some routers besides, never all,
	// extraReleasesKills all too.
	extraReleases         = "releases"
	extraReleasesRestarts = "releases-restarts"
	extraReleasesKills    = "releases-kills"
)

// planWith is the plan of a seed with extras.
func planWith(extras string, seed uint64, length time.Duration) plan {
	var p plan
	switch extras {
	case noExtras:
		return planOf(seed, length)
	case extraMore:
		return planWithMore(seed, length)
	case extraReleases, extraReleasesRestarts, extraReleasesKills:
		return planWithReleases(extras, seed, length)
	case extraOldest:
		p = planOf(seed, length)
	default:
		p = planWithMore(seed, length)
	}
	p.Extras = extras
	kinds := []string{kindOtherBuild, kindOtherBuild, kindRollBuild}
	switch extras {
	case extraDrills:
		kinds = []string{kindDrill}
	case extraStatements:
		kinds = []string{kindAnnounce, kindAnnounce, kindRest, kindRest, kindRestAll}
	case extraPaths:
		kinds = []string{kindPartition, kindPartition, kindBrittle, kindSilence}
	case extraParts:
		kinds = []string{kindDeadlyPart, kindLopsided}
	case extraStreams:
		kinds = []string{kindUndelimited, kindRelease, kindBreak, kindBreak}
	}
	rnd := rand.New(rand.NewPCG(seed, seed+2))
	for range 1 + len(p.Actions)/morePart {
		p.Actions = append(p.Actions, drawn(rnd, pick(rnd, kinds), length))
	}
	p.sort()
	return p
}

// drawn is an action of a kind at some time.
func drawn(rnd *rand.Rand, kind string, length time.Duration) action {
	return action{At: between(rnd, 0, length), Kind: kind, Target: rnd.Int(), For: between(rnd, shortestFault, longestFault)}
}

func (p *plan) sort() {
	slices.SortStableFunc(p.Actions, func(a, b action) int { return cmp.Compare(a.At, b.At) })
}

// plan is what a seed draws.
type plan struct {
	Seed    uint64
	Routers int
	// Profile names which kinds of faults there are.
	Profile string
	// Extras names what comes besides.
	Extras  string
	Actions []action
}

// Numbers of routers, pauses between two faults, and how long one lasts.
const (
	fewestRouters = 3
	mostRouters   = 6
	shortestPause = 100 * time.Millisecond
	longestPause  = 900 * time.Millisecond
	shortestFault = 100 * time.Millisecond
	longestFault  = 2500 * time.Millisecond
)

// Profiles. Unplanned faults excuse much of what stands around them, so a third of
// the seeds has none, and a third none of routers and store.
var profiles = []string{"planned", "planned+replicas", "all"}

// planWithMore is planOf with actions of moreKinds between the others. A long freeze is
// of the profile that strikes routers.
func planWithMore(seed uint64, length time.Duration) plan {
	p := planOf(seed, length)
	rnd := rand.New(rand.NewPCG(seed, seed+1))
	if p.Profile == profiles[0] {
		return p
	}
	for range 1 + len(p.Actions)/morePart {
		kind := pick(rnd, moreKinds)
		if kind == kindLongFreeze && p.Profile != profiles[2] {
			continue
		}
		p.Actions = append(p.Actions, drawn(rnd, kind, length))
	}
	p.sort()
	return p
}

// planOf draws the schedule of a seed: the same for the same seed.
func planOf(seed uint64, length time.Duration) plan {
	rnd := rand.New(rand.NewPCG(seed, seed))
	p := plan{Seed: seed, Routers: fewestRouters + rnd.IntN(mostRouters-fewestRouters+1), Profile: profiles[rnd.IntN(len(profiles))]}
	for at := between(rnd, shortestPause, longestPause); at < length; at += between(rnd, shortestPause, longestPause) {
		a := action{At: at, Kind: p.kind(rnd), Target: rnd.Int(), For: between(rnd, shortestFault, longestFault)}
		p.Actions = append(p.Actions, a)
	}
	return p
}

// kind draws a kind of the profile: each class is as frequent as the others.
func (p *plan) kind(rnd *rand.Rand) string {
	classes := [][]string{plannedKinds, replicaKinds, hardKinds}
	class := classes[rnd.IntN(slices.Index(profiles, p.Profile)+1)]
	return pick(rnd, class)
}

func between(rnd *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rnd.Int64N(int64(high-low)))
}

// String tells the schedule.
func (p plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %d routers, %s %s\n", p.Seed, p.Routers, p.Profile, p.Extras)
	for _, a := range p.Actions {
		fmt.Fprintf(&b, "%8s %s, target %d, for %s\n", a.At.Round(time.Millisecond), a.Kind, a.Target, a.For.Round(time.Millisecond))
	}
	return b.String()
}
