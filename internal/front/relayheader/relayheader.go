// Package relayheader holds the headers of requests that one router hands to another, and of the answers.
package relayheader

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/croftyard/croftyard/pkg/directory"
)

// Names of the headers.
const (
	// Attempts is how many replicas the request may still be sent to.
	Attempts = "Relay-Attempts"
	// Share selects among the shares of its route.
	Share = "Relay-Share"
	// Service and Organisation are what the first router takes the request for: the other one serves it
	// only if its configuration, which may be older or newer, says the same.
	Service      = "Relay-Service"
	Organisation = "Relay-Organisation"
	// Lender names the first router if it reaches no replica, and Lent is the part of its share of them
	// that it leaves to the other one.
	Lender = "Relay-Lender"
	Lent   = "Relay-Lent"
	// Excluded lists the replicas that a router excludes because of their own statements, in a request
	// and in a refusal.
	Excluded = "Relay-Excluded"
	// Origin is the software version at which the stream began, behind a "=", or empty if it is to begin;
	// the other router then says in Version which version answers.
	Origin  = "Relay-Origin"
	Version = "Relay-Version"
	// Result stands in an answer that a router generated itself.
	Result = "Relay-Result"
	// Sent is how many replicas the request was sent to, and Replica the one that answered, in an answer.
	Sent    = "Relay-Sent"
	Replica = "Relay-Replica"
)

// names are all of them.
var names = []string{
	Attempts, Share, Service, Organisation, Lender, Lent, Excluded, Origin, Version, Result, Sent, Replica,
}

// Delete removes the headers of routers from h.
func Delete(h http.Header) {
	for _, name := range names {
		h.Del(name)
	}
}

// Values of Result.
const (
	// Unable: not run; another router may serve it.
	Unable = "unable"
	// Differs: not run; by the other router's configuration it is another request, or none.
	Differs = "differs"
	// Full: not run for want of room; another router may have some.
	Full = "full"
	// Refused: not run; other routers would refuse it too.
	Refused = "refused"
	// Failed: it may have run.
	Failed = "failed"
)

// maxExclusions bounds the replicas named to another router.
const maxExclusions = 32

// SetExclusions lists in a header the replicas that are excluded because of their own statements, each with
// the milliseconds left of a requested rest, or an empty value if it shuts down. The other router has its
// own requests to send, and this one may have more of them.
func SetExclusions(header http.Header, excluded []directory.Exclusion, now time.Time) {
	told := make(url.Values)
	for _, x := range excluded {
		switch {
		case x.LastResort || len(told) == maxExclusions:
		case x.Reason == directory.RestRequested:
			told.Set(x.ID, strconv.FormatInt(x.Until.Sub(now).Milliseconds(), 10))
		case x.Reason == directory.ShutdownAnnounced:
			told.Set(x.ID, "")
		}
	}
	if len(told) > 0 {
		header.Set(Excluded, told.Encode())
	}
}

// ParseExclusions parses what SetExclusions set, at the time of its arrival. What it can't
// parse excludes nothing.
func ParseExclusions(header http.Header, now time.Time) []directory.Exclusion {
	told, err := url.ParseQuery(header.Get(Excluded))
	if err != nil {
		return nil
	}
	var excluded []directory.Exclusion
	for id := range told {
		x := directory.Exclusion{ID: id, Reason: directory.ShutdownAnnounced, Since: now}
		if left, err := strconv.Atoi(told.Get(id)); err == nil {
			x.Reason, x.Until = directory.RestRequested, now.Add(time.Duration(left)*time.Millisecond)
		}
		excluded = append(excluded, x)
	}
	return excluded
}
