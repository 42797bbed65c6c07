package instance

import (
	"net/url"

	"github.com/croftyard/croftyard/internal/admin"
	"github.com/croftyard/croftyard/internal/router"
	"github.com/croftyard/croftyard/internal/router/report"
)

// subject shows a router to its operators.
func subject(r *router.Router) admin.Subject {
	return admin.Subject{
		State:    func() any { return r.State() },
		Registry: r.Metrics().Registry,
		Gauges:   func() []admin.Gauge { return gauges(r.State()) },
		Explain: func(query url.Values) (any, error) {
			return r.Explain(report.Question{Group: query.Get("group"), Model: query.Get("model"), Token: query.Get("token")})
		},
	}
}

func gauges(s report.State) []admin.Gauge {
	return []admin.Gauge{
		{Name: "croftyard_control_sent_bytes", Value: float64(s.Control.SentBytes)},
		{Name: "croftyard_control_received_bytes", Value: float64(s.Control.ReceivedBytes)},
		{Name: "croftyard_control_calls", Value: float64(s.Control.Calls)},
		{Name: "croftyard_platform_calls", Value: float64(s.PlatformCalls)},
		{Name: "croftyard_requests_active", Value: float64(s.Active)},
	}
}
