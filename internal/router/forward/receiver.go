package forward

import (
	"github.com/croftyard/croftyard/internal/dispatch"
	"github.com/croftyard/croftyard/internal/peer/peerpb"
	"github.com/croftyard/croftyard/internal/router/job"
)

// Receiver passes the events of a forwarded request to the caller's answer.
type Receiver struct {
	answer job.Answer
	end    *peerpb.End
}

// NewReceiver returns a receiver for answer.
func NewReceiver(answer job.Answer) *Receiver { return &Receiver{answer: answer} }

// End returns the last event, or nil if it did not come.
func (r *Receiver) End() *peerpb.End { return r.end }

// Receive takes one event. Its errors are those of the answer.
func (r *Receiver) Receive(e *peerpb.ForwardEvent) error {
	switch event := e.Event.(type) {
	case *peerpb.ForwardEvent_Chunk:
		return r.answer.Chunk(event.Chunk)
	case *peerpb.ForwardEvent_Head:
		if err := r.answer.Served(event.Head.Engine); err != nil {
			return err
		}
		head := dispatch.Head{Status: int(event.Head.Status), ContentType: event.Head.ContentType, Undelimited: event.Head.Undelimited}
		return r.answer.Head(head)
	case *peerpb.ForwardEvent_End:
		r.end = event.End
	}
	return nil
}
