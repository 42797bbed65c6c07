package front

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/origin"
)

// noOrigins knows of no stream where it began.
type noOrigins struct{}

func (noOrigins) SetLifetime(time.Duration, time.Time)      {}
func (noOrigins) Observe(string, []string, bool, time.Time) {}
func (noOrigins) RecordOrigin(string, origin.Key, string)   {}
func (noOrigins) Served(string, time.Time) origin.Served    { return origin.Served{} }
func (noOrigins) Confirmed(string) []string                 { return nil }
func (noOrigins) Find(string, origin.Key, time.Time) origin.Finding {
	return origin.Finding{}
}
func (noOrigins) FindOrigin(context.Context, string, origin.Key) origin.Search {
	return origin.Search{}
}

// Guards against a stream of an unknown version that goes on at the first version to be listed:
// as it is taken up no replica is listed, or none that states a version, and the list is read next.
func TestStreamOfUnknownVersionIsRefusedWithoutAList(t *testing.T) {
	address, arrivals := replica(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "id: 3\ndata: v2\n\n")
	})
	r := newAgedRig(t, testListAge)
	r.setMaxListAge(testMaxListAge)
	r.useOrigins(noOrigins{})
	r.source.mu.Lock()
	r.source.snapshot.Replicas = []directory.Replica{{ID: "r0", Service: "s", Address: address, DataCentre: "here", Version: "v2"}}
	r.source.mu.Unlock()
	response, text, err := r.send(t, "POST", "/resumable/x", "", "Goes-On", "id-0", "Last-Event-Id", "2")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode, text)
	assert.Zero(t, arrivals.Load())
}
