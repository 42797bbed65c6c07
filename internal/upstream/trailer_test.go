package upstream

import (
	"fmt"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
)

// Guards against a surplus answer whose head was cut off within its list of trailers and that gives its
// status to the answer behind it.
func TestHeadCutWithinItsTrailersIsNotJoinedWithTheNext(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\nTry: 0\r\nContent-Length: 1\r\n\r\nx"
	const second = "HTTP/1.1 500 Internal Server Error\r\nTry: 1\r\nTransfer-Encoding: chunked\r\n\r\na\r\nthe answer\r\n0\r\n\r\n"
	const surplus = "HTTP/1.1 200 OK\r\nSign: other\r\nTrailer: Digest\r\n"
	for at := len(surplus) - len("Digest\r\n"); at < len(surplus)-1; at++ {
		server, err := faulty.NewScripted(cutPath, faulty.Reply{Text: first}, faulty.Reply{Text: surplus[:at] + second, End: faulty.Closed})
		require.NoError(t, err)
		pool := cutPool()
		askKept(t, pool, server.Address())
		answer, err := askFor(t.Context(), t, pool, server.Address(), "", "1")
		server.Close()
		if err != nil {
			continue
		}
		text, err := io.ReadAll(answer)
		answer.Close()
		what := fmt.Sprintf("behind %q: %d %v %q %v", surplus[:at], answer.StatusCode, answer.Header, text, err)
		assert.Equal(t, 500, answer.StatusCode, what)
	}
}
