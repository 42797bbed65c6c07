package entry

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/settings"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/origin"
)

const (
	// servedPeriod is the pause between two looks whether the record of versions is up to date, and
	// confirmPeriod between two whether other routers are to be asked which versions it names.
	servedPeriod  = 500 * time.Millisecond
	confirmPeriod = 200 * time.Millisecond
	// recallTimeout is how long a caller waits for the record to be read. The read goes on.
	recallTimeout = 150 * time.Millisecond
	// recallPause is the pause after a read for callers, and recallFailedPause after one that
	// failed. A record rarely changes in between.
	recallPause       = 5 * time.Second
	recallFailedPause = 500 * time.Millisecond
)

// servedVersions keeps a record in the store of the versions that served lately, so that streams
// can go on after all routers ended.
type servedVersions struct {
	tracker *origin.Tracker
	keeper  origin.Keeper
	store   atomic.Pointer[origin.Store]
	// recalls joins the reads for callers. The last one began at recalledAt, the next one may begin at
	// recallFrom.
	recalls                singleflight.Group
	recalledAt, recallFrom time.Time
	// restores is the number of restores of the store from a copy, as of the last check.
	restores uint64
}

// keepServed keeps the record up to date until ctx ends.
func (e *Entry) keepServed(ctx context.Context) {
	if e.env.ServedStore == nil || !e.waitUntil(ctx, e.watcher.Initialized) {
		return
	}
	// Until routers know each other, each is the first by rank.
	meeting, cancel := context.WithTimeout(ctx, peerWait+recallWait)
	<-meeting.Done()
	cancel()
	ticker := time.NewTicker(servedPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.served.tracker.Added():
		}
		e.advanceServed(ctx)
	}
}

// confirmServed asks other routers which of the versions that serve the record names, until ctx ends.
func (e *Entry) confirmServed(ctx context.Context) {
	if e.env.ServedStore == nil {
		return
	}
	ticker := time.NewTicker(confirmPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.gossip.Origins().ConfirmVersions(e.front.ResumableServices(), steady.Now())
		}
	}
}

// unrecordedVersions returns how many versions serve that the record is not known to name.
func (e *Entry) unrecordedVersions() int {
	if e.env.ServedStore == nil {
		return 0
	}
	count := 0
	for _, name := range e.front.ResumableServices() {
		count += len(e.served.tracker.Unconfirmed(name))
	}
	return count
}

// advanceServed reads or writes the record if that is due.
func (e *Entry) advanceServed(ctx context.Context) {
	if e.stopping.Load() || !e.proofFresh() {
		// Another router writes what this one, cut off or stopping, can't.
		return
	}
	if restores := e.watcher.Restores(); restores != e.served.restores {
		e.served.restores = restores
		e.served.keeper.Distrust()
		e.served.tracker.ResetConfirmed()
	}
	defer e.confirmRecorded()
	// A read may call for a write.
	for range 2 {
		step := e.served.keeper.Next(e.resumableServices(), e.watcher.Digest().Generation, e.gossip.ServedRank(), steady.Now())
		switch {
		case step.Read:
			_ = e.readServed(ctx) // Logged; the keeper tries again.
		case len(step.Write) > 0:
			e.writeServed(ctx, step.Write)
		default:
			return
		}
	}
}

// resumableServices returns what served lately at the services whose streams may be taken up, after the
// routes of that time. Services of which neither replicas nor the record name a version have none.
func (e *Entry) resumableServices() []origin.Served {
	names := e.front.ResumableServices()
	for _, name := range e.front.ServicesWithResumableRoutes() {
		if !slices.Contains(names, name) && e.served.keeper.MayName(name) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	// All in one write, if they are few: a record of versions is relied on together with that of routes.
	list := []origin.Served{e.served.tracker.Served(origin.Routes, steady.Now())}
	for _, name := range names {
		list = append(list, e.served.tracker.Served(name, steady.Now()))
	}
	return list
}

// readServed reads the records, and once more if another call overtook the read.
func (e *Entry) readServed(ctx context.Context) error {
	err := e.readServedOnce(ctx)
	if err == nil && e.served.keeper.Overtaken() {
		err = e.readServedOnce(ctx)
	}
	return err
}

func (e *Entry) readServedOnce(ctx context.Context) error {
	begun := steady.Now()
	records, generation, err := (*e.served.store.Load()).ReadServed(ctx)
	now := steady.Now()
	if err != nil {
		e.served.keeper.Failed(now)
		e.log.Write(event.ServedRead, event.F("records", 0), event.F("reliable", 0), event.F("error", err))
		return err
	}
	reliable := e.served.keeper.Loaded(records, generation, begun)
	names := append(e.front.ResumableServices(), origin.Routes)
	for _, r := range reliable {
		// Its replicas may not be listed yet, or state no version any more.
		names = append(names, r.Service)
	}
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		if e.isUnobservedSince(name, begun) {
			continue
		}
		e.recallService(name, records, reliable, now)
		e.confirmRead(name, reliable, generation)
	}
	e.log.Write(event.ServedRead, event.F("records", len(records)), event.F("reliable", len(reliable)), event.F("error", nil))
	return nil
}

