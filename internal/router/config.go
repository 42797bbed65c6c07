package router

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/peer/peerpb"
	"github.com/croftyard/croftyard/internal/router/pause"
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

// config keeps the configuration in force up to date.
//
//	head, cache, texts   what is in force, guarded by mu
//	hints                a newer version at a peer; one pull at a time
type config struct {
	router *Router
	hints  chan hint

	// settled: the service, or every peer that answers, was asked at least once.
	settled atomic.Bool

	mu    sync.Mutex
	head  policy.Head
	cache policy.Cache
	texts map[policy.Hash][]byte
}

// hint says that a peer has a version.
type hint struct {
	version uint64
	address string
}

func newConfig(r *Router) *config {
	const hints = 16
	return &config{
		router: r,
		hints:  make(chan hint, hints),
		cache:  make(policy.Cache),
		texts:  make(map[policy.Hash][]byte),
	}
}

// heard takes a peer's version. It never blocks: a hint that is dropped comes
// again with the next digest.
func (c *config) heard(version uint64, address string) {
	if version <= c.router.version() {
		return
	}
	select {
	case c.hints <- hint{version, address}:
	default:
	}
}

// follow adopts newer versions until ctx ends.
func (c *config) follow(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.pullHinted(ctx)
	}()
	c.watch(ctx)
	<-done
	return nil
}

func (c *config) pullHinted(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-c.hints:
			if h.version > c.router.version() {
				c.pull(ctx, h.address)
			}
		}
	}
}

// watch follows the head in the service while this router is a watcher.
func (c *config) watch(ctx context.Context) {
	const interval = time.Second
	revision := uint64(0)
	down := false
	for ctx.Err() == nil {
		if !c.watches() {
			pause.For(ctx, c.router.jitter(interval))
			continue
		}
		entry, err := c.router.platform.Watch(ctx, policy.HeadKey, revision)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			c.unavailable(ctx, &down, err)
			continue
		}
		down = false
		if entry.Revision == 0 {
			c.router.log.Write(event.ConfigAbsent)
			pause.For(ctx, c.router.jitter(interval))
			continue
		}
		if entry.Revision == revision {
			continue
		}
		if err := c.load(ctx, entry); err != nil {
			c.router.log.Write(event.ConfigRejected, event.F("error", err))
			pause.For(ctx, c.router.jitter(interval))
			continue
		}
		revision = entry.Revision
		c.settled.Store(true)
	}
}

// unavailable passes the time until the next try. A router without any
// configuration asks its peers meanwhile.
func (c *config) unavailable(ctx context.Context, down *bool, err error) {
	if !*down {
		c.router.log.Write(event.PlatformDown, event.F("error", err))
	}
	*down = true
	if !c.settled.Load() {
		c.askPeers(ctx)
	}
	pause.For(ctx, c.router.jitter(time.Second))
}

// askPeers pulls from every peer that answers, so that a router that starts
// during an outage takes the newest version that any of them has. Those of its
// own data centre come first: they are the likeliest within reach.
func (c *config) askPeers(ctx context.Context) {
	const atOnce = 32
	var round errgroup.Group
	round.SetLimit(atOnce)
	for _, other := range c.peersNearFirst() {
		round.Go(func() error {
			c.pull(ctx, other.Address)
			return nil
		})
	}
	// No pull returns an error; a peer that does not answer has nothing to give.
	_ = round.Wait()
	if c.router.version() > 0 {
		c.settled.Store(true)
	}
}

func (c *config) peersNearFirst() []fleet.Instance {
	c.router.mu.Lock()
	routers := slices.Clone(c.router.routers)
	c.router.mu.Unlock()
	own := c.router.settings.DataCentre
	slices.SortStableFunc(routers, func(a, b fleet.Instance) int {
		return cmp.Compare(distance(a, own), distance(b, own))
	})
	return routers
}

func distance(i fleet.Instance, dataCentre string) int {
	if i.DataCentre == dataCentre {
		return 0
	}
	return 1
}

// watches tells whether this router is one of the watchers.
func (c *config) watches() bool {
	r := c.router
	r.mu.Lock()
	defer r.mu.Unlock()
	if !c.settled.Load() || r.fleetSize() <= watchAll {
		return true
	}
	return r.liveRouters(r.isNear).Holds(watchersKey, watchers)
}

// load adopts a head that came from the service.
func (c *config) load(ctx context.Context, entry kv.Entry) error {
	head, err := policy.DecodeHead(entry.Value)
	if err != nil {
		return fmt.Errorf("router: %w", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if head.Version <= c.head.Version {
		return nil
	}
	snapshot, err := policy.LoadSnapshot(ctx, c.router.platform, head, c.cache)
	if err != nil {
		return fmt.Errorf("router: %w", err)
	}
	c.adopt(head, snapshot)
	return nil
}

func (c *config) adopt(head policy.Head, snapshot *policy.Snapshot) {
	c.head = head
	clear(c.texts)
	for hash, segment := range c.cache {
		c.texts[hash] = segment.Text
	}
	if c.router.adopted.AdoptIfNewer(snapshot) {
		c.router.metrics.ConfigVersion.Update(int64(snapshot.Version))
		c.router.log.Write(event.ConfigAdopted, event.F("version", snapshot.Version))
	}
}

// pull brings this router to a peer's version.
func (c *config) pull(ctx context.Context, address string) {
	request := &peerpb.ConfigurationRequest{Version: c.router.version()}
	reply, err := c.router.peers.Configuration(ctx, address, request)
	if err != nil || len(reply.Head) == 0 {
		return
	}
	if err := c.take(reply); err != nil {
		c.router.log.Write(event.ConfigRejected, event.F("peer", address), event.F("error", err))
		return
	}
	c.router.log.Write(event.ConfigFromPeer, event.F("peer", address), event.F("version", c.router.version()))
}

func (c *config) take(reply *peerpb.ConfigurationReply) error {
	var delta policy.Delta
	if err := json.Unmarshal(reply.Head, &delta); err != nil {
		return fmt.Errorf("router: peer's configuration: %w", err)
	}
	texts := make(map[policy.Hash][]byte, len(reply.Hash))
	for i := range min(len(reply.Hash), len(reply.Segment)) {
		texts[policy.Hash(reply.Hash[i])] = reply.Segment[i]
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	head := c.head.ApplyDelta(delta)
	if head.Version <= c.head.Version {
		return nil
	}
	snapshot, err := policy.AssembleSnapshot(head, texts, c.cache)
	if err != nil {
		return fmt.Errorf("router: peer's configuration: %w", err)
	}
	c.adopt(head, snapshot)
	return nil
}

// errNoConfig tells a peer that there is nothing to give.
var errNoConfig = errors.New("router: no configuration yet")

// answer serves a peer's pull.
func (c *config) answer(request *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.Version == 0 {
		return nil, errNoConfig
	}
	if request.Version >= c.head.Version {
		return &peerpb.ConfigurationReply{}, nil
	}
	delta := c.head.DeltaSince(request.Version)
	text, err := json.Marshal(delta)
	if err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	reply := &peerpb.ConfigurationReply{Head: text}
	for _, hash := range delta.SegmentHashes() {
		// A segment that a later edit replaced is no longer needed.
		if segment, current := c.texts[hash]; current {
			reply.Hash = append(reply.Hash, string(hash))
			reply.Segment = append(reply.Segment, segment)
		}
	}
	return reply, nil
}
