// Package kvservice is the client of a platform that speaks croftyard's own form
// over HTTP: the key-value service and the list of instances.
//
//	GET  /v1/kv/KEY                    200 value, Revision header; 404 absent
//	GET  /v1/kv/KEY?after=R&wait=20s   the same, once the revision is not R
//	PUT  /v1/kv/KEY                    If-Revision, Lease headers; 200, 409, 410
//	POST /v1/leases?ttl=30s            200 {"lease": N}
//	POST /v1/leases/N                  keep alive; 200, 410
//	GET  /v1/instances                 the lagging list, JSON; ETag, If-None-Match
//
// Every call has a time-out and draws on the process's rate budget, since the
// service bears only so much in all. What matters most is the kind of error: a
// write that may have taken effect is kv.ErrUnknown, never kv.ErrUnavailable.
package kvservice

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/croftyard/croftyard/pkg/kv"
)

// Headers of the service.
const (
	RevisionHeader   = "Revision"
	IfRevisionHeader = "If-Revision"
	LeaseHeader      = "Lease"
)

// WatchWait is how long one watch call waits at the service.
const WatchWait = 20 * time.Second

// maxAnswer bounds an answer; the list of instances may be larger than a value.
const maxAnswer = 16 << 20

// maxHead bounds the head of an answer, in bytes.
const maxHead = 64 << 10

// Client talks to the platform. It implements kv.Store.
type Client struct {
	base    string
	timeout time.Duration
	budget  *rate.Limiter
	http    *http.Client
	calls   atomic.Uint64
}

// NewClient returns a client. callRate is the calls a second it may make.
func NewClient(base string, timeout time.Duration, callRate float64) *Client {
	const burstSeconds = 4
	const idleConnections = 16
	transport := &http.Transport{
		MaxIdleConnsPerHost:    idleConnections,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: maxHead,
	}
	return &Client{
		base:    base,
		timeout: timeout,
		budget:  rate.NewLimiter(rate.Limit(callRate), max(int(callRate*burstSeconds), burstSeconds)),
		http:    &http.Client{Transport: transport},
	}
}

// Calls returns how many calls were made.
func (c *Client) Calls() uint64 {
	return c.calls.Load()
}

// Get implements kv.Store.
func (c *Client) Get(ctx context.Context, key string) (kv.Entry, error) {
	return c.read(ctx, key, nil, c.timeout)
}

// Watch implements kv.Store.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (kv.Entry, error) {
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {WatchWait.String()}}
	return c.read(ctx, key, query, WatchWait+c.timeout)
}

func (c *Client) read(ctx context.Context, key string, query url.Values, timeout time.Duration) (kv.Entry, error) {
	answer, err := c.do(ctx, call{method: http.MethodGet, path: "/v1/kv/" + key, query: query, timeout: timeout})
	if err != nil {
		// A read changes nothing, so its outcome is never in doubt.
		return kv.Entry{}, fmt.Errorf("%w: get %s: %v", kv.ErrUnavailable, key, err)
	}
	switch {
	case answer.status == http.StatusOK && answer.undelimited:
		return kv.Entry{}, fmt.Errorf("%w: get %s: value with neither a length nor chunks", kv.ErrUnavailable, key)
	case answer.status == http.StatusOK:
		return kv.Entry{Value: answer.body, Revision: answer.revision}, nil
	case answer.status == http.StatusNotFound:
		return kv.Entry{}, nil
	}
	return kv.Entry{}, fmt.Errorf("%w: get %s: status %d", kv.ErrUnavailable, key, answer.status)
}

// Swap implements kv.Store.
func (c *Client) Swap(ctx context.Context, key string, revision uint64, value []byte, lease kv.LeaseID) (uint64, error) {
	if len(value) > kv.MaxValue {
		return 0, fmt.Errorf("%w: %s: %d bytes", kv.ErrTooLarge, key, len(value))
	}
	header := http.Header{}
	header.Set(IfRevisionHeader, strconv.FormatUint(revision, 10))
	if lease != kv.NoLease {
		header.Set(LeaseHeader, strconv.FormatUint(uint64(lease), 10))
	}
	answer, err := c.do(ctx, call{method: http.MethodPut, path: "/v1/kv/" + key, header: header, body: value, timeout: c.timeout})
	if err != nil {
		return 0, writeError("put "+key, err)
	}
	switch answer.status {
	case http.StatusOK:
		return answer.revision, nil
	case http.StatusConflict:
		return 0, fmt.Errorf("%w: %s", kv.ErrConflict, key)
	case http.StatusGone:
		return 0, fmt.Errorf("%w: %d", kv.ErrLease, lease)
	case http.StatusTooManyRequests:
		return 0, fmt.Errorf("%w: put %s: throttled", kv.ErrUnavailable, key)
	}
	return 0, fmt.Errorf("%w: put %s: status %d", kv.ErrUnknown, key, answer.status)
}

