package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/croftyard/croftyard/pkg/rollout"
)

// While a version is rolled out, a share of the requests goes to its replicas and the rest
// to the others. A small share goes to a few replicas only, the same ones for all routers:
// these then carry as much each as the others do, and show faults that need load.

// minCanaries is the least number of replicas that a share goes to, so that a fault of one
// replica can be distinguished from one of the version.
const minCanaries = 2

// eligibleCandidates returns the candidates for a request of the version that it goes to.
func (b *Balancer) eligibleCandidates(q Request, bound float64, now time.Time) []*replica {
	all := b.services[q.Service]
	plan, limited := b.rollouts.Plan(q.Service, now)
	if q.OnlyVersion {
		return b.candidates(q, ofVersion(q.Version, all, plan), bound, now)
	}
	if left := b.preferredCandidates(q, plan, limited, bound, now); len(left) > 0 {
		return left
	}
	return b.shareOut(q, all, plan, limited, bound, now)
}

// preferredCandidates returns the candidates of the preferred versions, or none if none of these has
// room, all versions are preferred, or this request is one of those that would load them too much.
func (b *Balancer) preferredCandidates(q Request, plan rollout.Plan, limited bool, bound float64, now time.Time) []*replica {
	all := b.services[q.Service]
	isOther := func(r *replica) bool { return !slices.Contains(q.PreferredVersions, r.Version) }
	if len(q.PreferredVersions) == 0 || !slices.ContainsFunc(all, isOther) {
		return nil
	}
	current, updated := divideByVersion(all, plan)
	preferred := slices.DeleteFunc(slices.Concat(current, updated), isOther)
	if !b.prefersNow(q, preferred, all, bound, now) {
		return nil
	}
	left := b.shareOut(q, preferred, plan, limited, bound, now)
	if !slices.ContainsFunc(left, func(r *replica) bool { return b.hasRoom(r, bound, now) }) {
		return nil
	}
	return left
}

const (
	// preferredShare is the part of the bound on its load up to which a replica is preferred. Routers
	// know each other's requests late, and go above what they aim at.
	preferredShare = 0.7
	// preferenceGain is the chance of a preference for each part of the others' load that the preferred
	// replicas have room for. Few requests may have one, and loads that are reported correct the chance.
	preferenceGain = 2
)

// prefersNow decides by chance whether a request goes to the preferred replicas. They have room for a
// part of what the others run, and get a share of the requests in proportion to it: if all requests
// went there until reports show them as loaded, they would exceed the bound.
func (b *Balancer) prefersNow(q Request, preferred, all []*replica, bound float64, now time.Time) bool {
	room, others := 0.0, 0.0
	for _, r := range preferred {
		load := b.load(r, now)
		others -= load
		left := preferredShare*bound - load
		if b.isHeldBack(r, q, now) || !b.takesRequests(r, now) {
			left = min(left, 0)
		}
		room += left
	}
	for _, r := range all {
		others += b.load(r, now)
	}
	return b.random.Float64()*others < preferenceGain*room
}

// isHeldBack reports whether a request hardly goes to a replica though that may take requests: it was tried
// or is excluded, as one that leaves, is cold, rests, is not reached by other routers, or must be spared.
func (b *Balancer) isHeldBack(r *replica, q Request, now time.Time) bool {
	return slices.Contains(q.Tried, r.ID) || isCold(r.Replica, q, now) || now.Before(r.restUntil) || r.reported.isAvoided(now) || b.mustSpare(r, now)
}

// hasRoom reports whether a replica takes requests and is below the bound.
func (b *Balancer) hasRoom(r *replica, bound float64, now time.Time) bool {
	return b.takesRequests(r, now) && b.load(r, now) < bound
}

// takesRequests reports whether a replica is within reach and not full, and was not seen to reject
// requests or to leave them unanswered. It may have failed some that it ran.
func (b *Balancer) takesRequests(r *replica, now time.Time) bool {
	failing := r.health.isAvoided(now) && !r.health.kind.isSoft()
	return !failing && !r.isCutOff(now) && !b.isFull(r, now)
}

// shareOut returns the candidates among some replicas by the shares of a roll-out.
func (b *Balancer) shareOut(q Request, all []*replica, plan rollout.Plan, limited bool, bound float64, now time.Time) []*replica {
	if !limited {
		return b.candidates(q, all, bound, now)
	}
	current, updated := divideByVersion(all, plan)
	if len(updated) > 0 && b.random.Float64() < plan.Share {
		canaries := canariesOf(updated, len(current), plan)
		left := b.candidates(q, canaries, bound, now)
		hasRoom := func(r *replica) bool { return b.isEligible(r, bound, now) }
		if plan.Share == 1 && len(left) > 0 || slices.ContainsFunc(left, hasRoom) {
			return left
		}
	}
	left := b.candidates(q, current, bound, now)
	if len(left) == 0 && plan.Share == 1 {
		return b.candidates(q, updated, bound, now)
	}
	return left
}

// ofVersion returns the replicas of a version, except those of one that was rolled back.
func ofVersion(version string, all []*replica, plan rollout.Plan) []*replica {
	current, updated := divideByVersion(all, plan)
	return slices.DeleteFunc(slices.Concat(current, updated), func(r *replica) bool { return r.Version != version })
}

// Versions returns the software versions of a service's replicas that may get work. It has no
// order, and a version that several replicas share stands in it once at least.
func (b *Balancer) Versions(service string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var versions []string
	for _, r := range b.services[service] {
		if len(versions) == 0 || versions[len(versions)-1] != r.Version {
			versions = append(versions, r.Version)
		}
	}
	return versions
}

// VersionOf returns the software version of a listed replica.
func (b *Balancer) VersionOf(id string) (version string, listed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[id]
	if r == nil {
		return "", false
	}
	return r.Version, true
}

// divideByVersion divides replicas into those of the version that is rolled out and the
// others. Excluded versions are in neither, unless there is nothing else.
func divideByVersion(all []*replica, plan rollout.Plan) (current, updated []*replica) {
	var excluded []*replica
	for _, r := range all {
		switch {
		case slices.Contains(plan.Excluded, r.Version):
			excluded = append(excluded, r)
		case plan.Version != "" && r.Version == plan.Version:
			updated = append(updated, r)
		default:
			current = append(current, r)
		}
	}
	if len(current)+len(updated) == 0 {
		return excluded, nil
	}
	return current, updated
}

// canariesOf returns the replicas of the new version to which its share goes.
func canariesOf(updated []*replica, others int, plan rollout.Plan) []*replica {
	count := max(int(math.Ceil(plan.Share*float64(others))), minCanaries)
	if plan.Share >= 1 || count >= len(updated) {
		return updated
	}
	key := hashString(plan.Version)
	ranked := slices.Clone(updated)
	slices.SortFunc(ranked, func(x, y *replica) int { return cmp.Compare(homeRank(y, key), homeRank(x, key)) })
	return ranked[:count]
}

// idleVersions returns how many replicas get little or nothing because of their version.
func (b *Balancer) idleVersions(now time.Time) int {
	idle := 0
	for _, service := range b.rollouts.Services() {
		idle += b.idleVersionsOf(service, now)
	}
	return idle
}

func (b *Balancer) idleVersionsOf(service string, now time.Time) int {
	plan, limited := b.rollouts.Plan(service, now)
	if !limited {
		return 0
	}
	all := b.services[service]
	current, updated := divideByVersion(all, plan)
	if plan.Share == 1 && len(updated) > 0 {
		return len(all) - len(updated)
	}
	return len(all) - len(current)
}
