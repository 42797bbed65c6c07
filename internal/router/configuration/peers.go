package configuration

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"golang.org/x/sync/errgroup"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/peer/peerpb"
	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/pkg/policy"
)

// hint says that a peer has a version.
type hint struct {
	version uint64
	address string
}

// Heard takes a peer's version. It never blocks: a hint that is dropped comes
// again with the next digest.
func (c *Follower) Heard(version uint64, address string) {
	if version <= c.Version() {
		return
	}
	select {
	case c.hints <- hint{version, address}:
	default:
	}
}

func (c *Follower) pullHinted(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-c.hints:
			if h.version > c.Version() {
				c.pull(ctx, h.address)
			}
		}
	}
}

// askPeers pulls from every peer that answers, so that a router that starts
// during an outage takes the newest version that any of them has. Those of its
// own data centre come first: they are the likeliest within reach.
func (c *Follower) askPeers(ctx context.Context) {
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
	if c.Version() > 0 {
		c.settled.Store(true)
	}
}

func (c *Follower) peersNearFirst() []fleet.Instance {
	routers := c.options.Routers()
	slices.SortStableFunc(routers, func(a, b fleet.Instance) int {
		return cmp.Compare(distance(a, c.options.DataCentre), distance(b, c.options.DataCentre))
	})
	return routers
}

func distance(i fleet.Instance, dataCentre string) int {
	if i.DataCentre == dataCentre {
		return 0
	}
	return 1
}

// pull brings this router to a peer's version.
func (c *Follower) pull(ctx context.Context, address string) {
	request := &peerpb.ConfigurationRequest{Version: c.Version()}
	reply, err := c.options.Peers.Configuration(ctx, address, request)
	if err != nil || len(reply.Head) == 0 {
		return
	}
	if err := c.take(reply); err != nil {
		c.options.Log.Write(event.ConfigRejected, event.F("peer", address), event.F("error", err))
		return
	}
	c.options.Log.Write(event.ConfigFromPeer, event.F("peer", address), event.F("version", c.Version()))
}

func (c *Follower) take(reply *peerpb.ConfigurationReply) error {
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

// Answer serves a peer's pull.
func (c *Follower) Answer(request *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error) {
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
