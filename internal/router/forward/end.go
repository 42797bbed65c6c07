package forward

import (
	"time"

	"github.com/croftyard/croftyard/internal/peer/peerpb"
	"github.com/croftyard/croftyard/pkg/admission"
)

// EndOf returns the event that ends an answer: whole, or with a refusal.
func EndOf(refusal *admission.Refusal) *peerpb.ForwardEvent {
	end := &peerpb.End{Whole: refusal == nil}
	if refusal != nil {
		end.Reason = uint32(refusal.Reason)
		end.NotRun = refusal.NotRun
		end.RetryAfterMs = refusal.RetryAfter.Milliseconds()
		end.Detail = refusal.Detail
	}
	return &peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_End{End: end}}
}

// RefusalOf returns the refusal of an end, nil if the answer is whole.
func RefusalOf(end *peerpb.End) *admission.Refusal {
	if end.Whole {
		return nil
	}
	return &admission.Refusal{
		Reason:     admission.Reason(end.Reason),
		NotRun:     end.NotRun,
		RetryAfter: time.Duration(end.RetryAfterMs) * time.Millisecond,
		Detail:     end.Detail,
	}
}
