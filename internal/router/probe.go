package router

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/router/engineapi"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/pkg/placement"
)

// pollLoads asks engines for their load, which tells what other routers run
// there and whether a suspect one is back: those that are new here at once, and
// each one of this router's groups now and then.
func (r *Router) pollLoads(ctx context.Context) error {
	const periods = 10
	client := r.probeClient()
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
			timer.Reset(r.jitter(periods * r.digestPeriod()))
		}
	}
}

func (r *Router) pollLoad(ctx context.Context, client *http.Client, e fleet.Instance) {
	if r.excludes(e.Name) != nil {
		return
	}
	running, err := engineapi.Load(ctx, client, e.Address)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		r.failed(e.Name, event.EngineSuspect, err)
		return
	}
	r.reached(e.Name, event.EngineBack)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engine(e).ObserveReport(running, steady.Now())
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

// probeClient returns a client whose bytes count as control traffic.
func (r *Router) probeClient() *http.Client {
	const idle = time.Minute
	const maxHead = 32 << 10
	transport := &http.Transport{
		DialContext:            r.meter.Probe(&net.Dialer{Timeout: time.Second}),
		IdleConnTimeout:        idle,
		MaxResponseHeaderBytes: maxHead,
	}
	return &http.Client{Timeout: time.Second, Transport: transport}
}
