package engineapi

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
)

// Guards against an answer without the load that is taken for no load, by which the engine gets all
// requests.
func TestReportWithoutLoadIsNoReport(t *testing.T) {
	for _, body := range []string{`null`, `{}`, `{"running":null}`, `{"running":-1}`, `{"queued":3}`} {
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		server, err := faulty.NewScripted("/v1/load", faulty.Reply{Text: text, End: faulty.Closed})
		require.NoError(t, err)
		_, err = Load(t.Context(), &http.Client{Transport: &http.Transport{}}, server.Address())
		assert.Error(t, err, body)
		server.Close()
	}
}

// Guards against a report that was cut off, in any place, and lowers an engine's load.
func TestLoadReportThatIsCutIsNoReport(t *testing.T) {
	const report = `{"running":123}`
	for framing, text := range map[string]string{
		"length":   fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(report), report),
		"chunks":   fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s", len(report), report),
		"unmarked": "\r\n" + report,
	} {
		for _, end := range []faulty.End{faulty.Closed, faulty.Reset} {
			t.Run(fmt.Sprintf("%s, %s", framing, end), func(t *testing.T) {
				text := "HTTP/1.1 200 OK\r\n" + text
				for at := range len(text) {
					server, err := faulty.NewScripted("/v1/load", faulty.Reply{Text: text[:at], End: end})
					require.NoError(t, err)
					_, err = Load(t.Context(), &http.Client{Transport: &http.Transport{}}, server.Address())
					assert.Error(t, err, "%d bytes of %q", at, text)
					server.Close()
				}
			})
		}
	}
}
