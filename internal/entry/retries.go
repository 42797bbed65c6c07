package entry

import (
	"time"

	"github.com/croftyard/croftyard/internal/settings"
	"github.com/croftyard/croftyard/pkg/retry"
)

// retryBounds returns the bounds of the fleet's retries.
func retryBounds(b settings.Bounds) retry.Bounds {
	return retry.Bounds{Ratio: b.RepeatRatio * retryFraction, Allowance: b.RepeatAllowance * retryFraction, Window: b.RepeatWindow}
}

const (
	// meetRounds is in how many rounds of gossip routers that start together learn of each other.
	meetRounds = 4
	// joinRounds is in how many rounds all learn of one that joins. Those of a large fleet are
	// several times as long.
	joinRounds = 16
)

// newRetries returns the retries of a router that starts now. Unless the whole fleet starts for the
// first time, another process may have used this router's part within the last window, and others
// have larger parts until they know of this router.
func newRetries(s settings.Settings, now time.Time) *retry.Budget {
	from := now.Add(joinRounds*s.Peers.Period + retry.LoanTime + s.Bounds.RepeatWindow)
	if s.Routes.FirstStart {
		from = now.Add(meetRounds * s.Peers.Period)
	}
	return retry.NewBudget(retryBounds(s.Bounds), now, from)
}
