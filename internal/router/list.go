package router

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/peer/peerpb"
	"github.com/croftyard/croftyard/internal/router/pause"
	"github.com/croftyard/croftyard/pkg/fleet"
)

// Readers of the platform's list: everyone in a data centre of up to readAll
// routers, else listReaders of them by rendezvous on listReadersKey. The others
// ask a reader for what changed. At 680 routers that is 15 reads of the service
// a second instead of 680, and a few dozen bytes for a node instead of a
// megabyte at each change.
const (
	listReadersKey = "croftyard/list/readers"
	listReaders    = 3
	readAll        = 9
)

// list keeps the platform's list up to date.
type list struct {
	router *Router
	// tag is the platform's name of the version read last, down whether it did
	// not answer; both are used by follow alone.
	tag  string
	down bool

	mu      sync.Mutex
	history fleet.ListHistory
}

// follow reads the list again and again. While it cannot be had the last list
// stays, corrected by what the router sees.
func (l *list) follow(ctx context.Context) error {
	for {
		readers := l.readers()
		if len(readers) == 0 || !l.askReaders(ctx, readers) {
			l.read(ctx)
		}
		if !pause.For(ctx, l.router.jitter(l.period(len(readers) == 0))) {
			return nil
		}
	}
}

// period is the pause between two reads: in a large fleet a reader answers many
// peers, so these ask half as often.
func (l *list) period(reader bool) time.Duration {
	poll := l.router.settings.Platform.Poll
	if reader {
		return poll
	}
	l.router.mu.Lock()
	defer l.router.mu.Unlock()
	return fleet.ScaledPeriod(poll, l.router.fleetSize())
}

// readers returns the peers to ask in turn, none if this router is a reader
// itself.
func (l *list) readers() []fleet.Instance {
	r := l.router
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.listed.Load() || r.fleetSize() <= readAll {
		return nil
	}
	near := r.liveRouters(r.isNear)
	if near.Holds(listReadersKey, listReaders) {
		return nil
	}
	return near.Others(listReadersKey, listReaders)
}

// askReaders asks one reader after the other until one answers.
func (l *list) askReaders(ctx context.Context, readers []fleet.Instance) bool {
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
		l.router.failed(reader.Name, event.PeerLost, err)
	}
	return false
}

func (l *list) mark() fleet.Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.history.Fingerprint()
}

// errMark: the delta did not lead to the version it names; the whole is needed.
var errMark = errors.New("router: list does not match its mark")

func (l *list) ask(ctx context.Context, address string, mark fleet.Fingerprint) error {
	reply, err := l.router.peers.List(ctx, address, &peerpb.ListRequest{Mark: uint64(mark)})
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
func (l *list) read(ctx context.Context) {
	read, changed, err := l.router.platform.Instances(ctx, l.tag)
	if err != nil && ctx.Err() == nil && !l.down {
		l.router.log.Write(event.PlatformDown, event.F("error", err))
	}
	if err == nil && l.down {
		l.router.log.Write(event.PlatformBack)
	}
	l.down = err != nil
	if changed {
		l.tag = read.Tag
		l.take(read.Instances)
	}
}

// take enters a list. The first one counts even if it is empty.
func (l *list) take(instances []fleet.Instance) {
	l.mu.Lock()
	changed := l.history.Update(instances)
	l.mu.Unlock()
	if changed || !l.router.listed.Load() {
		l.router.takeList(instances)
	}
}

// answer serves a peer that asks what changed.
func (l *list) answer(request *peerpb.ListRequest) (*peerpb.ListReply, error) {
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
