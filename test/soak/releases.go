package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Plans with releases have the shape of two of the users' deployments: six or nine routers in
// three data centres before twelve engines of two software versions and some plain replicas.

// zones are the data centres in plans with releases.
var zones = []string{"north", "south", "west"}

const (
	fewRouters, manyRouters = 6, 9
	// releaseEngines is how many engines there are of each service.
	releaseEngines = 12
	// breakOneIn: one stream in so many breaks off.
	breakOneIn = 3
)

func (p plan) hasReleases() bool {
	return p.Extras == extraReleases || p.Extras == extraReleasesRestarts || p.Extras == extraReleasesKills
}

// firstVersion is the version of the n-th replica at the start.
func firstVersion(n, pieces int) string {
	if pieces == 0 {
		return ""
	}
	return softwareVersions[n/len(zones)%2]
}

// planWithReleases is a plan of releases that follow each other.
func planWithReleases(extras string, seed uint64, length time.Duration) plan {
	rnd := rand.New(rand.NewPCG(seed, seed))
	p := plan{Seed: seed, Routers: []int{fewRouters, manyRouters}[seed%2], Profile: profiles[0], Extras: extras}
	const shortest, longest = 3 * time.Second, 9 * time.Second
	for at := between(rnd, 0, shortest); at < length; at += between(rnd, shortest, longest) {
		p.Actions = append(p.Actions, action{At: at, Kind: kindReleaseAll, Target: rnd.Int(), For: between(rnd, 0, shortestFault*5)})
	}
	kinds := []string{kindPublish, kindUndelimited}
	switch extras {
	case extraReleasesRestarts:
		kinds = []string{kindPublish, kindUndelimited, kindKill, kindKill, kindTerm}
	case extraReleasesKills:
		kinds = []string{kindPublish, kindUndelimited, kindKill, kindKill, kindKillAll}
	}
	for at := between(rnd, shortestPause, longestFault); at < length; at += between(rnd, longestPause, longestFault) {
		p.Actions = append(p.Actions, drawn(rnd, pick(rnd, kinds), length))
	}
	p.sort()
	return p
}

// releaseAll replaces the engines of a service, one after another, by ones of another version. A
// part of them is left in some releases.
func (s *soak) releaseAll(a action, rnd *rand.Rand) {
	const left = 3 // one release in so many leaves half
	version := pick(rnd, softwareVersions)
	service := []string{engines, long}[a.Target%2]
	seats := slices.DeleteFunc(s.world.streamSeats(), func(place *seat) bool { return place.options.Service != service })
	if rnd.IntN(left) == 0 {
		seats = seats[:len(seats)/2]
	}
	for _, place := range seats {
		place.mu.Lock()
		place.options.Version = version
		place.mu.Unlock()
		declared, own := rnd.IntN(2) == 0, rand.New(rand.NewPCG(rnd.Uint64(), 0))
		s.work.Go(func() { s.leave(place, own, declared) })
		time.Sleep(a.For)
	}
}