// isUnobservedSince reports whether versions of a service may have come and gone unobserved since a call
// to the store began: its answer may be the content of before.
func (e *Entry) isUnobservedSince(name string, begun time.Time) bool {
	return e.served.tracker.GapEnd(name).Sub(begun) > origin.MaxObservationGap
}

// recallService takes over which versions of a service served before, from its record if there is a
// reliable one. Without any, none did before the start if the fleet starts for the first time. Routers of
// an earlier build record no routes, so a missing record of these names none.
func (e *Entry) recallService(name string, records, reliable []origin.Stored, now time.Time) {
	isOf := func(r origin.Stored) bool { return r.Service == name }
	if i := slices.IndexFunc(reliable, isOf); i >= 0 {
		e.served.tracker.RecallRecord(reliable[i], now)
		return
	}
	isFirst := e.settings.Routes.FirstStart && !e.served.tracker.HasLapsed(name)
	if (isFirst || name == origin.Routes) && !slices.ContainsFunc(records, isOf) {
		e.served.tracker.Recall(name, nil, now)
	}
}

// confirmRecorded confirms the versions that the first router by rank knows its records to name, also
// one that returned while its record still named it.
func (e *Entry) confirmRecorded() {
	for _, name := range e.front.ResumableServices() {
		if versions, generation := e.served.keeper.Recorded(name); len(versions) > 0 {
			e.served.tracker.Confirm(name, versions, generation)
		}
	}
}

// confirmRead notes the versions of a service that its record names. A router that does not keep the
// records asks those that do, since it does not read what they write later.
func (e *Entry) confirmRead(name string, reliable []origin.Stored, generation uint64) {
	if e.gossip.ServedRank() >= origin.Keepers {
		return
	}
	var versions []string
	for _, r := range reliable {
		if r.Service == name {
			versions = r.Versions
		}
	}
	e.served.tracker.SetConfirmed(name, versions, generation)
}

func (e *Entry) writeServed(ctx context.Context, records []origin.Stored) {
	begun := steady.Now()
	revision, err := (*e.served.store.Load()).WriteServed(ctx, records)
	for _, r := range records {
		e.log.Write(event.ServedWritten, event.F("service", r.Service), event.F("versions", r.Versions), event.F("revision", revision), event.F("error", err))
	}
	if err != nil {
		e.served.keeper.Failed(steady.Now())
		return
	}
	e.served.keeper.Written(records, revision)
	e.served.tracker.Written(records, revision)
	for _, r := range records {
		if e.isUnobservedSince(r.Service, begun) {
			continue
		}
		e.served.tracker.SetConfirmed(r.Service, r.Versions, r.Generation)
	}
}

// recallServed reads the record for a caller that takes up a stream, together with all others
// that wait for it. It reports whether the records were read and none is of the service.
func (e *Entry) recallServed(service string) (unrecorded bool) {
	if e.env.ServedStore == nil {
		// No version is ever recorded.
		return true
	}
	done := e.served.recalls.DoChan("", func() (any, error) {
		now := steady.Now()
		// What was read before a time without a current list is not known to be all any more.
		if now.Before(e.served.recallFrom) && !e.served.tracker.GapEnd(service).After(e.served.recalledAt) {
			return nil, nil
		}
		e.served.recalledAt = now
		pause := recallPause
		if e.readServed(context.Background()) != nil {
			pause = recallFailedPause
		}
		e.served.recallFrom = steady.Now().Add(pause)
		return nil, nil
	})
	select {
	case <-done:
	case <-time.After(recallTimeout):
	}
	return e.served.keeper.Lacks(service)
}

// setServedStore sets the client that reads and writes the record.
func (e *Entry) setServedStore(s settings.Settings) {
	if e.env.ServedStore == nil {
		return
	}
	store := e.env.ServedStore(s, readPeriod(s.Bounds))
	e.served.store.Store(&store)
}