// Grant implements kv.Store. A lost answer leaves a lease that nobody uses.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	query := url.Values{"ttl": {ttl.String()}}
	answer, err := c.do(ctx, call{method: http.MethodPost, path: "/v1/leases", query: query, timeout: c.timeout})
	if err != nil || answer.status != http.StatusOK {
		return kv.NoLease, fmt.Errorf("%w: grant: status %d: %v", kv.ErrUnavailable, answer.status, err)
	}
	var granted Granted
	if err := json.Unmarshal(answer.body, &granted); err != nil {
		return kv.NoLease, fmt.Errorf("%w: grant: %v", kv.ErrUnavailable, err)
	}
	if granted.Lease == kv.NoLease {
		return kv.NoLease, fmt.Errorf("%w: grant: no lease", kv.ErrUnavailable)
	}
	return granted.Lease, nil
}

// Granted is the service's answer to a new lease.
type Granted struct {
	Lease kv.LeaseID `json:"lease"`
}

// KeepAlive implements kv.Store.
func (c *Client) KeepAlive(ctx context.Context, lease kv.LeaseID) error {
	path := "/v1/leases/" + strconv.FormatUint(uint64(lease), 10)
	answer, err := c.do(ctx, call{method: http.MethodPost, path: path, timeout: c.timeout})
	if err != nil {
		return writeError("keep alive", err)
	}
	switch answer.status {
	case http.StatusOK:
		return nil
	case http.StatusGone:
		return kv.ErrLease
	}
	return fmt.Errorf("%w: keep alive: status %d", kv.ErrUnknown, answer.status)
}

// call is one HTTP call to the service.
type call struct {
	method  string
	path    string
	query   url.Values
	header  http.Header
	body    []byte
	timeout time.Duration
}

// answer is what came back of it.
type answer struct {
	status   int
	revision uint64
	tag      string
	body     []byte
	// undelimited: the body has neither a length nor chunks, so its end does not prove it
	// complete.
	undelimited bool
}

// errNotSent marks a failure before the first byte of a request was written.
var errNotSent = errors.New("kvservice: not sent")

func writeError(what string, err error) error {
	if errors.Is(err, errNotSent) {
		return fmt.Errorf("%w: %s: %v", kv.ErrUnavailable, what, err)
	}
	return fmt.Errorf("%w: %s: %v", kv.ErrUnknown, what, err)
}

// do makes the call. A write never goes out twice: its body cannot be rewound,
// so the HTTP library does not repeat it by itself.
func (c *Client) do(ctx context.Context, what call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, what.timeout)
	defer cancel()
	if err := c.budget.Wait(ctx); err != nil {
		return answer{}, fmt.Errorf("%w: rate budget: %v", errNotSent, err)
	}
	c.calls.Add(1)
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)

	target := c.base + what.path
	if len(what.query) > 0 {
		target += "?" + what.query.Encode()
	}
	var body io.Reader
	if what.body != nil {
		body = io.MultiReader(bytes.NewReader(what.body))
	}
	req, err := http.NewRequestWithContext(ctx, what.method, target, body)
	if err != nil {
		return answer{}, fmt.Errorf("%w: %v", errNotSent, err)
	}
	if what.body != nil {
		req.ContentLength = int64(len(what.body))
	}
	for key, values := range what.header {
		req.Header[key] = values
	}
	return c.roundTrip(req, &sent)
}

func (c *Client) roundTrip(req *http.Request, sent *atomic.Bool) (answer, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		if !sent.Load() {
			return answer{}, fmt.Errorf("%w: %v", errNotSent, err)
		}
		return answer{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return answer{}, err
	}
	revision, err := strconv.ParseUint(resp.Header.Get(RevisionHeader), 10, 64)
	if err != nil {
		revision = 0
	}
	// A compressed body marks its own end.
	undelimited := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed
	return answer{status: resp.StatusCode, revision: revision, tag: resp.Header.Get("ETag"), body: body, undelimited: undelimited}, nil
}
