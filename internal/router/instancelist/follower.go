// Package instancelist keeps the platform's list of instances up to date. In a large data centre a few
// routers read it; the others ask these for what changed.
package instancelist

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/kvservice"
	"github.com/croftyard/croftyard/internal/peer"
	"github.com/croftyard/croftyard/internal/peer/peerpb"
	"github.com/croftyard/croftyard/internal/router/pause"
	"github.com/croftyard/croftyard/internal/router/roles"
	"github.com/croftyard/croftyard/pkg/fleet"
)

// Readers of the platform's list: everyone in a data centre of up to readAll
// routers, else listReaders of them by rendezvous on listReadersKey. The others
// ask a reader for what changed, so that the service answers a few routers of each
// data centre, and a change costs the others its own bytes instead of the whole list.
const (
	listReadersKey = "croftyard/list/readers"
	listReaders    = 3
	readAll        = 9
)

// Options are what a follower needs of its router.
type Options struct {
	Log     *event.Log
	Service *kvservice.Client
	Peers   *peer.Client
	// Poll is the pause between two reads of the service.
	Poll time.Duration
	// Near returns the number of routers in this data centre and those that may be readers.
	Near func() (size int, routers roles.Routers)
	// Jitter varies a period, so that routers do not act in step.
	Jitter func(time.Duration) time.Duration
	// Take is called with each list that differs from the one before, and with the first.
	Take func([]fleet.Instance)
	// Listed tells whether a list was taken.
	Listed func() bool
	// Unreachable is called with a reader that could not be asked.
	Unreachable func(name string, err error)
}

// Follower keeps the list up to date.
type Follower struct {
	options Options
	// tag is the platform's name of the version read last, down whether it did
	// not answer; both are used by Follow alone.
	tag  string
	down bool

	mu      sync.Mutex
	history fleet.ListHistory
}

// NewFollower returns a follower. Follow starts it.
func NewFollower(o Options) *Follower { return &Follower{options: o} }

// Follow reads the list again and again. While it cannot be had the last list
// stays, corrected by what the router sees.
func (l *Follower) Follow(ctx context.Context) error {
	for {
		readers := l.readers()
		if len(readers) == 0 || !l.askReaders(ctx, readers) {
			l.read(ctx)
		}
		if !pause.For(ctx, l.options.Jitter(l.period(len(readers) == 0))) {
			return nil
		}
	}
}

// period is the pause between two reads: in a large fleet a reader answers many
// peers, so these ask half as often.
func (l *Follower) period(reader bool) time.Duration {
	poll := l.options.Poll
	if reader {
		return poll
	}
	size, _ := l.options.Near()
	return fleet.ScaledPeriod(poll, size)
}

// readers returns the peers to ask in turn, none if this router is a reader
// itself.
func (l *Follower) readers() []fleet.Instance {
	if !l.options.Listed() {
		return nil
	}
	size, near := l.options.Near()
	if size <= readAll || near.Holds(listReadersKey, listReaders) {
		return nil
	}
	return near.Others(listReadersKey, listReaders)
}

// askReaders asks one reader after the other until one answers.
func (l *Follower) askReaders(ctx context.Context, readers []fleet.Instance) bool {
	for _, reader := range readers {
		err := l.ask(ctx, reader.Address, l.mark())
		if errors.Is(err, errMark) {
			err = l.ask(ctx, reader.Address, 0)
		}
		if err == nil {
			return true
		}
		if ctx.Err() != nil {
			return true
		}
		l.options.Unreachable(reader.Name, err)
	}
	return false
}

func (l *Follower) mark() fleet.Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.history.Fingerprint()
}

// errMark: the delta did not lead to the version it names; the whole is needed.
var errMark = errors.New("router: list does not match its mark")

func (l *Follower) ask(ctx context.Context, address string, mark fleet.Fingerprint) error {
	reply, err := l.options.Peers.List(ctx, address, &peerpb.ListRequest{Mark: uint64(mark)})
	if err != nil {
		return err
	}
	if len(reply.Delta) == 0 {
		return nil
	}
	var delta fleet.ListDelta
	if err := json.Unmarshal(reply.Delta, &delta); err != nil {
		return fmt.Errorf("router: list: %w", err)
	}
	l.mu.Lock()
	base := l.history.List()
	if reply.Full {
		base = nil
	}
	next := delta.Apply(base)
	if fleet.FingerprintOf(next) != fleet.Fingerprint(reply.Mark) {
		l.mu.Unlock()
		return errMark
	}
	l.mu.Unlock()
	l.take(next)
	return nil
}

// read reads the list from the platform.
func (l *Follower) read(ctx context.Context) {
	read, changed, err := l.options.Service.Instances(ctx, l.tag)
	if err != nil && ctx.Err() == nil && !l.down {
		l.options.Log.Write(event.PlatformDown, event.F("error", err))
	}
	if err == nil && l.down {
		l.options.Log.Write(event.PlatformBack)
	}
	l.down = err != nil
	if changed {
		l.tag = read.Tag
		l.take(read.Instances)
	}
}

// take enters a list. The first one counts even if it is empty.
func (l *Follower) take(instances []fleet.Instance) {
	l.mu.Lock()
	changed := l.history.Update(instances)
	l.mu.Unlock()
	if changed || !l.options.Listed() {
		l.options.Take(instances)
	}
}

// Answer serves a peer that asks what changed.
func (l *Follower) Answer(request *peerpb.ListRequest) (*peerpb.ListReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := &peerpb.ListReply{Mark: uint64(l.history.Fingerprint())}
	if request.Mark == reply.Mark {
		return reply, nil
	}
	delta, known := l.history.DeltaSince(fleet.Fingerprint(request.Mark))
	if !known || request.Mark == 0 {
		delta = fleet.ListDelta{Put: l.history.List()}
		reply.Full = true
	}
	text, err := json.Marshal(delta)
	if err != nil {
		return nil, fmt.Errorf("router: list: %w", err)
	}
	reply.Delta = text
	return reply, nil
}
