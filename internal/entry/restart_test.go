package entry

import (
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/settings"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/directory"
)

// A list of several pages on a link that all routers share.
const (
	narrowPages     = 20
	narrowChunks    = 20
	narrowChunkTime = time.Millisecond
	narrowRouters   = 20
	narrowSeeds     = 3
)

// narrowLink is the link of a store. It carries the answers to all routers in turn, at a rate that
// does not depend on how late the machine wakes those that wait for them.
type narrowLink struct {
	snapshot watch.Snapshot
	reads    atomic.Int32
	mu       sync.Mutex
	// idleFrom is when all that was sent until now has passed.
	idleFrom time.Time
}

// send puts a chunk that is ready on the link and returns when it has passed.
func (n *narrowLink) send(ready time.Time) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.idleFrom.Before(ready) {
		n.idleFrom = ready
	}
	n.idleFrom = n.idleFrom.Add(narrowChunkTime)
	return n.idleFrom
}

// page makes one call, which is given up after a time.
func (n *narrowLink) page(ctx context.Context, call time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, call)
	defer cancel()
	passed := time.Now()
	for range narrowChunks {
		passed = n.send(passed)
		select {
		case <-time.After(time.Until(passed)):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// narrowSource is a router's source over the link. Once the router knows a list, it reads one
// page of changes.
type narrowSource struct {
	*narrowLink
	call  time.Duration
	known func() (revision, generation uint64, list func() watch.KnownList)
}

func (s *narrowSource) UseList(known func() (revision, generation uint64, list func() watch.KnownList)) {
	s.known = known
}

func (s *narrowSource) Read(ctx context.Context) (watch.Snapshot, error) {
	pages := 1
	if revision, _, _ := s.known(); revision == 0 {
		s.reads.Add(1)
		pages = narrowPages
	}
	for range pages {
		if err := s.page(ctx, s.call); err != nil {
			return watch.Snapshot{}, err
		}
	}
	return s.snapshot, nil
}

func (s *narrowSource) ReadHead(ctx context.Context) (watch.Snapshot, bool, error) {
	return watch.Snapshot{Config: s.snapshot.Config}, false, s.page(ctx, s.call)
}

func (s *narrowSource) Replicas(ctx context.Context) (watch.Snapshot, error) {
	snapshot, err := s.Read(ctx)
	snapshot.Config = nil
	return snapshot, err
}

// ownPeerAddress returns an address of this process alone. A fleet of another process that still sends to
// a router that ended would else reach the one that gets its port.
func ownPeerAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.2:0", 1+pid>>8%200, pid%256)
}

// freePeerAddress returns an address for a router whose address others have to know before it
// starts. No other test's connections take a port there.
func freePeerAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", ownPeerAddress())
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// Guards against routers that each read a list which is too long for all, when all start again,
// instead of learning it from those that read it first.
func TestRoutersLearnALongListAfterARestartOfAll(t *testing.T) {
	link := &narrowLink{snapshot: served("127.0.0.1:1")}
	link.snapshot.Revision = 1
	for n := range 500 {
		link.snapshot.Replicas = append(link.snapshot.Replicas, directory.Replica{ID: fmt.Sprint("i-", n), Service: "s", Address: fmt.Sprint("127.0.0.2:", n+1)})
	}
	var seeds []string
	for range narrowSeeds {
		seeds = append(seeds, freePeerAddress(t))
	}
	var routers []*Entry
	for n := range narrowRouters {
		routers = append(routers, startWith(t, &source{}, time.Second, func(s *settings.Settings, e *Environment) {
			s.Bounds.Apply, s.Bounds.Drain, s.Bounds.Evacuate = time.Minute, time.Minute, time.Minute
			s.Peers.Seeds, s.Peers.Period = seeds, 50*time.Millisecond
			if n < narrowSeeds {
				s.Listen.Peers = seeds[n]
			}
			e.Source = func(_ settings.Settings, call time.Duration) watch.Source {
				return &narrowSource{narrowLink: link, call: call}
			}
		}))
	}
	until(t, func() bool {
		return !slices.ContainsFunc(routers, func(r *Entry) bool { return !r.watcher.Initialized() })
	})
	assert.LessOrEqual(t, int(link.reads.Load()), narrowRouters/2, "whole reads")
	for _, r := range routers {
		assert.Len(t, r.watcher.Replicas(), len(link.snapshot.Replicas))
	}
}
