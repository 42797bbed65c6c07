package why

import (
	"errors"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const lines = `router r1: some other text
  12.1 r1 {"event":301,"instance":"r1","msg":"target failed a request","replica":"a","kind":"broke","time":"2026-01-02T00:00:01Z"}
  12.2 r1 {"event":301,"instance":"r1","msg":"target failed a request","replica":"b","kind":"broke","time":"2026-01-02T00:00:01.1Z"}
{"event":501,"instance":"r1","msg":"platform's service does not answer","time":"2026-01-02T00:00:01.5Z"}
{"event":403,"instance":"r1","msg":"answer broken off","request":"x","replica":"a","status":502,"reason":"no answer","time":"2026-01-02T00:00:03Z"}
{"event":410,"instance":"r1","msg":"replica chosen","request":"x","replica":"a","why":"home","copy_from":"","time":"2026-01-02T00:00:02Z"}
{"event":410,"instance":"r1","msg":"replica chosen","request":"y","replica":"a","time":"2026-01-02T00:00:02Z"}
{"event":501,"instance":"r2","msg":"platform's service does not answer","time":"2026-01-02T00:00:01.5Z"}
{"event":201,"instance":"r1","msg":"configuration in force","version":9,"time":"2026-01-01T23:00:00Z"}
{"event":410,"instance":"r1","requ
`

func TestTheStoryOfARequest(t *testing.T) {
	var log Log
	require.NoError(t, log.Read(strings.NewReader(lines)))
	assert.Equal(t, 1, log.Broken)
	story, err := log.Of("x")
	require.NoError(t, err)
	var out strings.Builder
	require.NoError(t, story.Write(&out))
	assert.Equal(t, `request x, 2 lines
  +0.000 s  r1  410 replica chosen  replica=a  why=home
  +1.000 s  r1  403 answer broken off  replica=a  reason=no answer  status=502

what its routers came to believe, from 5s before
  -1.000 s  r1  301 target failed a request  replica=a  kind=broke
  -0.500 s  r1  501 platform's service does not answer
`, out.String())
}

// A request that crashes what runs it is refused where nothing else was seen of it.
func TestTheStoryTellsWhatRequestsOfTheSameContentDid(t *testing.T) {
	const lines = `{"event":418,"instance":"r1","msg":"replica ended","request":"w","replica":"a","digest":"d1","time":"2026-01-01T23:00:00Z"}
{"event":418,"instance":"r1","msg":"replica ended","request":"v","replica":"a","digest":"d2","time":"2026-01-01T23:00:00Z"}
{"event":402,"instance":"r1","msg":"request refused","request":"v","digest":"d1","time":"2026-01-01T23:30:00Z"}
{"event":419,"instance":"r2","msg":"request held","digest":"d1","time":"2026-01-01T23:30:00Z"}
{"event":402,"instance":"r2","msg":"request refused","request":"x","digest":"d1","time":"2026-01-02T00:00:00Z"}
`
	var log Log
	require.NoError(t, log.Read(strings.NewReader(lines)))
	story, err := log.Of("x")
	require.NoError(t, err)
	var out strings.Builder
	require.NoError(t, story.Write(&out))
	assert.Equal(t, `request x, 1 lines
  +0.000 s  r2  402 request refused  digest=d1

of requests with the same content
-3600.000 s  r1  418 replica ended  replica=a  digest=d1
-1800.000 s  r2  419 request held  digest=d1
`, out.String())
}

func TestErrors(t *testing.T) {
	var log Log
	_, err := log.Of("x")
	assert.ErrorIs(t, err, ErrUnknown)
	assert.ErrorIs(t, log.Read(iotest.ErrReader(errors.New("gone"))), ErrRead)
	assert.ErrorIs(t, log.Read(strings.NewReader(strings.Repeat("x", maxLine+1))), ErrRead)
}

func FuzzRead(f *testing.F) {
	f.Add(lines)
	f.Fuzz(func(_ *testing.T, text string) {
		var log Log
		if log.Read(strings.NewReader(text)) != nil {
			return
		}
		// Whatever was read, asking for a request does no harm.
		_, _ = log.Of("x")
	})
}

// Guards against a refusal for overload of which the story tells neither whose share was used up nor since when.
func TestTheStoryOfARefusalForOverload(t *testing.T) {
	const lines = `{"event":421,"instance":"r1","msg":"service overloaded","service":"ops","limit":27,"time":"2026-01-02T00:00:01Z"}
{"event":402,"instance":"r1","msg":"request refused","request":"x","service":"ops","organisation":"acme","priority":2,"offered":12.35,"granted":4,"demand":40,"limit":27,"wait_ms":90,"time":"2026-01-02T00:00:02Z"}
`
	var log Log
	require.NoError(t, log.Read(strings.NewReader(lines)))
	story, err := log.Of("x")
	require.NoError(t, err)
	var out strings.Builder
	require.NoError(t, story.Write(&out))
	assert.Equal(t, `request x, 1 lines
  +0.000 s  r1  402 request refused  demand=40  granted=4  limit=27  offered=12.35  organisation=acme  priority=2  service=ops  wait_ms=90
            service ops is overloaded: 40 requests/s asked for, 27 admitted, 90 ms of waiting; organisation acme at priority 2 asked for 12.35 and may have 4

what its routers came to believe, from 5s before
  -1.000 s  r1  421 service overloaded  limit=27  service=ops
`, out.String())
}
