package placement

import "math"

// EngineState is the owner's view of one of its engines.
type EngineState struct {
	// InFlight counts the requests that the engine runs: exactly for the owner's own,
	// by the engine's last report for those of other routers.
	InFlight int
	// Slots is the most requests the engine runs at a time; 0 means no limit.
	Slots int
	// HasPrefix tells that the request's shared prefix was sent to this engine recently.
	HasPrefix bool
	// Ineligible excludes the engine: it is leaving, suspect or lacks the adapter.
	Ineligible bool
}

// Bounds holds the load limits for one choice in an owner's group.
type Bounds struct {
	// LoadFactor is the operator's bound as a multiple of the mean load, at least 1.
	LoadFactor float64
	// FleetMean is the mean load of all engines of the pool, from digests.
	FleetMean float64
}

// maxLoad returns the load that no engine may exceed.
//
// The minimum of two requests above the mean keeps a nearly idle pool from refusing:
// at a mean of 0.5 a factor of 1.25 would allow no second request.
func (b Bounds) maxLoad() float64 {
	const minHeadroom = 2
	return max(b.LoadFactor*b.FleetMean, b.FleetMean+minHeadroom)
}

// PickEngine picks the engine for a request in the owner's group and returns its
// index in engines, or None when all are at the maximum load.
//
// The token's engine holds the chat's cache and is taken while its load is below
// max(LoadFactor x group mean, mean + 1). Otherwise the least loaded engine is taken,
// or one with the shared prefix whose load is within one request of it.
func PickEngine(engines []EngineState, token int, b Bounds) int {
	limit := b.maxLoad()
	if token != None && engines[token].hasRoom(limit) {
		mean := groupMean(engines)
		if float64(engines[token].InFlight) < max(b.LoadFactor*mean, mean+1) {
			return token
		}
	}
	return leastLoaded(engines, limit)
}

// hasRoom tells whether the engine can take one more request.
func (e EngineState) hasRoom(limit float64) bool {
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
		if !e.hasRoom(limit) {
			continue
		}
		if best == None || lessLoaded(e, engines[best]) {
			best = i
		}
	}
	return best
}

// lessLoaded tells whether a is preferred to b. Having the prefix outweighs one request.
func lessLoaded(a, b EngineState) bool {
	return adjustedLoad(a) < adjustedLoad(b)
}

func adjustedLoad(e EngineState) float64 {
	const prefixBonus = 1.5
	w := float64(e.InFlight)
	if e.HasPrefix {
		w -= prefixBonus
	}
	return w
}
