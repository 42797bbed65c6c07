package front

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/poison"
)

// beginningPieces is how many pieces of an answer are its beginning. A part of the prompt that
// crashes replicas does so while the prompt is read or the answer begins; what has got further
// only runs beside one.
const beginningPieces = 2

// sharedParts returns the parts of the prompt that other requests may have too: all but the
// last one.
func (c *call) sharedParts() []balance.Part {
	return c.parts[:max(len(c.parts)-1, 0)]
}

// partNames returns the ids of parts as logs show them.
func partNames(parts []balance.Part) string {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = strconv.FormatUint(p.ID, 16)
	}
	return strings.Join(names, ",")
}

// partDigests returns the digests of the shared parts.
func (c *call) partDigests() []poison.Digest {
	if c.cachedParts == nil {
		shared := c.sharedParts()
		for _, p := range shared[:min(len(shared), poison.MaxParts)] {
			c.cachedParts = append(c.cachedParts, poison.NewPartDigest(c.service.Name, p.ID))
		}
	}
	return c.cachedParts
}

// piecesOfAttempt returns how many pieces of the last attempt's answer were forwarded.
func (c *call) piecesOfAttempt() int { return c.chunks - c.trialOfVersion.chunks }

// isBeginning reports whether the last attempt's answer has not got beyond its beginning.
func (c *call) isBeginning() bool { return c.piecesOfAttempt() <= beginningPieces }

// checkParts refuses a prompt with a part that crashes replicas.
func (c *call) checkParts(now time.Time) *refusal {
	f := c.front
	if c.partTrial != nil || !f.parts.HasMarks() {
		return nil
	}
	v := f.parts.Check(c.partDigests(), poison.OrganisationHash(c.organisationName()), now)
	switch {
	case v.State == poison.Held:
		return c.refusePoisoned(v.RetryAfter)
	case v.State != poison.Trial:
		return nil
	case !f.ownsTrial(v.Part) && !f.parts.AnyMayTry(v.Part, now), !f.parts.BeginRun(v.Part, v.State, now):
		return c.refusePoisoned(exclusiveRetryAfter)
	}
	c.partTrial = &v.Part
	return nil
}

// isPartHeld reports whether the prompt has a part that became held since checkParts.
func (c *call) isPartHeld(now time.Time) bool {
	f := c.front
	return c.partTrial == nil && f.parts.HasMarks() &&
		f.parts.Check(c.partDigests(), poison.OrganisationHash(c.organisationName()), now).State == poison.Held
}

// recordPartsSurvived records, once an attempt, that its answer got beyond its beginning.
func (c *call) recordPartsSurvived(status int) {
	if c.partsSurvived || status >= http.StatusMultipleChoices {
		return
	}
	c.partsSurvived = true
	c.front.parts.RecordSuccess(c.partDigests(), steady.Now())
}
