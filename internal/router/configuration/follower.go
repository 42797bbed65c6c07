// Package configuration keeps a router's configuration up to date. A few routers of each data centre watch
// its head in the platform's key-value service; the others hear of versions in digests, and pull from a peer.
//
//	follower.go  what is watched, and what is in force
//	peers.go     what is pulled from peers, and what they pull
package configuration

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/kvservice"
	"github.com/croftyard/croftyard/internal/peer"
	"github.com/croftyard/croftyard/internal/router/metrics"
	"github.com/croftyard/croftyard/internal/router/pause"
	"github.com/croftyard/croftyard/internal/router/roles"
	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/pkg/kv"
	"github.com/croftyard/croftyard/pkg/policy"
)

// watchersKey places the routers of a data centre that watch the head; the
// others hear of versions in digests and pull the change from a peer.
const watchersKey = "croftyard/config/watchers"

// Number of watchers: everyone in a fleet of up to watchAll routers, else
// watchers in each data centre.
const (
	watchAll = 9
	watchers = 3
)

// Options are what a follower needs of its router.
type Options struct {
	Log     *event.Log
	Metrics *metrics.Metrics
	Service *kvservice.Client
	Peers   *peer.Client
	// InForce is the configuration in force, which the follower replaces.
	InForce *policy.ActiveSnapshot
	// DataCentre is the router's own.
	DataCentre string
	// Routers returns the other routers of the fleet.
	Routers func() []fleet.Instance
	// Near returns the number of routers in this data centre and those that may be watchers.
	Near func() (size int, routers roles.Routers)
	// Jitter varies a period, so that routers do not act in step.
	Jitter func(time.Duration) time.Duration
}

// Follower keeps the configuration in force up to date.
//
//	head, cache, texts   what is in force, guarded by mu
//	hints                a newer version at a peer; one pull at a time
type Follower struct {
	options Options
	hints   chan hint

	// settled: the service, or every peer that answers, was asked at least once.
	settled atomic.Bool

	mu    sync.Mutex
	head  policy.Head
	cache policy.Cache
	texts map[policy.Hash][]byte
}

// NewFollower returns a follower. Follow starts it.
func NewFollower(o Options) *Follower {
	const hints = 16
	return &Follower{
		options: o,
		hints:   make(chan hint, hints),
		cache:   make(policy.Cache),
		texts:   make(map[policy.Hash][]byte),
	}
}

// Settled tells whether the newest configuration that can be had is in force: the service, or every peer
// that answers, was asked at least once.
func (c *Follower) Settled() bool { return c.settled.Load() }

// Version returns the version in force, or 0 before the first.
func (c *Follower) Version() uint64 {
	if s := c.options.InForce.Current(); s != nil {
		return s.Version
	}
	return 0
}

// Follow adopts newer versions until ctx ends.
func (c *Follower) Follow(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.pullHinted(ctx)
	}()
	c.watch(ctx)
	<-done
	return nil
}

// watch follows the head in the service while this router is a watcher.
func (c *Follower) watch(ctx context.Context) {
	const interval = time.Second
	revision := uint64(0)
	down := false
	for ctx.Err() == nil {
		if !c.watches() {
			pause.For(ctx, c.options.Jitter(interval))
			continue
		}
		entry, err := c.options.Service.Watch(ctx, policy.HeadKey, revision)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			c.unavailable(ctx, &down, err)
			continue
		}
		down = false
		if entry.Revision == 0 {
			c.options.Log.Write(event.ConfigAbsent)
			pause.For(ctx, c.options.Jitter(interval))
			continue
		}
		if entry.Revision == revision {
			continue
		}
		if err := c.load(ctx, entry); err != nil {
			c.options.Log.Write(event.ConfigRejected, event.F("error", err))
			pause.For(ctx, c.options.Jitter(interval))
			continue
		}
		revision = entry.Revision
		c.settled.Store(true)
	}
}

// unavailable passes the time until the next try. A router without any
// configuration asks its peers meanwhile.
func (c *Follower) unavailable(ctx context.Context, down *bool, err error) {
	if !*down {
		c.options.Log.Write(event.PlatformDown, event.F("error", err))
	}
	*down = true
	if !c.settled.Load() {
		c.askPeers(ctx)
	}
	pause.For(ctx, c.options.Jitter(time.Second))
}

// watches tells whether this router is one of the watchers.
func (c *Follower) watches() bool {
	if !c.settled.Load() {
		return true
	}
	size, near := c.options.Near()
	return size <= watchAll || near.Holds(watchersKey, watchers)
}

// load adopts a head that came from the service.
func (c *Follower) load(ctx context.Context, entry kv.Entry) error {
	head, err := policy.DecodeHead(entry.Value)
	if err != nil {
		return fmt.Errorf("router: %w", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if head.Version <= c.head.Version {
		return nil
	}
	snapshot, err := policy.LoadSnapshot(ctx, c.options.Service, head, c.cache)
	if err != nil {
		return fmt.Errorf("router: %w", err)
	}
	c.adopt(head, snapshot)
	return nil
}

func (c *Follower) adopt(head policy.Head, snapshot *policy.Snapshot) {
	c.head = head
	clear(c.texts)
	for hash, segment := range c.cache {
		c.texts[hash] = segment.Text
	}
	if c.options.InForce.AdoptIfNewer(snapshot) {
		c.options.Metrics.ConfigVersion.Update(int64(snapshot.Version))
		c.options.Log.Write(event.ConfigAdopted, event.F("version", snapshot.Version))
	}
}
