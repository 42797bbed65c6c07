package balance

import (
	"time"

	"github.com/croftyard/croftyard/pkg/mechanism"
	"github.com/croftyard/croftyard/pkg/overload"
)

// Estimator estimates what a replica can answer, from what all routers saw.
// *overload.Controller implements it.
type Estimator interface {
	Estimate(replica overload.Replica, usable []overload.Replica, now time.Time) (overload.Estimate, bool)
}

const (
	// defaultTarget applies to requests without a target.
	defaultTarget = 300 * time.Millisecond
	// allowedWaitDivisor leaves three quarters of the target for the work, as in package
	// overload.
	allowedWaitDivisor = 4
	// remoteWait is the cost of sending a request to another data centre, in waiting time.
	remoteWait = 2 * time.Millisecond
	// minRateFraction is the least part of its capacity that a replica gets. One that gets
	// nothing would have no figures, and its end of waiting would not be noticed.
	minRateFraction = 1.0 / 20
)

// SetEstimator sets what estimates the replicas of plain services. Without one, they are
// chosen by the counts of running requests.
func (b *Balancer) SetEstimator(e Estimator) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.estimator = e
}

// targetRates returns the rates of requests that replicas should get. It returns false if nothing
// is known of one.
func (b *Balancer) targetRates(q Request, list []*replica, now time.Time) ([]float64, bool) {
	if b.estimator == nil || b.disabled.Has(mechanism.PlainRates) {
		return nil, false
	}
	usable := overloadReplicas(list)
	weights := make([]float64, len(list))
	for i, r := range list {
		estimate, known := b.estimator.Estimate(usable[i], usable, now)
		if !known || estimate.Capacity <= 0 {
			return nil, false
		}
		weights[i] = targetRate(estimate, q, r.DataCentre)
	}
	return weights, true
}

// targetRate is the rate of requests at which the wait of a replica approaches the allowed
// one within a second.
func targetRate(e overload.Estimate, q Request, dataCentre string) float64 {
	target := q.Target
	if target <= 0 {
		target = defaultTarget
	}
	wait := e.Wait
	if dataCentre != q.DataCentre {
		wait += remoteWait
	}
	allowed := target / allowedWaitDivisor
	return e.Capacity * max(1+(allowed-wait).Seconds(), minRateFraction)
}
