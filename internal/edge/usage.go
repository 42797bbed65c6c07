package edge

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/croftyard/croftyard/internal/router/metrics"
)

// usage is what engines report of an answer, in the usual shape.
type usage struct {
	PromptTokens int `json:"prompt_tokens"`
	Details      struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

var usageKey = []byte(`"usage":`)

// usageIn finds the report in an answer or in events of a stream. Only the one
// value is decoded; text that merely looks like the key decodes to nothing.
func usageIn(b []byte) (u usage, found bool) {
	at := bytes.Index(b, usageKey)
	if at < 0 {
		return u, false
	}
	err := json.NewDecoder(bytes.NewReader(b[at+len(usageKey):])).Decode(&u)
	return u, err == nil && u.PromptTokens > 0
}

// observer counts what an answer shows on its way.
type observer struct {
	metrics *metrics.Metrics
	began   time.Time
}

func (o observer) head() {
	o.metrics.FirstByte.Update(time.Since(o.began).Microseconds())
}

// events counts the events of a piece of a stream, which are its tokens but
// for the last two.
func (o observer) events(piece []byte) {
	o.metrics.Tokens.Mark(int64(bytes.Count(piece, []byte("\n\n"))))
	o.usage(piece)
}

func (o observer) usage(b []byte) {
	if u, found := usageIn(b); found {
		o.metrics.PromptTokens.Inc(int64(u.PromptTokens))
		o.metrics.CachedTokens.Inc(int64(u.Details.CachedTokens))
	}
}
