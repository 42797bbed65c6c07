// Package jsonclient calls a service that speaks JSON over HTTP/1.1 on connections that it
// keeps. A kept connection may have gone silent without any sign, so a call on one is made
// again on a new connection while there is time left.
package jsonclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"
)

// The largest head and body of an answer, in bytes. A page of the platform's store is a few
// megabytes at most.
const (
	maxHead   = 64 << 10
	maxAnswer = 16 << 20
	// maxOnce is the largest body that GetOnce reads: what an engine holds is some ten thousand short
	// rows at most, and many engines may be asked at the same time.
	maxOnce = 1 << 20
)

// ErrTooLarge: an answer has no end, or a far one.
var ErrTooLarge = errors.New("jsonclient: answer too large")

// Client calls one service. It is safe for concurrent use.
type Client struct {
	base   string
	client *http.Client
	// callTime bounds each call.
	callTime time.Duration
}

// New returns a client of the service at a URL, http://host:port, that gives each call a
// time.
func New(base string, dialTimeout, callTime time.Duration) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, DisableCompression: true, MaxResponseHeaderBytes: maxHead}
	return &Client{base: base, callTime: callTime, client: &http.Client{Transport: transport}}
}

// StatusError is an answer with another status than 200.
type StatusError struct {
	Path string
	Code int
}

func (e *StatusError) Error() string { return fmt.Sprintf("%s: status %d", e.Path, e.Code) }

// HasStatus reports whether an error is an answer with a status.
func HasStatus(err error, code int) bool {
	var status *StatusError
	return errors.As(err, &status) && status.Code == code
}

// errSilent is the cause with which a call is ended on a kept connection that says nothing.
var errSilent = errors.New("jsonclient: kept connection silent")

const (
	// keptPart of a call's time is for a kept connection to begin its answer. What is
	// left is for a new one, so that a connection that went silent costs no call.
	keptPart = 0.4
	// keptLeast is the least of it, for a service that is slow.
	keptLeast = 300 * time.Millisecond
)

// keptTime is how long a kept connection may be silent in a call that has some time
// left, or 0 for a call without a bound.
func keptTime(left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	return max(time.Duration(keptPart*float64(left)), keptLeast)
}

// Get makes a reading call and returns the header of its answer.
func (c *Client) Get(ctx context.Context, path string, query url.Values, into any) (http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTime)
	defer cancel()
	deadline, _ := ctx.Deadline()
	kept := keptTime(time.Until(deadline))
	header, err := c.get(ctx, kept, path, query, into)
	if !errors.Is(err, errSilent) || ctx.Err() != nil {
		return header, err
	}
	c.client.CloseIdleConnections()
	return c.get(ctx, 0, path, query, into)
}

// get makes one call on one connection, and ends it with errSilent if a kept one does not
// begin its answer in a time. Once an answer is lost on a connection, that connection may
// say nothing more, so a call that fails closes its connection.
func (c *Client) get(ctx context.Context, kept time.Duration, path string, query url.Values, into any) (http.Header, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	request, err := http.NewRequest(http.MethodGet, c.base+path+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	response, err := c.send(ctx, cancel, kept, request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{path, response.StatusCode}
	}
	body, err := readAnswer(response.Body, maxAnswer)
	if err != nil {
		return nil, causeOf(ctx, err)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return response.Header, nil
}

// send sends a call and waits for the head of its answer.
func (c *Client) send(ctx context.Context, cancel context.CancelCauseFunc, kept time.Duration, request *http.Request) (*http.Response, error) {
	silence := time.AfterFunc(math.MaxInt64, func() { cancel(errSilent) })
	defer silence.Stop()
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(conn httptrace.GotConnInfo) {
		if conn.Reused && kept > 0 {
			silence.Reset(kept)
		}
	}})
	response, err := c.client.Do(request.WithContext(traced))
	if err != nil {
		return nil, causeOf(ctx, err)
	}
	return response, nil
}

// causeOf is the cause with which a call was ended, else its error.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// Post makes a writing call, once. After an error without a status it may have taken effect.
func (c *Client) Post(ctx context.Context, path string, value, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.callTime)
	defer cancel()
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return &StatusError{path, response.StatusCode}
	}
	text, err := readAnswer(response.Body, maxAnswer)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, into)
}

// onceTransport opens a connection for each call.
var onceTransport = &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHead}

// GetOnce makes a reading call on a connection of its own. answered is called with the head of
// its answer, whatever the status. A body of more than a megabyte is ErrTooLarge.
func GetOnce(ctx context.Context, url string, answered func(*http.Response), into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := onceTransport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answered(response)
	if response.StatusCode != http.StatusOK {
		return &StatusError{request.URL.Path, response.StatusCode}
	}
	text, err := readAnswer(response.Body, maxOnce)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, into)
}

// readAnswer reads the body of an answer, which must end within a number of bytes.
func readAnswer(body io.Reader, most int64) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(body, most+1))
	if err != nil {
		return nil, err
	}
	if int64(len(text)) > most {
		return nil, ErrTooLarge
	}
	return text, nil
}
