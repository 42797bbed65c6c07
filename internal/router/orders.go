package router

import (
	"github.com/croftyard/croftyard/internal/router/loadorders"
	"github.com/croftyard/croftyard/internal/router/roles"
	"github.com/croftyard/croftyard/pkg/fleet"
)

// everywhere tells that an instance in any data centre will do.
func everywhere(fleet.Instance) bool { return true }

func (r *Router) orderOptions() loadorders.Options {
	return loadorders.Options{
		Log:      r.log,
		Store:    r.platform,
		Name:     r.settings.Name,
		InForce:  &r.adopted,
		Stopping: r.draining.Load,
		Routers:  r.allRouters,
		Pools:    r.openPools,
		Jitter:   r.jitter,
	}
}

// allRouters returns the routers of all data centres that may hold a role.
func (r *Router) allRouters() roles.Routers {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.liveRouters(everywhere)
}

// openPools returns the engines that get new work.
func (r *Router) openPools() []loadorders.Pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	var pools []loadorders.Pool
	for _, p := range r.pools {
		open := loadorders.Pool{Model: p.name.Model, Engines: make(map[uint64]fleet.Instance)}
		for hash, engine := range p.engines {
			if e := r.engines[hash]; e != nil && !e.Closed {
				open.Engines[hash] = engine
			}
		}
		pools = append(pools, open)
	}
	return pools
}
