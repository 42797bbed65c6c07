// Package pause waits between the rounds of a router's work.
package pause

import (
	"context"
	"time"
)

// For waits and returns false when ctx ended.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
