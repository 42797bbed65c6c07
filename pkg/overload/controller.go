package overload

import "time"

// Controller is safe for concurrent use.
type Controller struct{}

// New returns a controller that knows nothing and admits everything. Its decisions depend
// only on seed and on the calls made to it.
func New(seed uint64) *Controller { return &Controller{} }

// Arrived records a request for a service, before it is decided on.
func (c *Controller) Arrived(service string, share Share, now time.Time) {}

// Answered records that a replica ran a request and how long its answer took.
func (c *Controller) Answered(replica uint32, took time.Duration, now time.Time) {}

// Rejected records that a replica did not take a request.
func (c *Controller) Rejected(replica uint32, now time.Time) {}

// Decide admits or refuses a request.
func (c *Controller) Decide(q Request, now time.Time) Decision { return Decision{Admitted: true} }

// Estimate returns what is known of one of a service's usable replicas. It returns false if
// nothing is known of any of them.
func (c *Controller) Estimate(replica Replica, usable []Replica, now time.Time) (Estimate, bool) {
	return Estimate{}, false
}

// Report returns what this router saw.
func (c *Controller) Report(now time.Time) Report { return Report{} }

// GroupReport returns the sum over this router and the named sources.
func (c *Controller) GroupReport(sources []string, now time.Time) Report { return Report{} }

// MergeReport takes the report of a router, or of a group that does not include this router.
// It replaces the source's last one.
func (c *Controller) MergeReport(source string, r Report, now time.Time) {}

// RemoveSource drops the report of a source.
func (c *Controller) RemoveSource(source string) {}

// Status returns what is known of a service whose usable replicas are given.
func (c *Controller) Status(service string, target time.Duration, usable []Replica, now time.Time) Status {
	return Status{}
}
