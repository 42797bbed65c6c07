// Package loadorders has engines load the adapters that the configuration wants. One router gives the orders:
// it holds the right to, which pkg/orders keeps in the platform's key-value service.
//
//	giver.go   the right, and the rounds of orders
//	wanted.go  the orders that would bring the engines to what is wanted
package loadorders

import (
	"context"
	"errors"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/router/engineapi"
	"github.com/croftyard/croftyard/internal/router/pause"
	"github.com/croftyard/croftyard/internal/router/roles"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/kv"
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

// Options are what a giver of orders needs of its router.
type Options struct {
	Log   *event.Log
	Store kv.Store
	// Name is the router's, under which it holds the right.
	Name string
	// InForce is the configuration in force.
	InForce *policy.ActiveSnapshot
	// Stopping tells whether the router stops.
	Stopping func() bool
	// Routers returns the routers that may ask for the right.
	Routers func() roles.Routers
	// Pools returns the engines that get new work.
	Pools func() []Pool
	// Jitter varies a period, so that routers do not act in step.
	Jitter func(time.Duration) time.Duration
}

// Giver gives the orders of one router.
type Giver struct {
	options Options
}

// NewGiver returns a giver. Follow starts it.
func NewGiver(o Options) *Giver { return &Giver{options: o} }

// Follow holds the right to give orders while no other router does, and has
// engines load the adapters that the configuration wants. Without a load_rate
// in the configuration it does nothing.
func (g *Giver) Follow(ctx context.Context) error {
	var holder *orders.Holder
	rate := 0.0
	sent := make(map[string]time.Time)
	for pause.For(ctx, g.options.Jitter(orderTTL/holdsPerTerm)) {
		s := g.options.InForce.Current()
		if s == nil || s.Fleet.LoadRate == 0 || !g.asksForOrders() {
			continue
		}
		if holder == nil || rate != s.Fleet.LoadRate {
			rate = s.Fleet.LoadRate
			terms := orders.Terms{TTL: orderTTL, Margin: orderMargin, Loads: rate}
			holder = orders.NewHolder(g.options.Store, g.options.Name, terms, time.Now)
		}
		if err := g.hold(ctx, holder); err != nil {
			continue
		}
		g.orderRound(ctx, holder, rate, g.wantedLoads(s, sent), sent)
	}
	return nil
}

// orderRound sends orders, one after the other as the weight store bears them,
// until it is time to keep the right again.
func (g *Giver) orderRound(ctx context.Context, holder *orders.Holder, rate float64, wanted []load, sent map[string]time.Time) {
	ctx, cancel := context.WithTimeout(ctx, orderTTL/holdsPerTerm)
	defer cancel()
	interval := time.Duration(float64(time.Second) / rate)
	for _, l := range wanted {
		for !g.order(ctx, holder, l, sent) {
			if !pause.For(ctx, interval) {
				return
			}
		}
	}
}

func (g *Giver) asksForOrders() bool {
	return !g.options.Stopping() && g.options.Routers().Holds(ordersKey, orderAskers)
}

// hold takes or keeps the right, and logs when that changes.
func (g *Giver) hold(ctx context.Context, holder *orders.Holder) error {
	before := holder.Held()
	err := holder.Hold(ctx)
	if held := holder.Held(); held != before {
		g.options.Log.Write(event.OrderLease, event.F("held", held))
	}
	if errors.Is(err, orders.ErrUnavailable) && holder.Held() {
		return nil
	}
	return err
}

// order sends one order if the right allows it now, and tells whether it did.
func (g *Giver) order(ctx context.Context, holder *orders.Holder, l load, sent map[string]time.Time) bool {
	order, err := holder.Authorize(l.engine.ChecksOrders, true)
	if err != nil {
		g.options.Log.Write(event.OrderHeldBack, event.F("engine", l.engine.Name), event.F("error", err))
		return false
	}
	sent[l.name()] = steady.Now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), steady.Until(order.Before.Add(orderMargin)))
	defer cancel()
	err = engineapi.SendOrder(ctx, l.engine.Address, engineapi.LoadOrder{Token: order.Token, LoadAdapter: l.adapter})
	g.options.Log.Write(event.OrderSent, event.F("engine", l.engine.Name), event.F("adapter", l.adapter), event.F("token", order.Token), event.F("error", err))
	return true
}
