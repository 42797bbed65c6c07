// Package job holds one request of a caller as the edge hands it to the router, and what takes its answer.
package job

import (
	"fmt"
	"time"

	"github.com/croftyard/croftyard/internal/dispatch"
	"github.com/croftyard/croftyard/pkg/admission"
	"github.com/croftyard/croftyard/pkg/policy"
)

// Job is one request of a caller, checked by the edge.
type Job struct {
	// ID names the request in logs.
	ID       string
	Group    *policy.Group
	Model    string
	Adapter  string
	Path     string
	Body     []byte
	Stream   bool
	Priority int
	Deadline time.Time
	// PromptTokens and OutputTokens estimate the request's size; Fresh is the
	// part of the prompt that no engine can hold, the last turn.
	PromptTokens int
	OutputTokens int
	FreshTokens  int
	// Chat and Prefix are the hashes that place the request.
	Chat   uint64
	Prefix uint64
	// Engine is the hash of the token's engine, or 0.
	Engine uint64
	// Key is the caller's Idempotency-Key with its group, or empty.
	Key string
}

// Call is a request to a plain service.
type Call struct {
	Job     Job
	Service *policy.Service
	Request dispatch.Request
}

// Answer takes a request's answer: the engine's name comes before its head.
type Answer interface {
	dispatch.Sink
	Served(engine string) error
}

// Work estimates the request's work: with a token the engine holds all but the
// last turn.
func (j *Job) Work() float64 {
	cached := 0
	if j.Engine != 0 {
		cached = j.PromptTokens - j.FreshTokens
	}
	return admission.EstimateWork(j.PromptTokens, cached, j.OutputTokens)
}

// Wanted names what an engine must serve.
func (j *Job) Wanted() string {
	if j.Adapter == "" {
		return j.Model
	}
	return fmt.Sprintf("%s with adapter %s", j.Model, j.Adapter)
}
