package kvservice

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
	"github.com/croftyard/croftyard/pkg/kv"
)

// Guards against an answer without a list that is taken for an empty one, by which all instances
// are gone, and against records that are written without a lease since an answer names none.
func TestAnswerWithoutItsFieldsIsNoAnswer(t *testing.T) {
	for _, test := range []struct{ path, body string }{
		{"/v1/instances", `null`}, {"/v1/leases", `null`}, {"/v1/leases", `{}`}, {"/v1/leases", `{"lease":0}`},
	} {
		t.Run(test.path+" "+test.body, func(t *testing.T) {
			text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(test.body), test.body)
			server, err := faulty.NewScripted(test.path, faulty.Reply{Text: text, End: faulty.Closed})
			require.NoError(t, err)
			defer server.Close()
			client := NewClient("http://"+server.Address(), time.Minute, 1000)
			if test.path == "/v1/instances" {
				_, _, err = client.Instances(t.Context(), "")
			} else {
				_, err = client.Grant(t.Context(), time.Second)
			}
			assert.ErrorIs(t, err, kv.ErrUnavailable)
		})
	}
}

// Guards against an answer that was cut off, in any place, and is taken for a shorter value, an
// older revision, an absent key or a write that was not made.
func TestAnswerThatIsCutIsNoAnswer(t *testing.T) {
	framings := map[string]func(body string) string{
		"length": func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) },
		"chunks": func(body string) string {
			return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		},
		"unmarked": func(body string) string { return "\r\n" + body },
	}
	calls := map[string]struct {
		path, body string
		call       func(*testing.T, *Client) error
		want       error
		// headTells: the body tells nothing.
		headTells bool
	}{
		"get": {"/v1/kv/k", "12345", func(t *testing.T, c *Client) error {
			_, err := c.Get(t.Context(), "k")
			return err
		}, kv.ErrUnavailable, false},
		"watch": {"/v1/kv/k", "12345", func(t *testing.T, c *Client) error {
			_, err := c.Watch(t.Context(), "k", 1)
			return err
		}, kv.ErrUnavailable, false},
		"swap": {"/v1/kv/k", "ok", func(t *testing.T, c *Client) error {
			_, err := c.Swap(t.Context(), "k", 1, []byte("v"), kv.NoLease)
			return err
		}, kv.ErrUnknown, true},
		"grant": {"/v1/leases", `{"lease":12}`, func(t *testing.T, c *Client) error {
			_, err := c.Grant(t.Context(), time.Second)
			return err
		}, kv.ErrUnavailable, false},
		"keep alive": {"/v1/leases/7", "ok", func(t *testing.T, c *Client) error { return c.KeepAlive(t.Context(), 7) }, kv.ErrUnknown, true},
		"instances": {"/v1/instances", `[{},{}]`, func(t *testing.T, c *Client) error {
			_, _, err := c.Instances(t.Context(), "")
			return err
		}, kv.ErrUnavailable, false},
	}
	for framing, framed := range framings {
		for name, test := range calls {
			text := "HTTP/1.1 200 OK\r\nRevision: 1234\r\n" + framed(test.body)
			for _, end := range []faulty.End{faulty.Closed, faulty.Reset} {
				t.Run(fmt.Sprintf("%s, %s, %s", name, framing, end), func(t *testing.T) {
					t.Parallel()
					for at := range len(text) {
						server, err := faulty.NewScripted(test.path, faulty.Reply{Text: text[:at], End: end})
						require.NoError(t, err)
						client := NewClient("http://"+server.Address(), time.Minute, 1000)
						err = test.call(t, client)
						if test.headTells && framing == "unmarked" && err == nil {
							assert.Contains(t, text[:at], "\r\n\r\n")
						} else {
							assert.ErrorIs(t, err, test.want, "%d bytes of %q", at, text)
						}
						assert.Equal(t, 1, server.Requests())
						server.Close()
					}
				})
			}
		}
	}
}
