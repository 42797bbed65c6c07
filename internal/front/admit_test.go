package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/front/metrics"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/freshness"
	"github.com/croftyard/croftyard/pkg/route"
)

func TestUnknownRouteOrKeyDeniedOnlyWhenFresh(t *testing.T) {
	cases := []struct {
		name, path, key string
		stale           bool
		status          int
	}{
		{"no route", "/none/", "Key k1", false, http.StatusNotFound},
		{"no key", "/once/", "", false, http.StatusUnauthorized},
		{"unknown key", "/once/", "Key k2", false, http.StatusUnauthorized},
		{"no route, old proof", "/none/", "Key k1", true, http.StatusServiceUnavailable},
		{"unknown key, old proof", "/once/", "Key k2", true, http.StatusServiceUnavailable},
		{"known key, old proof", "/once/", "Key k1", true, http.StatusServiceUnavailable},
		{"public, old proof", "/open/", "", true, http.StatusOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address, arrivals := replica(t, func(http.ResponseWriter, *http.Request) {})
			r := newRig(t, address)
			if c.stale {
				r.source.mu.Lock()
				r.source.err = errors.New("down")
				r.source.mu.Unlock()
				r.front.SetLimits(Limits{MaxKeyProofAge: time.Nanosecond, MaxAbsenceProofAge: time.Nanosecond})
			}
			response, _, err := r.send(t, "GET", c.path, "", "Authorization", c.key)
			require.NoError(t, err)
			assert.Equal(t, c.status, response.StatusCode)
			if c.status == http.StatusServiceUnavailable {
				assert.NotEmpty(t, response.Header.Get("Retry-After"))
			}
			if c.status != http.StatusOK {
				assert.Zero(t, arrivals.Load())
			}
		})
	}
}

