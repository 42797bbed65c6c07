package relayheader

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/pkg/directory"
)

// A replica that one router must leave alone must not get its request from another one.
func TestExclusionsAreTheSameAtTheOtherRouter(t *testing.T) {
	now := time.Now()
	header := http.Header{}
	SetExclusions(header, []directory.Exclusion{
		{ID: "rests", Reason: directory.RestRequested, Until: now.Add(1500 * time.Millisecond)},
		{ID: "leaves", Reason: directory.ShutdownAnnounced, Since: now.Add(-time.Minute)},
		{ID: "last", Reason: directory.RestRequested, Until: now.Add(time.Second), LastResort: true},
	}, now)

	arrival := now.Add(time.Second)
	assert.ElementsMatch(t, []directory.Exclusion{
		{ID: "rests", Reason: directory.RestRequested, Since: arrival, Until: arrival.Add(1500 * time.Millisecond)},
		{ID: "leaves", Reason: directory.ShutdownAnnounced, Since: arrival},
	}, ParseExclusions(header, arrival))
}

func TestExclusionsOfOtherReasonsAreNotSent(t *testing.T) {
	header := http.Header{}
	SetExclusions(header, []directory.Exclusion{{ID: "r", Reason: "another"}}, time.Now())
	assert.Empty(t, header)
	assert.Empty(t, ParseExclusions(header, time.Now()))
	header.Set(Excluded, "%zz")
	assert.Empty(t, ParseExclusions(header, time.Now()))
}

func TestExclusionsAreBounded(t *testing.T) {
	var excluded []directory.Exclusion
	for i := range 2 * maxExclusions {
		excluded = append(excluded, directory.Exclusion{ID: fmt.Sprint("r", i), Reason: directory.ShutdownAnnounced})
	}
	header := http.Header{}
	SetExclusions(header, excluded, time.Now())
	assert.Len(t, ParseExclusions(header, time.Now()), maxExclusions)
}

// A header that is not removed would be taken for one of the replica, or of the caller.
func TestDeleteLeavesOtherHeaders(t *testing.T) {
	header := http.Header{"Date": {"x"}}
	for _, name := range names {
		header.Set(name, "x")
	}
	Delete(header)
	assert.Equal(t, http.Header{"Date": {"x"}}, header)
}
