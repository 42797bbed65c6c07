package front

import (
	"net/http"

	"github.com/croftyard/croftyard/pkg/membudget"
)

// Held returns the budget of the bytes that are held for callers.
func (f *Front) Held() *membudget.Budget { return f.held.Budget() }

// SetHeldBytes sets the maximum of the bytes held for callers; zero means none.
func (f *Front) SetHeldBytes(n int64) { f.held.SetLimit(n) }

// refuseNoMemory refuses a call whose body does not fit. Another router has memory of its own.
// The connection is closed, as the rest of the body is not read.
func refuseNoMemory() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "not enough memory", retryAfter: retryElsewhere, closes: true}
}
