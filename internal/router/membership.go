package router

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/pkg/owner"
	"github.com/croftyard/croftyard/pkg/placement"
	"github.com/croftyard/croftyard/pkg/policy"
)

// followList reads the platform's list again and again. While the platform is
// away the last list stays, corrected by what the router sees.
func (r *Router) followList(ctx context.Context) error {
	down := false
	for {
		list, err := r.platform.Instances(ctx)
		if err != nil && ctx.Err() == nil && !down {
			r.log.Write(event.PlatformDown, event.F("error", err))
		}
		if err == nil && down {
			r.log.Write(event.PlatformBack)
		}
		down = err != nil
		if err == nil {
			r.takeList(list)
		}
		if !sleep(ctx, r.jitter(r.settings.Platform.Poll)) {
			return nil
		}
	}
}

func (r *Router) takeList(list []fleet.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view.Replace(list, time.Now())
	r.rebuild()
	r.listed.Store(true)
}

// rebuild makes the pools from the live view. The caller holds the mutex.
//
// Engines stay in the layout while they are suspect: taking them out would
// move other engines between groups each time one flaps. They are only closed.
func (r *Router) rebuild() {
	now := time.Now()
	engines := make(map[poolName][]fleet.Instance)
	routers := make(map[string][]fleet.Instance)
	r.routers = r.routers[:0]
	r.view.Instances(now, func(i fleet.Instance, health fleet.Health) {
		switch i.Role {
		case fleet.RoleEngine:
			for _, model := range i.Models {
				name := poolName{DataCentre: i.DataCentre, Model: model}
				engines[name] = append(engines[name], i)
			}
		case fleet.RoleRouter:
			if health == fleet.Live && !r.stopping(i.Name) {
				routers[i.DataCentre] = append(routers[i.DataCentre], i)
			}
			if i.Name != r.settings.Name && i.State == fleet.StateLive {
				r.routers = append(r.routers, i)
			}
		}
	})
	sortInstances(r.routers)
	r.rebuildPools(engines, routers)
	r.closeEngines(now)
}

func (r *Router) stopping(name string) bool {
	if name == r.settings.Name {
		return r.draining.Load()
	}
	return r.board.Stopping(shortName(name))
}

func shortName(name string) fleet.ID { return fleet.Short(placement.Hash(name)) }

func (r *Router) rebuildPools(engines map[poolName][]fleet.Instance, routers map[string][]fleet.Instance) {
	groupSize := policy.DefaultGroupSize
	if s := r.adopted.Current(); s != nil {
		groupSize = s.Fleet.GroupSize
	}
	for name, list := range engines {
		p := r.pools[name]
		if p == nil {
			p = newPool(name)
			r.pools[name] = p
		}
		owners := routers[name.DataCentre]
		sortInstances(list)
		sortInstances(owners)
		if p.layout != nil && sameNames(list, p.engineList()) && sameNames(owners, p.routers) {
			continue
		}
		p.lay(list, owners, groupSize, r.engine)
		p.refresh(r.board)
		r.noteOwners(p)
		r.log.Write(event.LayoutChanged, event.F("pool", name.String()), event.F("engines", len(list)), event.F("groups", len(p.layout.Groups)))
	}
	for name, p := range r.pools {
		if _, listed := engines[name]; !listed {
			p.lay(nil, nil, groupSize, r.engine)
			p.pump(time.Now())
			delete(r.pools, name)
		}
	}
}

// noteOwners tells the handover who owns the pool's engines now, and has those
// that are new to this router asked what they run.
func (r *Router) noteOwners(p *pool) {
	now := time.Now()
	for _, g := range p.layout.Groups {
		if g.Owner == placement.None {
			continue
		}
		owner := placement.Hash(p.routers[g.Owner].Name)
		for _, e := range g.Engines {
			hash := p.layout.Engines[e]
			if !r.handover.SetOwner(hash, owner, r.selfHash, now) {
				continue
			}
			select {
			case r.gained <- p.engines[hash]:
			default:
			}
		}
	}
}

func (p *pool) engineList() []fleet.Instance {
	list := make([]fleet.Instance, 0, len(p.engines))
	for _, e := range p.engines {
		list = append(list, e)
	}
	sortInstances(list)
	return list
}