func TestStaleProofRefreshedBeforeDenial(t *testing.T) {
	address, _ := replica(t, func(http.ResponseWriter, *http.Request) {})
	r := newRig(t, address)
	r.front.SetLimits(Limits{MaxKeyProofAge: time.Nanosecond, MaxAbsenceProofAge: time.Minute})
	response, _, err := r.send(t, "GET", "/once/", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
}

func TestOversizedBodyNotSent(t *testing.T) {
	address, arrivals := replica(t, func(http.ResponseWriter, *http.Request) {})
	r := newRig(t, address)
	response, _, err := r.send(t, "POST", "/once/", strings.Repeat("x", 1<<20+1))
	require.NoError(t, err)
	assert.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
	assert.Zero(t, arrivals.Load())
}

func TestKeyRevokedDuringBodyRefused(t *testing.T) {
	address, arrivals := replica(t, func(http.ResponseWriter, *http.Request) {})
	r := newRig(t, address)
	reader, writer := io.Pipe()
	go func() {
		_, _ = io.WriteString(writer, "first half ")
		newer := testConfig()
		newer.Version, newer.Organisations = 2, []route.Organisation{{Name: "acme", Keys: []string{"k9"}}}
		for i := range newer.Routes {
			newer.Routes[i].Shares = []route.Share{{Service: "s", Weight: 1}}
		}
		table, _ := route.Compile(newer)
		r.holder.Update(table, time.Now())
		writer.Close()
	}()
	request, err := http.NewRequest("POST", r.server.URL+"/once/", reader)
	require.NoError(t, err)
	request.Host = "h"
	request.Header.Set("Authorization", "Key k1")
	response, err := http.DefaultTransport.RoundTrip(request)
	require.NoError(t, err)
	response.Body.Close()
	assert.Equal(t, http.StatusUnauthorized, response.StatusCode)
	assert.Zero(t, arrivals.Load())
}

// Guards against a refusal that waits for a read of the configuration, 0.4 s, although the
// source is known to be failing.
func TestNoWaitForProofWhileSourceFails(t *testing.T) {
	r := newRig(t)
	r.source.mu.Lock()
	r.source.err = errors.New("down")
	r.source.mu.Unlock()
	r.front.SetLimits(Limits{MaxKeyProofAge: time.Nanosecond, MaxAbsenceProofAge: time.Nanosecond})
	for !r.watcher.SourceFailing() {
		_, _, err := r.send(t, "GET", "/none/", "")
		require.NoError(t, err)
	}
	before, _ := r.watcher.Reads()
	response, _, err := r.send(t, "GET", "/none/", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	after, _ := r.watcher.Reads()
	assert.Equal(t, before, after)
}

func TestOversizedHeaderNotSent(t *testing.T) {
	address, arrivals := replica(t, func(http.ResponseWriter, *http.Request) {})
	r := newRig(t, address)
	response, _, err := r.send(t, "POST", "/once/", "", "X-Long", strings.Repeat("x", 20000))
	require.NoError(t, err)
	assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
	response, _, err = r.send(t, "POST", "/once/", "", "X-Long", strings.Repeat("x", 10000))
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.EqualValues(t, 1, arrivals.Load())
}

// Guards against a Retry-After that ends before the first configuration is there: after a
// start of all routers, callers that retried once after 50 ms were refused for good.
func TestRequestBeforeFirstConfiguration(t *testing.T) {
	address, _ := replica(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	r := newRig(t, address)
	start := func() *Front {
		holder := freshness.NewHolder()
		f := watch.New(r.source, watch.Options{Period: time.Hour, Timeout: time.Second, FirstRead: time.Hour},
			directory.New(time.Hour, time.Hour), holder, balance.New(1), r.log)
		return New(r.front.options, f, holder, r.front.balancer, r.front.pool, metrics.New(), r.log)
	}
	send := func(f *Front) *httptest.ResponseRecorder {
		answer := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, "http://h/single/x", nil)
		request.Header.Set("Authorization", "Key k1")
		f.ServeHTTP(answer, request)
		return answer
	}

	none := start()
	answer := send(none)
	assert.Equal(t, http.StatusServiceUnavailable, answer.Code)
	assert.NotEmpty(t, answer.Header().Get("Retry-After"))
	assert.Equal(t, 450*time.Millisecond, none.refuseUnconfigured(none.started.Add(200*time.Millisecond)).retryAfter)
	assert.Equal(t, retryElsewhere, none.refuseUnconfigured(none.started.Add(time.Minute)).retryAfter)

	soon := start()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go soon.watcher.Run(ctx)
	// The watcher's own first read is an hour away, so only a request triggers one. A busy
	// machine may need more than one wait.
	served := false
	for range 100 {
		served = served || send(soon).Code != http.StatusServiceUnavailable
	}
	assert.True(t, served)
}

// Guards against requests that are served with a removed key, and forwarded with it, once no
// organisation is left.
func TestKeysAreRefusedWithoutOrganisations(t *testing.T) {
	for name, test := range map[string]struct {
		keys   route.KeyRule
		path   string
		status int
		key    string
	}{
		"none left":               {route.KeysRequired, "/once/", http.StatusUnauthorized, ""},
		"none left, public route": {route.KeysRequired, "/open/", http.StatusOK, ""},
		"never any":               {route.KeysNotRequired, "/once/", http.StatusOK, "Key k1"},
	} {
		t.Run(name, func(t *testing.T) {
			var forwarded string
			address, arrivals := replica(t, func(_ http.ResponseWriter, r *http.Request) { forwarded = r.Header.Get("Authorization") })
			r := newAgedRig(t, 0, address)
			snapshot := changedSnapshot(r, func(c *route.Config) { c.Organisations, c.Keys = nil, test.keys })
			require.NoError(t, r.watcher.ApplySnapshot(snapshot, time.Now()))
			response, _, err := r.send(t, "POST", test.path, "")
			require.NoError(t, err)
			assert.Equal(t, test.status, response.StatusCode)
			assert.Equal(t, test.status == http.StatusOK, arrivals.Load() == 1)
			assert.Equal(t, test.key, forwarded)
		})
	}
}
