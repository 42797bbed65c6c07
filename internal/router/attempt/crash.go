package attempt

import (
	"context"
	"net/http"
	"time"

	"github.com/croftyard/croftyard/internal/dispatch"
	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/router/job"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/admission"
	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/pkg/placement"
	"github.com/croftyard/croftyard/pkg/poison"
)

// What a request that crashes its targets may cost: the third one has it refused, for
// two minutes and six times as long after each further crash. The marks are this router's own:
// chats of one group come to its owner, so that most of their crashes are seen by one.
const (
	poisonCrashes = 3
	poisonHold    = 2 * time.Minute
)

func newPoison(log *event.Log) *poison.Tracker {
	return poison.New(poison.Options{
		Limits: poison.Limits{Crashes: poisonCrashes, Hold: poisonHold},
		OnHeld: func(d poison.Digest, crashes int, hold time.Duration) {
			log.Write(event.RequestHeld, event.F("digest", d.String()), event.F("crashes", crashes), event.F("hold_ms", hold.Milliseconds()))
		},
		OnCleared: func(d poison.Digest) { log.Write(event.RequestCleared, event.F("digest", d.String())) },
	})
}

func digestOf(job *job.Job, r *dispatch.Request) poison.Digest {
	method := r.Method
	if method == "" {
		method = http.MethodPost
	}
	return poison.NewDigest(job.Group.Organisation, method, "", r.Path, r.Body)
}

// suspicion refuses a request that is taken to crash what runs it.
func (s *Sender) suspicion(job *job.Job, request *dispatch.Request) *admission.Refusal {
	if !s.poison.HasMarks() {
		return nil
	}
	v := s.poison.Check(digestOf(job, request), steady.Now())
	if v.State != poison.Held {
		return nil
	}
	return admission.Refuse(admission.Poisoned, v.RetryAfter, "the request crashes what runs it")
}

// noteFate makes a mark against a request that was broken off by a target that ended,
// or takes all back from one that was answered whole.
func (s *Sender) noteFate(ctx context.Context, job *job.Job, target fleet.Instance, request *dispatch.Request, outcome dispatch.Outcome) {
	switch {
	case outcome.EndUnknown:
	case outcome.Whole:
		s.poison.RecordSuccess(digestOf(job, request), steady.Now())
	case outcome.NotRun || outcome.Leaving || ctx.Err() != nil:
	case outcome.Reason != admission.TargetFailed && outcome.Reason != admission.StreamBroken:
	case dispatch.Ended(ctx, target.Address, s.options.Others(target)):
		now, digest := steady.Now(), digestOf(job, request)
		s.poison.RecordCrash(digest, uint32(placement.Hash(target.Name)), now, now)
		s.options.Log.Write(event.ReplicaEnded, event.F("request", job.ID), event.F("replica", target.Name), event.F("digest", digest.String()))
	}
}
