package placement

import "math"

// EngineState is what the owner knows of one of its engines.
type EngineState struct {
	// InFlight counts the requests that this engine is running, the owner's own
	// exactly and those of other routers by the engine's last report.
	InFlight int
	// Slots is the most requests the engine takes at a time; 0 means no limit.
	Slots int
	// HasPrefix tells that the request's shared prefix was sent here lately.
	HasPrefix bool
	// Ineligible rules the engine out: leaving, suspect, wrong adapter.
	Ineligible bool
}

// Bounds are the limits of one decision in an owner's group.
type Bounds struct {
	// LoadFactor is the operator's bound, a multiple of the mean, at least 1.
	LoadFactor float64
	// FleetMean is the mean load of all engines of the pool, from digests.
	FleetMean float64
}

// hard is the load that no engine may exceed.
//
// The two places above the mean keep a nearly idle pool from refusing: at a
// mean of 0.5 a bound of 1.25 would allow no second request.
func (b Bounds) hard() float64 {
	const idle = 2
	return max(b.LoadFactor*b.FleetMean, b.FleetMean+idle)
}

// PickEngine picks the engine for a request inside the owner's group and
// returns its index in engines, or None when all are at the hard bound.
//
// The token's engine is taken while it is below max(C x group mean, mean + 1):
// it holds the chat's cache. Otherwise the least loaded is taken, and among
// those within one request of it one that holds the shared prefix.
func PickEngine(engines []EngineState, token int, b Bounds) int {
	limit := b.hard()
	if token != None && engines[token].free(limit) {
		mean := groupMean(engines)
		if float64(engines[token].InFlight) < max(b.LoadFactor*mean, mean+1) {
			return token
		}
	}
	return leastLoaded(engines, limit)
}

// free tells whether one more request may go to the engine.
func (e EngineState) free(limit float64) bool {
	if e.Ineligible {
		return false
	}
	if e.Slots > 0 && e.InFlight >= e.Slots {
		return false
	}
	return float64(e.InFlight)+1 <= math.Ceil(limit)
}

func groupMean(engines []EngineState) float64 {
	sum, n := 0, 0
	for _, e := range engines {
		if e.Ineligible {
			continue
		}
		sum += e.InFlight
		n++
	}
	if n == 0 {
		return 0
	}
	return float64(sum) / float64(n)
}

func leastLoaded(engines []EngineState, limit float64) int {
	best := None
	for i, e := range engines {
		if !e.free(limit) {
			continue
		}
		if best == None || lighter(e, engines[best]) {
			best = i
		}
	}
	return best
}

// lighter compares two engines. Holding the prefix is worth one request.
func lighter(a, b EngineState) bool {
	return weight(a) < weight(b)
}

func weight(e EngineState) float64 {
	const holdsPrefix = 1.5
	w := float64(e.InFlight)
	if e.HasPrefix {
		w -= holdsPrefix
	}
	return w
}
