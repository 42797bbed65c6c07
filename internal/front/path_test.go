package front

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
	"github.com/croftyard/croftyard/internal/front/relayheader"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
)

// endedReplica returns an address at which a replica refuses connections.
func endedReplica(t *testing.T) string {
	t.Helper()
	l, err := faulty.Listen()
	require.NoError(t, err)
	l.Close()
	return l.Addr().String()
}

// Guards against crashes that are taken for a lost path because other replicas, or all of the
// service, crashed too.
func TestCrashIsComparedWithOtherReplicas(t *testing.T) {
	tests := map[string]struct {
		// Replicas of the same and of another service that accept connections, and that refuse
		// them.
		sameLive, sameEnded, otherLive int
		reached                        bool
	}{
		"only replica":                            {reached: true},
		"most others ended":                       {sameLive: 1, sameEnded: 11, reached: true},
		"all others ended":                        {sameEnded: 3},
		"all others ended, other service reached": {sameEnded: 3, otherLive: 1, reached: true},
		"only one of its service":                 {otherLive: 1, reached: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			live, _ := replica(t, func(http.ResponseWriter, *http.Request) {})
			r := newRig(t, endedReplica(t))
			add := func(service, address string, count int) {
				for n := range count {
					id := fmt.Sprint(service, address, n)
					r.addReplicas(t, directory.Replica{ID: id, Service: service, Address: address, DataCentre: "here"})
				}
			}
			add("s", endedReplica(t), test.sameEnded)
			add("s", live, test.sameLive)
			add("other", live, test.otherLive)
			assert.Equal(t, test.reached, r.front.reachesOthers("r0", time.Now()))
		})
	}
}

// A router that is asked by another one gave a request back after two replicas that had ended,
// while a third one served the router's own callers.
func TestRelayedRequestReachesReplicaBesideEndedOnes(t *testing.T) {
	for n := range 3 {
		replicas := []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}
		replicas[n], _ = rawReplica(t, completeAnswer("id-1", "whole"))
		r := newRig(t, replicas...)
		response := r.sendRelayed(t, "/once/x", nil)
		text, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		response.Body.Close()
		assert.Equal(t, "whole", string(text))
	}
}

// sendRelayed sends a request as another router hands it to this one, with further headers.
func (r *rig) sendRelayed(t *testing.T, path string, header map[string]string) *http.Response {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(r.front.ServeRelayed))
	t.Cleanup(server.Close)
	request, err := http.NewRequest(http.MethodPost, server.URL+path, nil)
	require.NoError(t, err)
	request.Host = "h"
	request.Header.Set("Try", "id-1")
	request.Header.Set("Authorization", "Key k1")
	request.Header.Set(relayheader.Service, "s")
	request.Header.Set(relayheader.Organisation, "acme")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	return response
}

// Guards against a request that may run once and fails, although a further router could serve it,
// since a router that has lost its path too sent it on a connection that is reset.
func TestRelayedRequestIsNotLostOnBrokenPath(t *testing.T) {
	tests := map[string]struct {
		path, result string
		arrivals     int
	}{
		"runs once":       {"/once/x", relayheader.Unable, 0},
		"may be repeated": {"/repeat/x", relayheader.Failed, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			resetting, arrived := replica(t, func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if assert.NoError(t, err) {
					c.Close()
				}
			})
			r := newRig(t, "127.0.0.1:1", "127.0.0.1:2", resetting)
			for n := range 3 {
				r.front.balancer.RequestFailed(fmt.Sprint("r", n), balance.Refused, "here", time.Now())
			}
			response := r.sendRelayed(t, test.path, map[string]string{relayheader.Attempts: "1"})
			defer response.Body.Close()
			assert.Equal(t, test.result, response.Header.Get(relayheader.Result))
			assert.EqualValues(t, test.arrivals, arrived.Load())
		})
	}
}