func sameNames(a, b []fleet.Instance) bool {
	return slices.EqualFunc(a, b, func(x, y fleet.Instance) bool { return x.Name == y.Name && x.Address == y.Address })
}

// engine returns the counts of an engine, which outlive layouts.
func (r *Router) engine(i fleet.Instance) *owner.Engine {
	hash := placement.Hash(i.Name)
	e := r.engines[hash]
	if e == nil {
		e = owner.NewEngine(hash, r.settings.Limits.Slots)
		r.engines[hash] = e
	}
	return e
}

// closeEngines closes the engines that are not to get new work, opens the
// others, and lets waiting requests at them.
func (r *Router) closeEngines(now time.Time) {
	listed := make(map[uint64]bool)
	r.view.Instances(now, func(i fleet.Instance, health fleet.Health) {
		if i.Role != fleet.RoleEngine {
			return
		}
		e := r.engine(i)
		listed[e.Hash] = true
		e.Closed = health != fleet.Live
		e.Ramp = r.view.Ramp(i.Name, now)
	})
	for hash, e := range r.engines {
		if !listed[hash] {
			e.Closed = true
			if e.InFlight == 0 {
				delete(r.engines, hash)
				r.handover.Forget(hash)
			}
		}
	}
	for _, p := range r.pools {
		p.pump(now)
	}
}

// failed notes that a target or peer could not be reached.
func (r *Router) failed(name string, what event.ID, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.view.Health(name, now) != fleet.Live {
		return
	}
	r.log.Write(what, event.F("name", name), event.F("error", err))
	r.view.Failed(name, now)
	r.rebuild()
}

// reached notes that a target or peer answered.
func (r *Router) reached(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.view.Health(name, now) == fleet.Suspect {
		r.view.Reached(name, now)
		r.rebuild()
	}
}

// leaving notes that a target said that it leaves; the digests tell the others.
func (r *Router) leaving(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if _, known := r.leavingSeen[name]; !known {
		r.log.Write(event.TargetLeaving, event.F("name", name))
	}
	r.leavingSeen[name] = now
	r.view.Leaving(name, now)
	r.closeEngines(now)
}

// pollLoads asks engines for their load, which tells what other routers run
// there and whether a suspect one is back: those that are new here at once, and
// each one of this router's groups now and then.
func (r *Router) pollLoads(ctx context.Context) error {
	const periods = 5
	client := &http.Client{Timeout: time.Second}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-r.gained:
			r.pollLoad(ctx, client, e)
		case <-timer.C:
			for _, e := range r.ownEngines() {
				r.pollLoad(ctx, client, e)
			}
			timer.Reset(r.jitter(periods * r.settings.Limits.DigestPeriod))
		}
	}
}

func (r *Router) pollLoad(ctx context.Context, client *http.Client, e fleet.Instance) {
	running, err := loadOf(ctx, client, e.Address)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		r.failed(e.Name, event.EngineSuspect, err)
		return
	}
	r.reached(e.Name)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engine(e).Reported(running, time.Now())
}

func (r *Router) ownEngines() []fleet.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []fleet.Instance
	for _, p := range r.pools {
		for _, g := range p.layout.Groups {
			if g.Owner == placement.None || p.routers[g.Owner].Name != r.settings.Name {
				continue
			}
			for _, e := range g.Engines {
				list = append(list, p.engines[p.layout.Engines[e]])
			}
		}
	}
	return list
}

// loadReport is an engine's answer to GET /v1/load.
type loadReport struct {
	Running int `json:"running"`
}

func loadOf(ctx context.Context, client *http.Client, address string) (int, error) {
	const maxReport = 4 << 10
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/load", nil)
	if err != nil {
		return 0, fmt.Errorf("router: load: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, fmt.Errorf("router: load: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("router: load: status %d", resp.StatusCode)
	}
	var report loadReport
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReport)).Decode(&report); err != nil {
		return 0, fmt.Errorf("router: load: %w", err)
	}
	return report.Running, nil
}

// sleep waits and returns false when ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// jitter spreads a period by a fifth, so that routers do not act in step.
func (r *Router) jitter(d time.Duration) time.Duration {
	const spread = 0.2
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(float64(d) * (1 - spread/2 + spread*r.rnd.Float64()))
}
