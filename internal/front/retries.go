package front

import (
	"context"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/front/retries"
)

// admitRetry admits a retry by the budget, and waits for other routers to lend what it lacks.
func (c *call) admitRetry(ctx context.Context) bool {
	admission := c.retries.Admit(ctx, c.front.retries, c.service.Name)
	switch admission {
	case retries.Ahead:
		return true
	case retries.Borrowed:
		c.front.metrics.RetriesBorrowed.Inc(1)
	}
	c.front.logExhausted(c.id, c.service.Name, admission == retries.Refused)
	return admission != retries.Refused
}

// claimRetry admits a retry for an attempt that is silent, which is ended for it.
func (c *call) claimRetry(service string) bool {
	return c.retries.Claim(c.front.cutting, c.front.retries, service)
}

// logExhausted logs the first of a row of retries that were not admitted.
func (f *Front) logExhausted(request, service string, refused bool) {
	if f.retries.Exhaust(refused) {
		f.log.Write(event.BudgetSpent, event.F("request", request), event.F("service", service), event.F("left", f.retries.Left(service)))
	}
}
