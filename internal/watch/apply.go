package watch

import (
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/route"
)

// ApplySnapshot applies the result of a read that was sent at the given time, or returns
// ErrStaleGeneration.
func (w *Watcher) ApplySnapshot(s Snapshot, sent time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.acceptGeneration(&s, sent); err != nil {
		return err
	}
	w.applyConfig(s, sent)
	w.handleChanges(w.applyRead(s.listing(), s.Revision, sent))
	w.logFirstList(fromStore)
	w.logBadEntries(s.BadReplicas)
	w.notifyRead()
	return nil
}

// fromStore says in a log line that this router read the list itself.
const fromStore = "store"

// logFirstList logs where the first list came from. w.mu is held.
func (w *Watcher) logFirstList(from string) {
	if w.hasList || w.directory.ReadTime().IsZero() {
		return
	}
	w.hasList = true
	w.log.Write(event.ListFirst, event.F("from", from), event.F("replicas", w.directory.Len()), event.F("after_ms", steady.Since(w.started).Milliseconds()))
}

// applyRead applies a list that was read from the source as of a revision. w.mu is held.
func (w *Watcher) applyRead(l directory.Listing, revision uint64, sent time.Time) []directory.Change {
	if !sent.Before(w.directory.ReadTime()) {
		w.directory.SetRevision(revision)
	}
	return w.directory.Apply(l, sent)
}

// logBadEntries logs each revision of a bad entry once. w.mu is held.
func (w *Watcher) logBadEntries(entries []BadEntry) {
	bad := make(map[string]uint64, len(entries))
	for _, e := range entries {
		bad[e.Key] = e.Revision
		if w.badRevisions[e.Key] != e.Revision {
			w.log.Write(event.ReplicaUnreadable, event.F("key", e.Key), event.F("revision", e.Revision), event.F("error", e.Err))
		}
	}
	w.badRevisions = bad
}

// notifyRead wakes the goroutines that wait for a read. w.mu is held.
func (w *Watcher) notifyRead() {
	w.turns.ObserveSuccess(w.holder.Current().LastReadAt)
	close(w.readDone)
	w.readDone = make(chan struct{})
}

// handleChanges passes changes of the directory to the balancer and the log. w.mu is
// held.
func (w *Watcher) handleChanges(changes []directory.Change) {
	w.listHash, w.plainHash = w.directory.Hash(directory.HashWithStarts), w.directory.Hash(directory.HashPlain)
	if len(changes) == 0 {
		return
	}
	w.updateBalancer(changes)
	w.notifyUpdate()
	for _, c := range changes {
		switch c.Kind {
		case directory.Restarted:
			// Routers that receive the list detect the restart by the start time in the
			// replica's entry.
			w.balancer.ReplicaRestarted(c.Replica.ID, c.Replica.Born == 0, steady.Now())
			// The balancer drops the rest, which may be kept.
			w.balancer.RestUntil(c.Replica.ID, w.Statements().Get(c.Replica.ID).RestUntil)
		case directory.Left:
			w.balancer.ReplicaRemoved(c.Replica.ID)
		}
	}
	w.logChanges(changes)
}

// updateBalancer passes changed replicas to the balancer, all of them if a data centre has
// changed.
func (w *Watcher) updateBalancer(changes []directory.Change) {
	var changed []directory.Replica
	var removed []string
	rollouts := false
	for _, c := range changes {
		switch {
		case c.Rollout != "":
			rollouts = true
		case isCentreChange(c.Kind):
			w.balancer.SetReplicas(w.directory.List(), w.directory.ReadTime())
			changed, removed = nil, nil
		case c.Kind == directory.Left || c.Kind == directory.ConnectionsClosed:
			removed = append(removed, c.Replica.ID)
		default:
			changed = append(changed, c.Replica)
		}
	}
	if len(changed)+len(removed) > 0 {
		w.balancer.UpdateReplicas(w.directory.WithEvacuated(changed), removed, w.directory.ReadTime())
	}
	if rollouts {
		w.balancer.Rollouts().SetRecords(w.directory.Rollouts())
	}
}

// maxLoggedChanges is how many changes of replicas are logged one by one at a time. Of
// more, a line for each kind is logged: the whole fleet logs each of them.
const maxLoggedChanges = 16

// logChanges logs changes of the directory.
func (w *Watcher) logChanges(changes []directory.Change) {
	replicas := 0
	counts := make(map[directory.ChangeKind]int)
	for _, c := range changes {
		switch {
		case c.Rollout != "":
			w.log.Write(event.RolloutChanged, event.F("service", c.Rollout))
		case isCentreChange(c.Kind):
			w.log.Write(centreEvent(c.Kind), event.F("data_centre", c.DataCentre))
		default:
			replicas++
			counts[c.Kind]++
		}
	}
	if replicas > maxLoggedChanges {
		for kind, n := range counts {
			w.log.Write(event.ReplicasChanged, event.F("change", string(kind)), event.F("replicas", n))
		}
		return
	}
	for _, c := range changes {
		if c.Rollout == "" && !isCentreChange(c.Kind) {
			w.log.Write(event.ReplicaChanged, event.F("replica", c.Replica.ID), event.F("service", c.Replica.Service),
				event.F("address", c.Replica.Address), event.F("change", string(c.Kind)))
		}
	}
}

// isCentreChange reports whether a change is one of a data centre.
func isCentreChange(kind directory.ChangeKind) bool {
	return kind == directory.Evacuated || kind == directory.EvacuationEnded
}

// centreEvent returns the event for a change of a data centre.
func centreEvent(kind directory.ChangeKind) event.ID {
	if kind == directory.Evacuated {
		return event.CentreEvacuated
	}
	return event.CentreReturned
}

func (w *Watcher) applyConfig(s Snapshot, sent time.Time) {
	if s.ConfigErr != nil {
		w.log.Write(event.ConfigRejected, event.F("error", s.ConfigErr))
		return
	}
	held := w.holder.Current()
	if held.Table != nil && s.Config.Version == held.Table.Version() {
		w.holder.ConfirmVersion(s.Config.Version, sent)
		return
	}
	if w.sourceState.rewound && held.Table != nil && s.Config.Version < held.Table.Version() {
		// The operator has not yet rewritten what the restored source lacks. The source
		// has nothing newer, and a known configuration is never rolled back.
		w.holder.ConfirmVersion(held.Table.Version(), sent)
		return
	}
	table, err := route.Compile(*s.Config)
	if err != nil {
		w.log.Write(event.ConfigRejected, event.F("error", err), event.F("version", s.Config.Version))
		return
	}
	if w.holder.Update(table, sent) {
		w.notifyUpdate()
		w.log.Write(event.ConfigAdopted, event.F("version", table.Version()), event.F("routes", len(s.Config.Routes)))
	}
}
