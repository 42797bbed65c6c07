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

// Parts of the users' bounds that the router allows itself.
const (
	// keyProofPart of the time within which a revoked key must be refused.
	keyProofPart = 0.8
	// absencePart of the time within which a configuration must be in force.
	absencePart = 0.8
	// readPart of the same time, or of the time to drain or to evacuate if that is
	// shorter, is the pause between two reads of the source.
	readPart = 0.4
	// wayPart of the time to drain, or to evacuate if that is shorter, is for the way of a
	// request that is written to its replica.
	wayPart = 0.2
	// relistBeats is for how many heartbeats a replica that vanished with its list
	// keeps its work, from the first read after the outage. By the users' word
	// those that live are listed again within about two seconds (two beats).
	relistBeats = 2
	// repeatPart of the fleet's ratio of repeats is earned at each router.
	repeatPart = 0.5
	// reserveParts divides the fleet's allowance of repeats among routers.
	reserveParts = 16
)

func part(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * share)
}

// readPeriods bounds a whole read, in periods: a list of many pages takes as long as the
// link and the store take while a whole fleet starts, and one that was cut short would
// begin anew with the first page.
const readPeriods = 10

// source returns a client of where knowledge is kept. Each call is given up after a
// period, so that a store that is silent is noticed as soon as one of a single page.
func (e *Entry) source(s settings.Settings) watch.Source {
	return e.outside.Source(s, readPeriod(s.Bounds))
}

// readPeriod is the pause between two reads of the source.
func readPeriod(b settings.Bounds) time.Duration {
	return part(min(b.Apply, b.Drain, b.Evacuate), readPart)
}

func (e *Entry) followOptions(s settings.Settings) watch.Options {
	period := readPeriod(s.Bounds)
	return watch.Options{Period: period, Timeout: readPeriods * period, FirstRead: firstRead(s), Place: e.place}
}

// firstReadWait is how long routers wait for the seeds to tell them what they
// read, when the whole fleet starts for the first time.
const firstReadWait = 1500 * time.Millisecond

// firstRead is how long the first read of a router waits. A fleet that starts
// has time, and as many reads as routers would be a large part of a day's. A
// router that starts again is needed at once and reads for itself.
func firstRead(s settings.Settings) time.Duration {
	if !s.Routes.FirstStart || slices.Contains(s.Peers.Seeds, s.Listen.Peers) {
		return 0
	}
	return firstReadWait
}

// keyProof is the greatest age of the proof at which keys are believed.
func keyProof(b settings.Bounds) time.Duration {
	if !b.RevokeAlways {
		return math.MaxInt64
	}
	return part(b.Revoke, keyProofPart)
}

func coldBounds(b settings.Bounds) balance.ColdBounds {
	return balance.ColdBounds{Overage: b.ColdOverage, Allowance: b.ColdAllowance}
}

func frontLimits(b settings.Bounds) front.Limits {
	return front.Limits{
		MaxKeyProofAge:     keyProof(b),
		MaxAbsenceProofAge: part(b.Apply, absencePart),
		MaxListAge:         part(min(b.Drain, b.Evacuate), 1-wayPart),
		RetryRatio:         b.RepeatRatio * repeatPart,
		RetryBurst:         max(b.RepeatAllowance/reserveParts, 1),
	}
}
