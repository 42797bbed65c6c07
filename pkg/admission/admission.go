// Package admission decides whether a request is admitted, how long it queues and
// which request goes first.
//
//	Limits       an organisation's surge limit, split over the routers by demand
//	Queue        fair queueing by share, with priorities, deadlines and a length limit
//	Refusal      why a request was not served, and when to retry
//	RetryBudget  keeps retries a small part of the traffic
//
// Work is counted in tokens: the prompt tokens that no cache is known to hold
// and the output tokens requested. An output token counts as outputWeight
// prompt tokens, since the engine computes a prompt in one batch and an answer
// token by token.
//
// The package does no I/O. The caller passes the time.
package admission

import (
	"errors"
	"fmt"
	"time"
)

// outputWeight is the work of one output token, in prompt tokens.
const outputWeight = 4

// EstimateWork estimates the work of a request in tokens.
func EstimateWork(promptTokens, cachedTokens, outputTokens int) float64 {
	uncached := max(promptTokens-cachedTokens, 1)
	return float64(uncached) + outputWeight*float64(outputTokens)
}

// Reason tells why a request was refused or aborted. The numbers are sent
// between routers and must not change.
type Reason uint32

// The reasons.
const (
	Served        Reason = 0
	SurgeLimit    Reason = 1
	QueueFull     Reason = 2
	DeadlineMiss  Reason = 3
	NoEngine      Reason = 4
	Stopping      Reason = 5
	TargetFailed  Reason = 6
	HopBroken     Reason = 7
	AlreadyRan    Reason = 8
	ClaimHeld     Reason = 9
	ClaimUnknown  Reason = 10
	ServiceDown   Reason = 11
	StreamBroken  Reason = 12
	AnswerCrossed Reason = 13
	Displaced     Reason = 14
	CallerGone    Reason = 15
	GroupFull     Reason = 16
	TargetLeaving Reason = 17
	Poisoned      Reason = 18
)

var reasonNames = map[Reason]string{
	Served:        "served",
	SurgeLimit:    "surge_limit",
	QueueFull:     "queue_full",
	DeadlineMiss:  "deadline",
	NoEngine:      "no_engine",
	Stopping:      "stopping",
	TargetFailed:  "target_failed",
	HopBroken:     "hop_broken",
	AlreadyRan:    "already_ran",
	ClaimHeld:     "claim_held",
	ClaimUnknown:  "claim_unknown",
	ServiceDown:   "service_down",
	StreamBroken:  "stream_broken",
	AnswerCrossed: "answer_crossed",
	Displaced:     "displaced",
	CallerGone:    "caller_gone",
	GroupFull:     "group_full",
	TargetLeaving: "target_leaving",
	Poisoned:      "crashes_target",
}

// String returns the name used in answers, metrics and logs.
func (r Reason) String() string {
	if name, known := reasonNames[r]; known {
		return name
	}
	return fmt.Sprintf("reason_%d", uint32(r))
}

// ReasonNames returns the name of each reason.
func ReasonNames() map[Reason]string { return reasonNames }

// ErrRefused is wrapped by every Refusal.
var ErrRefused = errors.New("admission: refused")

// Refusal is the error of a request that was not served.
type Refusal struct {
	Reason Reason
	// NotRun is true only when no byte of the request can have reached a target.
	NotRun bool
	// RetryAfter tells the caller when to retry; 0 means that a retry is
	// pointless or that the time is not known.
	RetryAfter time.Duration
	// Detail is one sentence for a human reader.
	Detail string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%v: %s: %s", ErrRefused, r.Reason, r.Detail)
}

// Unwrap lets errors.Is find ErrRefused.
func (r *Refusal) Unwrap() error { return ErrRefused }

// Refuse returns a refusal of a request that certainly did not run.
func Refuse(reason Reason, after time.Duration, detail string) *Refusal {
	return &Refusal{Reason: reason, NotRun: true, RetryAfter: after, Detail: detail}
}

// RefusePossiblyRun returns a refusal of a request that may have run.
func RefusePossiblyRun(reason Reason, detail string) *Refusal {
	return &Refusal{Reason: reason, Detail: detail}
}
