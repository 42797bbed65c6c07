// Package instance runs one router with its three listeners, from start to
// planned stop. The daemon runs one a process; the demo runs three in one.
//
//	Start -> Ready -> Stop: not ready, peers told -> queued work passed on ->
//	in flight finished (or ErrCut at the limit) -> listeners closed
package instance

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/croftyard/croftyard/internal/admin"
	"github.com/croftyard/croftyard/internal/edge"
	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/router"
	"github.com/croftyard/croftyard/internal/settings"
)

// ErrCut: the stop's limit was reached, or it was cut short, with requests in flight.
var ErrCut = errors.New("instance: requests cut")

// Instance is a running router.
type Instance struct {
	settings settings.Settings
	log      *event.Log
	router   *router.Router
	edge     *edge.Edge
	admin    *admin.Admin
	callers  net.Listener
	operator net.Listener

	stopOnce sync.Once
	stop     chan struct{}
	kill     context.CancelFunc
	killed   context.Context
	asked    chan struct{}
	askOnce  sync.Once
	done     chan struct{}
	err      error
}

// Addresses are where an instance really listens.
type Addresses struct {
	Callers string
	Peers   string
	Admin   string
}

// Start opens the listeners and begins to serve.
func Start(s settings.Settings, log *event.Log) (*Instance, error) {
	i := &Instance{
		settings: s,
		log:      log,
		stop:     make(chan struct{}),
		asked:    make(chan struct{}),
		done:     make(chan struct{}),
	}
	i.killed, i.kill = context.WithCancel(context.Background())
	if err := i.listen(); err != nil {
		return nil, err
	}
	log.Write(event.Starting, event.F("data_centre", s.DataCentre), event.F("callers", i.callers.Addr().String()))
	go i.run()
	return i, nil
}

func (i *Instance) listen() error {
	var err error
	if i.callers, err = net.Listen("tcp", i.settings.Listen.Callers); err != nil {
		return fmt.Errorf("instance: %w", err)
	}
	if i.operator, err = net.Listen("tcp", i.settings.Listen.Admin); err != nil {
		i.callers.Close()
		return fmt.Errorf("instance: %w", err)
	}
	if i.router, err = router.New(i.settings, i.log); err != nil {
		i.callers.Close()
		i.operator.Close()
		return fmt.Errorf("instance: %w", err)
	}
	i.edge = edge.New(i.router, i.settings.Limits)
	i.admin = admin.New(subject(i.router), i.log, i.AskDrain)
	return nil
}

// Addresses returns where the instance listens.
func (i *Instance) Addresses() Addresses {
	return Addresses{Callers: i.callers.Addr().String(), Peers: i.router.PeerAddress(), Admin: i.operator.Addr().String()}
}

// Ready tells whether requests are served.
func (i *Instance) Ready() bool { return i.router.Ready() }

// Router returns the instance's router.
func (i *Instance) Router() *router.Router { return i.router }

// AskDrain asks the process for a planned stop, as the admin listener does.
func (i *Instance) AskDrain() { i.askOnce.Do(func() { close(i.asked) }) }

// DrainAsked is closed once a planned stop was asked for.
func (i *Instance) DrainAsked() <-chan struct{} { return i.asked }

// Stop begins the planned stop.
func (i *Instance) Stop() { i.stopOnce.Do(func() { close(i.stop) }) }

// Kill cuts a stop short; callers of what is in flight are told.
func (i *Instance) Kill() { i.kill() }

// Wait returns when the instance has ended.
func (i *Instance) Wait() error {
	<-i.done
	return i.err
}

func (i *Instance) run() {
	defer close(i.done)
	ctx, cancel := context.WithCancel(context.Background())
	work, ctx := errgroup.WithContext(ctx)
	work.Go(func() error { return i.router.Run(ctx) })
	work.Go(func() error { return i.edge.Serve(i.callers) })
	work.Go(func() error { return i.admin.Serve(i.operator) })
	work.Go(func() error {
		i.logReady(ctx)
		return nil
	})
	select {
	case <-i.stop:
	case <-ctx.Done():
	}
	i.err = i.shutDown()
	cancel()
	i.edge.Close()
	i.admin.Close()
	i.router.Close()
	if err := work.Wait(); err != nil && i.err == nil {
		i.err = fmt.Errorf("instance: %w", err)
	}
	i.log.Write(event.Stopped)
}

func (i *Instance) logReady(ctx context.Context) {
	const pause = 20 * time.Millisecond
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for !i.router.Ready() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	i.log.Write(event.Ready)
}

func (i *Instance) shutDown() error {
	ctx, cancel := context.WithTimeout(i.killed, i.settings.Limits.Drain)
	defer cancel()
	i.edge.Stopping()
	if err := i.router.Drain(ctx); err != nil {
		return fmt.Errorf("%w: %v", ErrCut, err)
	}
	// The router is idle, so this only closes connections that rest.
	if err := i.edge.Shutdown(ctx); err != nil {
		return fmt.Errorf("%w: %v", ErrCut, err)
	}
	return nil
}
