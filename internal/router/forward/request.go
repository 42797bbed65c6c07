// Package forward is the wire form of requests that one router sends on to another: the request, and
// the events of its answer.
//
//	request.go   the request
//	answer.go    events sent back to the router where the caller is
//	receiver.go  events received from the router that serves the request
//	end.go       the last event: a whole answer, or a refusal
package forward

import (
	"time"

	"github.com/croftyard/croftyard/internal/peer/peerpb"
	"github.com/croftyard/croftyard/internal/router/job"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/policy"
)

// Encode writes a request to be served by a group of engines, named by its ID. hopsLeft is how many other
// groups may be asked after it.
func Encode(job *job.Job, group uint64, hopsLeft int) *peerpb.ForwardRequest {
	return &peerpb.ForwardRequest{
		RequestId:    job.ID,
		Organisation: job.Group.Organisation,
		Group:        job.Group.Name,
		Model:        job.Model,
		Adapter:      job.Adapter,
		Path:         job.Path,
		Body:         job.Body,
		Stream:       job.Stream,
		Priority:     int32(job.Priority),
		DeadlineMs:   max(steady.Until(job.Deadline).Milliseconds(), 1),
		PromptTokens: int64(job.PromptTokens),
		OutputTokens: int64(job.OutputTokens),
		FreshTokens:  int64(job.FreshTokens),
		Engine:       job.Engine,
		Chat:         job.Chat,
		Prefix:       job.Prefix,
		EngineGroup:  group,
		HopsLeft:     uint32(hopsLeft),
		Key:          job.Key,
	}
}

// Decode reads a forwarded request. The group's parameters are those of the configuration in force; a
// group that it does not have, or without any configuration, gets the defaults.
func Decode(m *peerpb.ForwardRequest, inForce *policy.Snapshot) *job.Job {
	group := &policy.Group{Name: m.Group, Organisation: m.Organisation, Parameters: policy.Defaults()}
	if inForce != nil && inForce.Groups[m.Group] != nil {
		group = inForce.Groups[m.Group]
	}
	return &job.Job{
		ID:           m.RequestId,
		Group:        group,
		Model:        m.Model,
		Adapter:      m.Adapter,
		Path:         m.Path,
		Body:         m.Body,
		Stream:       m.Stream,
		Priority:     int(m.Priority),
		Deadline:     steady.Now().Add(time.Duration(m.DeadlineMs) * time.Millisecond),
		PromptTokens: int(m.PromptTokens),
		OutputTokens: int(m.OutputTokens),
		FreshTokens:  int(m.FreshTokens),
		Chat:         m.Chat,
		Prefix:       m.Prefix,
		Engine:       m.Engine,
		Key:          m.Key,
	}
}
