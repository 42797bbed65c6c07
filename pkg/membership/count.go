package membership

import "time"

// What the users allow all routers together is divided by the number of routers. The number must
// not be too low at any of them: then the parts add up to more than the whole.

const (
	// silentLifetime is for how long a member that fell silent counts. Data centres are cut off
	// from each other for an hour now and then, and both sides work on.
	silentLifetime = 2 * time.Hour
	// stopTime is for how long a member that announced its stop serves on, at most.
	stopTime = 20 * time.Second
	// reportTime is for how long the number that another router reported counts: several
	// rounds, so that a lost message does not lower it.
	reportTime = 10 * time.Second
)

// Count is how many routers may be at work, as far as one router knows.
type Count struct {
	Routers int
	// Complete is set if the router has met all seeds since it started: then it knows also of
	// those that it has lost the contact to.
	Complete bool
}

// reportedCounts holds the greatest reported number of this period and of the one before.
type reportedCounts struct {
	began         time.Time
	newest, older Count
}

// SetWindow sets for how long what a router has used of the users' allowance counts.
func (t *Table) SetWindow(window time.Duration) { t.window = window }

// leftLifetime is for how long a member that announced its stop counts.
func (t *Table) leftLifetime() time.Duration { return stopTime + t.window }

// RecordCount records what another router counts.
func (t *Table) RecordCount(c Count, now time.Time) {
	t.holdRouters(now, func() { t.counts.newest = t.counts.newest.merge(c) })
}

// heldRouters is a number of routers that Routers does not fall below until a time, 0 if nothing is
// known of the fleet.
type heldRouters struct {
	routers float64
	until   time.Time
}

// holdRouters keeps the number of routers for reportTime if it falls as a seed is met: the routers
// behind the seed are learned in the rounds that follow. That nothing is known is kept too, but for
// a router that starts.
func (t *Table) holdRouters(now time.Time, meet func()) {
	held, before := t.Routers(now), t.estimateRouters(now)
	meet()
	after := t.estimateRouters(now)
	starting := now.Sub(t.began) < reportTime
	if after < before || before == 0 && after > 0 && !starting {
		t.held = heldRouters{held, now.Add(reportTime)}
	}
}

func (c Count) merge(other Count) Count {
	return Count{max(c.Routers, other.Routers), c.Complete || other.Complete}
}

func (c *reportedCounts) advance(now time.Time) {
	switch passed := now.Sub(c.began); {
	case passed < reportTime:
	case passed < 2*reportTime:
		c.began, c.newest, c.older = c.began.Add(reportTime), Count{}, c.newest
	default:
		c.began, c.newest, c.older = now, Count{}, Count{}
	}
}

// OwnCount counts the routers that this one knows, itself included: members, those that fell
// silent, and those that announced their stop a short while ago.
func (t *Table) OwnCount(now time.Time) Count {
	routers := t.Len() + len(t.silent)
	for _, at := range t.left {
		if now.Sub(at) <= t.leftLifetime() {
			routers++
		}
	}
	met, seeds := t.seedsMet(now)
	return Count{routers, met == seeds}
}

// seedsMet returns how many of the seeds were members since the start. One that was not for
// silentLifetime no longer counts as missing.
func (t *Table) seedsMet(now time.Time) (met, seeds int) {
	if t.began.IsZero() {
		t.began = now
	}
	for _, seed := range t.seeds {
		if seed == t.own || t.metSeeds[seed] || now.Sub(t.began) > silentLifetime {
			met++
		}
	}
	return met, len(t.seeds)
}

// SeedsKnown returns how many of the seeds this router knows, itself included, and how many there
// are: members, those that fell silent and those that announced their stop a short while ago. Parts
// of the fleet that know nothing of each other know different seeds.
func (t *Table) SeedsKnown() (known, seeds int) {
	for _, seed := range t.seeds {
		_, silent := t.silent[seed]
		_, left := t.left[seed]
		if seed == t.own || t.members[seed] != nil || silent || left {
			known++
		}
	}
	return known, len(t.seeds)
}

// Routers returns how many routers may be at work, or 0 if nothing is known of the fleet: the
// greatest number that this router or others count. If none of them has met all seeds since its
// start, they may be in a part of the fleet that is cut off: for each missing seed it then assumes
// as many further routers as there are for each seed that it has met. Once a seed is met the number
// does not fall for some rounds.
func (t *Table) Routers(now time.Time) float64 {
	routers := t.estimateRouters(now)
	if now.Before(t.held.until) && (t.held.routers == 0 || t.held.routers > routers) {
		return t.held.routers
	}
	return routers
}

func (t *Table) estimateRouters(now time.Time) float64 {
	t.counts.advance(now)
	all := t.OwnCount(now).merge(t.counts.newest).merge(t.counts.older)
	met, seeds := t.seedsMet(now)
	switch {
	case all.Complete:
		return float64(all.Routers)
	case met == 0:
		return 0
	}
	return float64(all.Routers) * float64(seeds) / float64(met)
}
