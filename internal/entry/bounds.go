package entry

import (
	"math"
	"slices"
	"time"

	"github.com/croftyard/croftyard/internal/front"
	"github.com/croftyard/croftyard/internal/settings"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/balance"
)

// Fractions of the users' bounds that the router uses up itself.
const (
	// keyProofFraction is the fraction of the time within which a revoked key must be refused.
	keyProofFraction = 0.8
	// absenceProofFraction is the fraction of the time within which a configuration must apply.
	absenceProofFraction = 0.8
	// readPeriodFraction is the pause between two reads of the source, as a fraction of
	// the same time, or of the time to drain or to evacuate if that is shorter.
	readPeriodFraction = 0.4
	// forwardFraction is the fraction of the time to drain, or to evacuate if that is shorter,
	// reserved for a request that is on its way to its replica.
	forwardFraction = 0.2
	// relistHeartbeats is for how many heartbeats after the first read that follows an
	// outage a replica that vanished with its list keeps its work. The users state that live
	// replicas are listed again within about two seconds (two heartbeats).
	relistHeartbeats = 2
	// retryFraction is the fraction of the users' retries that routers use: some arrive at their
	// replicas later than others after they were counted.
	retryFraction = 0.98
)

func fraction(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * share)
}

// readTimeoutPeriods bounds a whole read, in periods: a list of many pages takes as long
// as the link and the store need while a whole fleet starts, and a read that is cut short
// would start again with the first page.
const readTimeoutPeriods = 10

// source returns a client of the store that holds the configuration and the replicas. Each
// call times out after a period, so that a silent store is noticed as early as one with a
// single page.
func (e *Entry) source(s settings.Settings) watch.Source {
	return e.env.Source(s, readPeriod(s.Bounds))
}

// readPeriod is the pause between two reads of the source.
func readPeriod(b settings.Bounds) time.Duration {
	return fraction(min(b.Apply, b.Drain, b.Evacuate), readPeriodFraction)
}

func (e *Entry) followOptions(s settings.Settings) watch.Options {
	period := readPeriod(s.Bounds)
	return watch.Options{Period: period, Timeout: readTimeoutPeriods * period, FirstRead: firstReadDelay(s), ReadsFirst: readsFirst(s), Place: e.place}
}

// firstReadWait is how long routers wait for the seeds to pass on what they read when the
// whole fleet starts for the first time.
const firstReadWait = 1500 * time.Millisecond

// firstReadDelay returns how long a router waits before its first read. A fleet that
// starts has time, and one read per router would be a large part of a day's reads. A router that
// restarts is needed at once and reads for itself what fits one page.
func firstReadDelay(s settings.Settings) time.Duration {
	if !s.Routes.FirstStart || isSeed(s) {
		return 0
	}
	return firstReadWait
}

// isSeed reports whether other routers meet at this one when they start.
func isSeed(s settings.Settings) bool { return slices.Contains(s.Peers.Seeds, s.Listen.Peers) }

// readsFirst reports whether a router that starts reads a long list at once: it is a seed, which
// others fetch the list from, or has no seeds to fetch it from.
func readsFirst(s settings.Settings) bool { return isSeed(s) || len(s.Peers.Seeds) == 0 }

// keyProof returns the greatest age of the proof at which keys are accepted.
func keyProof(b settings.Bounds) time.Duration {
	if !b.RevokeAlways {
		return math.MaxInt64
	}
	return fraction(b.Revoke, keyProofFraction)
}

func coldBounds(b settings.Bounds) balance.ColdBounds {
	return balance.ColdBounds{Overage: b.ColdOverage, Allowance: b.ColdAllowance}
}

func frontLimits(b settings.Bounds) front.Limits {
	return front.Limits{
		MaxKeyProofAge:     keyProof(b),
		MaxAbsenceProofAge: fraction(b.Apply, absenceProofFraction),
		MaxListAge:         fraction(min(b.Drain, b.Evacuate), 1-forwardFraction),
		ListPeriod:         readPeriod(b),
	}
}
