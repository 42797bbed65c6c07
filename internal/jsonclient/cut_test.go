package jsonclient

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
)

// Guards against an answer that was cut off, in any place, and is taken for one that says less: an
// empty list, a last page, a smaller revision.
func TestAnswerThatIsCutIsNoAnswer(t *testing.T) {
	const path = "/cut-answer"
	bodies := map[string]string{
		"page":       `{"items":[{"key":"a","value":"eyI="}],"more":true,"at":1234}`,
		"empty page": "{\"items\":[],\"more\":false,\"at\":12}",
		"spaced":     " { \"held\" : [ ] } ",
	}
	framings := map[string]func(body string) string{
		"length":       func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) },
		"short length": func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body)/10, body) },
		"chunks": func(body string) string {
			return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", len(body)/2, body[:len(body)/2], len(body)-len(body)/2, body[len(body)/2:])
		},
		"unmarked": func(body string) string { return "\r\n" + body },
	}
	type answer struct {
		Items []any
		Held  []any
		More  bool
		At    int
	}
	for name, body := range bodies {
		for framing, framed := range framings {
			text := "HTTP/1.1 200 OK\r\nEra: 12\r\n" + framed(body)
			for _, end := range []faulty.End{faulty.Closed, faulty.Reset} {
				t.Run(fmt.Sprintf("%s, %s, %s", name, framing, end), func(t *testing.T) {
					t.Parallel()
					for at := range len(text) {
						server, err := faulty.NewScripted(path, faulty.Reply{Text: text[:at], End: end})
						require.NoError(t, err)
						base := "http://" + server.Address()
						client := New(base, time.Minute, time.Minute)
						calls := map[string]func(into any) error{
							"get":  func(into any) error { _, err := client.Get(t.Context(), path, nil, into); return err },
							"post": func(into any) error { return client.Post(t.Context(), path, 1, into) },
							"once": func(into any) error { return GetOnce(t.Context(), base+path, func(*http.Response) {}, into) },
						}
						for call, made := range calls {
							var into answer
							err := made(&into)
							// White space may be missing behind the value.
							if err != nil || name == "spaced" && framing == "unmarked" && at == len(text)-1 {
								continue
							}
							assert.Fail(t, "taken for whole", "%s: %d bytes of %q: %+v", call, at, text, into)
						}
						assert.LessOrEqual(t, server.Requests(), len(calls), "no call is sent twice")
						server.Close()
					}
				})
			}
		}
	}
}
