package front

import (
	"strconv"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/upstream"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/mechanism"
)

// outgoing builds the request for a replica.
func (c *call) outgoing(choice balance.Choice) *upstream.Request {
	d := &c.front.options.Dialect
	header := forwardedHeader(c.request.Header)
	for _, name := range d.RouterOnly {
		header.Del(name)
	}
	if c.organisation != nil || c.front.holder.Current().Table.Keyed() {
		header.Del(d.Key)
	}
	if c.organisation != nil {
		header.Set(d.Organisation, c.organisation.Name)
	}
	header.Set(d.Deadline, strconv.FormatInt(max(steady.Until(c.deadline).Milliseconds(), 1), 10))
	header.Set(d.ExpectReplica, choice.Replica.ID)
	if c.service.Engine != nil {
		if !c.front.options.Without.Has(mechanism.Priority) {
			header.Set(d.Priority, strconv.Itoa(c.priority()))
		}
		if choice.CopySource != "" {
			header.Set(d.CopyFrom, choice.CopySource)
		}
	}
	if c.position.LastEvent != "" {
		header.Set(lastEventHeader, c.position.LastEvent)
	}
	return &upstream.Request{
		Method: c.request.Method,
		URI:    c.request.RequestURI,
		Host:   c.request.Host,
		Header: header,
		Body:   c.body,
		ID:     c.id,
		// Probes notice when connections open again.
		KeptOnly: choice.KeptOnly,
	}
}

// lastEventHeader is the standard header for resuming an event stream.
const lastEventHeader = "Last-Event-Id"

// priority returns the organisation's priority, or else the route's, clamped to the range
// that replicas accept.
func (c *call) priority() int {
	const lowest = 9
	p := c.route.Priority
	if c.organisation != nil && c.organisation.HasPriority {
		p = c.organisation.Priority
	}
	return min(max(p, 0), lowest)
}
