package follow

import (
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/route"
)

// Knowledge is what one router can pass on to another.
type Knowledge struct {
	Version uint64
	// Mark names the list of replicas by its content.
	Mark uint64
	// Config and Listing are nil where the other has the same.
	Config  *route.Config
	Listing *directory.Listing
	// ListRead is when the list was read last that Listing is, by this router's clock.
	ListRead time.Time
}

// Version returns the version of the configuration and the mark of the replicas
// that are known.
func (f *Follower) Version() (version, mark uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if table := f.holder.Current().Table; table != nil {
		version = table.Version()
	}
	return version, f.mark
}

// worthAsking is how much newer another router's proof must seem to be than the own
// one to be asked for: proofs are renewed each second or so by one router, and what a
// datagram was under way makes one seem newer than it is.
const worthAsking = 150 * time.Millisecond

// Behind tells whether another router seems to know more, by its word that a version
// and a mark were the newest at a time. It proves nothing: what it told may have been
// under way for long.
func (f *Follower) Behind(version, mark uint64, proven time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	held := f.holder.Current()
	switch {
	case held.Table == nil || version > held.Table.Version():
		return true
	case version < held.Table.Version():
		return false
	case mark != f.mark:
		return proven.After(f.directory.Read())
	}
	own := held.Proven
	if read := f.directory.Read(); read.Before(own) {
		own = read
	}
	return proven.Sub(own) >= worthAsking
}

// ProvenBy takes another router's word that a version and a mark were the newest
// at a time, and tells whether it has something newer to pass on.
func (f *Follower) ProvenBy(version, mark uint64, proven time.Time) (newer bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	held := f.holder.Current()
	if held.Table == nil || version > held.Table.Version() {
		return true
	}
	if version < held.Table.Version() {
		return false
	}
	if mark != f.mark {
		return proven.After(f.directory.Read())
	}
	// A list that was read alone may be newer than the proof; the configuration is
	// proven all the same.
	f.changed(f.directory.Confirm(proven))
	if f.holder.Prove(version, proven) {
		f.newProof()
	}
	return false
}

// Learn takes what another router passed on, which was the newest at a time.
func (f *Follower) Learn(k Knowledge, proven time.Time, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k.Config != nil {
		f.learnConfig(k.Config, proven, from)
	}
	held := f.holder.Current()
	if held.Table == nil || held.Table.Version() != k.Version || !proven.After(f.directory.Read()) {
		return
	}
	switch {
	case k.Listing != nil:
		f.changed(f.directory.Take(*k.Listing, proven))
	case k.Mark == f.mark:
		f.changed(f.directory.Confirm(proven))
	default:
		// The list has changed here since it was asked for: this confirms neither.
		return
	}
	f.holder.Prove(k.Version, proven)
	f.newProof()
}

func (f *Follower) learnConfig(c *route.Config, proven time.Time, from string) {
	table, err := route.Compile(*c)
	if err != nil {
		f.log.Write(event.ConfigRejected, event.F("error", err), event.F("version", c.Version), event.F("peer", from))
		return
	}
	if f.holder.Offer(table, proven) {
		f.tellNews()
		f.log.Write(event.ConfigFromPeer, event.F("version", c.Version), event.F("peer", from))
	}
}

// Knowledge returns what is known, to be passed on, with the age of its proof.
func (f *Follower) Knowledge(now time.Time) (Knowledge, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.holder.Current()
	config := state.Table.Config()
	listing := f.directory.Listing()
	k := Knowledge{Version: config.Version, Mark: f.mark, Config: &config, Listing: &listing, ListRead: f.directory.Read()}
	return k, f.age(now)
}
