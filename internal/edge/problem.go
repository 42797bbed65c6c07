package edge

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/croftyard/croftyard/pkg/admission"
)

// Values of the Croftyard-Ran header.
const (
	ranNo      = "no"
	ranUnknown = "unknown"
)

// problem is the body of an error answer, application/problem+json.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Reason is the admission reason, for programs.
	Reason string `json:"reason,omitempty"`
	Ran    string `json:"ran"`

	retryAfter time.Duration
}

const problemType = "about:blank"

// inputProblem is an error of the caller: nothing ran.
func inputProblem(status int, detail string) *problem {
	return &problem{Type: problemType, Title: http.StatusText(status), Status: status, Detail: detail, Ran: ranNo}
}

func badRequest(detail string) *problem { return inputProblem(http.StatusBadRequest, detail) }

func notFound(detail string) *problem { return inputProblem(http.StatusNotFound, detail) }

func unauthorized(detail string) *problem { return inputProblem(http.StatusUnauthorized, detail) }

func forbidden(detail string) *problem { return inputProblem(http.StatusForbidden, detail) }

func notReady() *problem {
	p := inputProblem(http.StatusServiceUnavailable, "no configuration is in force yet")
	p.retryAfter = time.Second
	return p
}

var reasonStatus = map[admission.Reason]int{
	admission.SurgeLimit:    http.StatusTooManyRequests,
	admission.QueueFull:     http.StatusServiceUnavailable,
	admission.DeadlineMiss:  http.StatusGatewayTimeout,
	admission.AlreadyRan:    http.StatusConflict,
	admission.ClaimHeld:     http.StatusConflict,
	admission.TargetFailed:  http.StatusBadGateway,
	admission.TargetLeaving: http.StatusBadGateway,
	admission.HopBroken:     http.StatusBadGateway,
	admission.StreamBroken:  http.StatusBadGateway,
	admission.AnswerCrossed: http.StatusBadGateway,
}

// refusalProblem tells the caller of a refusal.
func refusalProblem(r *admission.Refusal) *problem {
	status, known := reasonStatus[r.Reason]
	if !known {
		status = http.StatusServiceUnavailable
	}
	p := inputProblem(status, r.Detail)
	p.Reason = r.Reason.String()
	p.retryAfter = r.RetryAfter
	if !r.NotRun {
		p.Ran = ranUnknown
	}
	return p
}

// without tells the problem to a caller whose request went no further than the
// edge. With an Idempotency-Key nobody has looked whether an earlier request
// with that key ran, so "not run" would not be known to be true.
func (p *problem) without(r *http.Request) *problem {
	if r.Header.Get(IdempotencyKey) != "" {
		p.Ran = ranUnknown
	}
	return p
}

func writeProblem(w http.ResponseWriter, p *problem) {
	w.Header().Set(RanHeader, p.Ran)
	if p.retryAfter > 0 {
		seconds := int(math.Ceil(p.retryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	if p.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(w, p.Status, "application/problem+json", p)
}

func writeJSON(w http.ResponseWriter, status int, contentType string, v any) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	// A caller that left needs no answer.
	_ = json.NewEncoder(w).Encode(v)
}
