package router

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/router/engineapi"
	"github.com/croftyard/croftyard/internal/router/pause"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/pkg/orders"
	"github.com/croftyard/croftyard/pkg/policy"
)

// Times of orders. The lease is short, so that a new holder is found within
// seconds; the margin is far above a loopback or a local network's delays.
const (
	orderTTL    = 9 * time.Second
	orderMargin = 2 * time.Second
	// orderAgain is when an order is sent again if the platform's list does not
	// show its effect. Orders state the wanted end, so a repeat is harmless.
	orderAgain = time.Minute
)

// Of the routers, a few ask for the right, so that the service is asked by few:
// ordersKey places them among all data centres.
const (
	ordersKey    = "croftyard/orders"
	orderAskers  = 3
	holdsPerTerm = 3
)

// load is one order that is wanted.
type load struct {
	engine  fleet.Instance
	adapter string
}

func (l load) name() string { return l.engine.Name + " " + l.adapter }

// giveOrders holds the right to give orders while no other router does, and has
// engines load the adapters that the configuration wants. Without a load_rate
// in the configuration it does nothing.
func (r *Router) giveOrders(ctx context.Context) error {
	var holder *orders.Holder
	rate := 0.0
	sent := make(map[string]time.Time)
	for pause.For(ctx, r.jitter(orderTTL/holdsPerTerm)) {
		s := r.adopted.Current()
		if s == nil || s.Fleet.LoadRate == 0 || !r.asksForOrders() {
			continue
		}
		if holder == nil || rate != s.Fleet.LoadRate {
			rate = s.Fleet.LoadRate
			terms := orders.Terms{TTL: orderTTL, Margin: orderMargin, Loads: rate}
			holder = orders.NewHolder(r.platform, r.settings.Name, terms, time.Now)
		}
		if err := r.hold(ctx, holder); err != nil {
			continue
		}
		r.orderRound(ctx, holder, rate, r.wantedLoads(s, sent), sent)
	}
	return nil
}

// orderRound sends orders, one after the other as the weight store bears them,
// until it is time to keep the right again.
func (r *Router) orderRound(ctx context.Context, holder *orders.Holder, rate float64, wanted []load, sent map[string]time.Time) {
	ctx, cancel := context.WithTimeout(ctx, orderTTL/holdsPerTerm)
	defer cancel()
	interval := time.Duration(float64(time.Second) / rate)
	for _, l := range wanted {
		for !r.order(ctx, holder, l, sent) {
			if !pause.For(ctx, interval) {
				return
			}
		}
	}
}

func (r *Router) asksForOrders() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	everywhere := func(fleet.Instance) bool { return true }
	return !r.draining.Load() && r.liveRouters(everywhere).Holds(ordersKey, orderAskers)
}

// hold takes or keeps the right, and logs when that changes.
func (r *Router) hold(ctx context.Context, holder *orders.Holder) error {
	before := holder.Held()
	err := holder.Hold(ctx)
	if held := holder.Held(); held != before {
		r.log.Write(event.OrderLease, event.F("held", held))
	}
	if errors.Is(err, orders.ErrUnavailable) && holder.Held() {
		return nil
	}
	return err
}

// wantedLoads returns the orders that would bring the fleet to what the
// configuration wants and that were not sent lately.
func (r *Router) wantedLoads(s *policy.Snapshot, sent map[string]time.Time) []load {
	r.mu.Lock()
	defer r.mu.Unlock()
	var loads []load
	for _, p := range r.pools {
		for _, adapter := range wantedAdapters(s, p.name.Model) {
			loads = append(loads, r.missingLoads(p, adapter, s.Fleet.AdapterCopies)...)
		}
	}
	now := steady.Now()
	loads = slices.DeleteFunc(loads, func(l load) bool { return now.Sub(sent[l.name()]) < orderAgain })
	slices.SortFunc(loads, func(a, b load) int { return cmp.Compare(a.name(), b.name()) })
	return loads
}

// wantedAdapters returns the adapters that some group may use with the model.
func wantedAdapters(s *policy.Snapshot, model string) []string {
	var named []string
	for _, g := range s.Groups {
		if g.AllowsModel(model) {
			named = append(named, g.Adapters...)
		}
	}
	return orders.Adapters(named, policy.Wildcard)
}

// missingLoads returns the loads that an adapter lacks in a pool.
func (r *Router) missingLoads(p *pool, adapter string, copies int) []load {
	var open []orders.Candidate
	for hash, engine := range p.engines {
		if e := r.engines[hash]; e != nil && !e.Closed {
			open = append(open, orders.Candidate{Hash: hash, Adapters: engine.Adapters})
		}
	}
	var loads []load
	for _, hash := range orders.EnginesToLoad(open, adapter, copies) {
		loads = append(loads, load{engine: p.engines[hash], adapter: adapter})
	}
	return loads
}

// order sends one order if the right allows it now, and tells whether it did.
func (r *Router) order(ctx context.Context, holder *orders.Holder, l load, sent map[string]time.Time) bool {
	order, err := holder.Authorize(l.engine.ChecksOrders, true)
	if err != nil {
		r.log.Write(event.OrderHeldBack, event.F("engine", l.engine.Name), event.F("error", err))
		return false
	}
	sent[l.name()] = steady.Now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), steady.Until(order.Before.Add(orderMargin)))
	defer cancel()
	err = engineapi.SendOrder(ctx, l.engine.Address, engineapi.LoadOrder{Token: order.Token, LoadAdapter: l.adapter})
	r.log.Write(event.OrderSent, event.F("engine", l.engine.Name), event.F("adapter", l.adapter), event.F("token", order.Token), event.F("error", err))
	return true
}
