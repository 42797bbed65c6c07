package front

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
)

// cutter is a replica that cuts most of its answers, keeps connections where it can, and may send a
// surplus head that it cuts as well.
type cutter struct {
	mu  sync.Mutex
	rnd *rand.Rand
	// runs counts the requests by id, statuses holds what they were answered.
	runs     map[string]int
	statuses map[string][]int
	// longest is the longest pause within an answer.
	longest time.Duration
}

const (
	cutSeed = 89
	cutBody = "0123456789 body of "
)

func (c *cutter) listen(t *testing.T) string {
	t.Helper()
	listener, err := faulty.Listen()
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go c.serve(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

func (c *cutter) serve(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		pieces, pause, keep := c.answer(request.Header.Get("Try"), strings.HasPrefix(request.URL.Path, "/stream/"))
		for _, piece := range pieces {
			_, _ = io.WriteString(conn, piece)
			time.Sleep(pause)
		}
		if keep {
			continue
		}
		if len(pieces[0])%2 == 0 {
			_ = conn.SetLinger(0)
		}
		return
	}
}

// answer returns what is sent for a request.
func (c *cutter) answer(id string, stream bool) (pieces []string, pause time.Duration, keep bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	status, body := http.StatusOK, cutBody+id
	if c.rnd.IntN(4) == 0 {
		status = http.StatusInternalServerError
	}
	c.runs[id]++
	c.statuses[id] = append(c.statuses[id], status)
	head := fmt.Sprintf("HTTP/1.1 %d A Reason\r\nTry: %s\r\nSign: %s %d\r\n", status, id, id, status)
	if stream {
		head += "Content-Type: text/event-stream\r\n"
		body = "data: " + body + "\n\n"
	}
	framed := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	if c.rnd.IntN(2) == 0 {
		framed = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	text := head + framed
	if c.rnd.IntN(4) == 0 {
		surplus := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nServer: other\r\nTry: other\r\n\r\n"
		text = surplus[:1+c.rnd.IntN(len(surplus))] + text
	}
	if c.longest > 0 {
		pause = time.Duration(c.rnd.Int64N(int64(c.longest)))
	}
	if keep = c.rnd.IntN(3) == 0; !keep {
		text = text[:c.rnd.IntN(len(text))]
	}
	at := len(text) / 2
	return []string{text[:at], text[at:]}, pause, keep
}

// check fails if an answer is not one of the replica's, or promises what is not so.
func (c *cutter) check(t *testing.T, once bool, id string, response *http.Response, body string, err error) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	what := fmt.Sprintf("%s: ran %d, replica's %v: %v %q %v", id, c.runs[id], c.statuses[id], response, body, err)
	if once {
		assert.LessOrEqual(t, c.runs[id], 1, what)
	}
	if response == nil {
		return
	}
	if once && impliesNotRun(response.StatusCode) {
		assert.Zero(t, c.runs[id], what)
	}
	if response.StatusCode != http.StatusOK && response.Header.Get("Sign") == "" {
		return
	}
	assert.Contains(t, c.statuses[id], response.StatusCode, what)
	assert.Equal(t, fmt.Sprintf("%s %d", id, response.StatusCode), response.Header.Get("Sign"), what)
	if err == nil {
		assert.True(t, strings.HasSuffix(strings.TrimSpace(body), cutBody+id), what)
	}
}

// Guards against answers that are cut, joined or delayed among many, while replicas are suspected,
// probed and asked again.
func TestManyCutAnswers(t *testing.T) {
	for name, longest := range map[string]time.Duration{"at once": 0, "in pieces": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			const callers, requests = 8, 60
			c := &cutter{rnd: rand.New(rand.NewPCG(cutSeed, 1)), runs: make(map[string]int), statuses: make(map[string][]int), longest: longest}
			direct := newRig(t, c.listen(t), c.listen(t), c.listen(t))
			relayed := relayedBy(t, direct)
			var all sync.WaitGroup
			var mu sync.Mutex
			outcomes := make(map[string]int)
			for caller := range callers {
				all.Go(func() {
					for i := range requests {
						path := []string{"/once/x", "/repeat/x", "/stream/x"}[i%3]
						r := direct
						if caller%2 == 1 {
							r = relayed
						}
						id := fmt.Sprintf("id-%d-%d", caller, i)
						response, body, err := r.callAs(t, id, []string{"1.1", "1.0"}[caller/2%2], path)
						c.check(t, path != "/repeat/x", id, response, body, err)
						mu.Lock()
						switch {
						case response == nil:
							outcomes["closed"]++
						case err != nil:
							outcomes["broken off"]++
						default:
							outcomes[response.Status]++
						}
						mu.Unlock()
					}
				})
			}
			all.Wait()
			t.Log(outcomes)
			assert.Positive(t, outcomes["200 A Reason"]+outcomes["200 OK"])
		})
	}
}
