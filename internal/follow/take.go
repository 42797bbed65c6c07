package follow

import (
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/route"
)

// Take takes what a read returned that was sent at a time, or returns ErrPast.
func (f *Follower) Take(s Snapshot, sent time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.enter(&s, sent); err != nil {
		return err
	}
	f.takeConfig(s, sent)
	f.changed(f.directory.Take(s.listing(), sent))
	f.noteBad(s.BadReplicas)
	f.newProof()
	return nil
}

// noteBad writes of each bad entry once. f.mu is held.
func (f *Follower) noteBad(entries []BadEntry) {
	bad := make(map[string]uint64, len(entries))
	for _, e := range entries {
		bad[e.Key] = e.Revision
		if f.bad[e.Key] != e.Revision {
			f.log.Write(event.ReplicaUnreadable, event.F("key", e.Key), event.F("revision", e.Revision), event.F("error", e.Problem))
		}
	}
	f.bad = bad
}

// newProof wakes who waits for a proof. f.mu is held.
func (f *Follower) newProof() {
	f.turns.Answered(f.holder.Current().Seen)
	close(f.read)
	f.read = make(chan struct{})
}

// changed takes changes of the directory. f.mu is held.
func (f *Follower) changed(changes []directory.Change) {
	if len(changes) == 0 {
		return
	}
	f.balancer.Replace(f.directory.List(), f.directory.Read())
	f.mark, f.plainMark = f.directory.Mark(directory.WithStarts), f.directory.Mark(directory.Plain)
	f.tellNews()
	for _, c := range changes {
		switch c.What {
		case directory.Restarted:
			// Who is told the list knows it from when the replica says that it started.
			f.balancer.Restarted(c.Replica.ID, c.Replica.Born == 0, steady.Now())
		case directory.Left:
			f.balancer.Gone(c.Replica.ID)
		}
		if c.Centre != "" {
			f.log.Write(centreEvent(c.What), event.F("data_centre", c.Centre))
			continue
		}
		f.log.Write(event.ReplicaChanged, event.F("replica", c.Replica.ID), event.F("service", c.Replica.Service),
			event.F("address", c.Replica.Address), event.F("change", string(c.What)))
	}
}

// centreEvent is the event of a change of a data centre.
func centreEvent(what directory.What) event.ID {
	if what == directory.Evacuated {
		return event.CentreEvacuated
	}
	return event.CentreReturned
}

func (f *Follower) takeConfig(s Snapshot, sent time.Time) {
	if s.Problem != nil {
		f.log.Write(event.ConfigRejected, event.F("error", s.Problem))
		return
	}
	held := f.holder.Current()
	if held.Table != nil && s.Config.Version == held.Table.Version() {
		f.holder.Prove(s.Config.Version, sent)
		return
	}
	if f.life.rewound && held.Table != nil && s.Config.Version < held.Table.Version() {
		// The operator has not written again what the copy lacks. Nothing newer is there,
		// and what is held is never taken back.
		f.holder.Prove(held.Table.Version(), sent)
		return
	}
	table, err := route.Compile(*s.Config)
	if err != nil {
		f.log.Write(event.ConfigRejected, event.F("error", err), event.F("version", s.Config.Version))
		return
	}
	if f.holder.Offer(table, sent) {
		f.tellNews()
		f.log.Write(event.ConfigAdopted, event.F("version", table.Version()), event.F("routes", len(s.Config.Routes)))
	}
}
