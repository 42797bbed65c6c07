// Package demo runs a small fleet in one process: three routers, and stand-ins
// of the platform, six engines and a plain service. It is what make run shows;
// nothing in it serves production.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/croftyard/croftyard/internal/dispatch"
	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/instance"
	"github.com/croftyard/croftyard/internal/settings"
	"github.com/croftyard/croftyard/internal/standin"
	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/pkg/policy"
)

// Names of what the demo runs.
const (
	dataCentre = "local"
	modelName  = "drafting"
	// Key is the bearer key of the demo's research group.
	Key = "demo-key"
)

// Config is the configuration that the demo starts with.
const Config = `[fleet]
chat_key = 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f

[template research]
share = 1
models = drafting
priority_max = 5
rate = 10000000
burst = 40000000
bound = 1.15
deadline = 30s
max_deadline = 2m
max_output_tokens = 512

[group agents]
template = research
organisation = harrowgate
keys = %s

[service lookup]
repeatable = yes
timeout = 5s

[service deposits]
repeatable = no
timeout = 5s
`

// Options shape the demo.
type Options struct {
	Routers int
	Engines int
	// Port is the callers' port of the first router; its peers' and admin ports
	// and the other routers' follow, then the platform's. 0 picks free ports.
	Port  int
	Level logrus.Level
	Log   io.Writer
}

// Fleet is a running demo.
type Fleet struct {
	Platform *standin.Platform
	Routers  []*instance.Instance
	Engines  []*standin.Engine
	Services []*standin.Service
	platform *standin.Server
	servers  []*standin.Server
}

// Start starts everything and waits until all routers are ready.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	f := &Fleet{Platform: standin.NewPlatform()}
	var err error
	if f.platform, err = standin.Serve(platformAddress(o), f.Platform.Handler()); err != nil {
		return nil, err
	}
	f.servers = append(f.servers, f.platform)
	if err := f.startTargets(o); err != nil {
		f.Close()
		return nil, err
	}
	if err := Apply(ctx, f.Platform, fmt.Sprintf(Config, policy.HashKey(Key))); err != nil {
		f.Close()
		return nil, err
	}
	for n := range o.Routers {
		if err := f.startRouter(o, n); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, f.waitReady(ctx)
}

// platformPort is the platform's port beyond the first router's.
const platformPort = 10

func platformAddress(o Options) string {
	if o.Port == 0 {
		return "127.0.0.1:0"
	}
	return fmt.Sprintf("127.0.0.1:%d", o.Port+platformPort)
}

// Apply brings a configuration into force in a stand-in platform.
func Apply(ctx context.Context, p *standin.Platform, text string) error {
	segments, err := policy.Split("demo", []byte(text))
	if err != nil {
		return err
	}
	entry, err := p.Store.Get(ctx, policy.HeadKey)
	if err != nil {
		return err
	}
	head, err := policy.DecodeHead(entry.Value)
	if err != nil {
		return err
	}
	proposal := policy.Proposal{ID: dispatch.NewAttempt(), Author: "demo", At: time.Now(), Base: head.Version, Put: segments}
	_, err = policy.Apply(ctx, p.Store, proposal)
	return err
}

func (f *Fleet) startTargets(o Options) error {
	for n := range o.Engines {
		e := standin.NewEngine(fmt.Sprintf("engine-%d", n+1), standin.EngineOptions{
			PrefillRate: 8000,
			TokenTime:   20 * time.Millisecond,
			CacheTokens: 200_000,
		})
		server, err := standin.Serve("127.0.0.1:0", e.Handler())
		if err != nil {
			return err
		}
		f.Engines = append(f.Engines, e)
		f.servers = append(f.servers, server)
		f.Platform.Put(fleet.Instance{
			Name: e.Name, Role: fleet.RoleEngine, DataCentre: dataCentre,
			Address: server.Address, State: fleet.StateLive, Models: []string{modelName},
		})
	}
	for _, name := range []string{"lookup", "deposits"} {
		if err := f.startService(name); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startService(name string) error {
	s := standin.NewService(name)
	server, err := standin.Serve("127.0.0.1:0", s.Handler())
	if err != nil {
		return err
	}
	f.Services = append(f.Services, s)
	f.servers = append(f.servers, server)
	f.Platform.Put(fleet.Instance{
		Name: name + "-1", Role: fleet.RoleService, DataCentre: dataCentre,
		Address: server.Address, State: fleet.StateLive, Service: name,
	})
	return nil
}

func (f *Fleet) startRouter(o Options, n int) error {
	const portsEach = 3
	port := func(i int) string {
		if o.Port == 0 {
			return "127.0.0.1:0"
		}
		return fmt.Sprintf("127.0.0.1:%d", o.Port+portsEach*n+i)
	}
	s := settings.Default()
	s.Name = fmt.Sprintf("router-%d", n+1)
	s.DataCentre = dataCentre
	s.Platform.URL = "http://" + f.platform.Address
	s.Platform.Poll = 200 * time.Millisecond
	s.Platform.Rate = 20
	s.Routes.FirstStart = true
	s.Limits.DigestPeriod = 250 * time.Millisecond
	s.Listen = settings.Listen{Callers: port(0), Peers: port(1), Admin: port(2)}
	i, err := instance.Start(s, event.New(o.Log, s.Name, o.Level))
	if err != nil {
		return err
	}
	f.Routers = append(f.Routers, i)
	f.Platform.Put(fleet.Instance{
		Name: s.Name, Role: fleet.RoleRouter, DataCentre: dataCentre,
		Address: i.Addresses().Peers, State: fleet.StateLive,
	})
	return nil
}

func (f *Fleet) waitReady(ctx context.Context) error {
	const pause = 10 * time.Millisecond
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for {
		if f.ready() {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("demo: not ready: %w", ctx.Err())
		case <-ticker.C:
		}
	}
}

func (f *Fleet) ready() bool {
	for _, i := range f.Routers {
		if !i.Ready() || len(i.Router().State().Instances) < len(f.Routers)+len(f.Engines) {
			return false
		}
	}
	return true
}

// PlatformURL returns where the stand-in platform listens.
func (f *Fleet) PlatformURL() string { return "http://" + f.platform.Address }

// Close stops everything.
func (f *Fleet) Close() {
	for _, i := range f.Routers {
		i.Stop()
		i.Kill()
		// How a cut stop ended is of no interest here.
		_ = i.Wait()
	}
	for _, s := range f.servers {
		s.Close()
	}
}
