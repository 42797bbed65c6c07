package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against requests in a rest that the replica's present process asked for, before a list that was late
// showed that it had started again.
func TestRestOfALaterStartOutlivesItsListing(t *testing.T) {
	e := newEvents()
	e.ready(1).after(2 * time.Second).askForRest(4 * time.Second).after(time.Second).ready(2)
	x, excluded := e.exclusion(false)
	assert.True(t, excluded, "asked 2 s after the last list that showed the start before")
	assert.Equal(t, RestRequested, x.Reason)
}

// Guards against a statement of the later of two processes that is discarded when a list shows its
// start, and against one of the earlier process that binds the later one.
func TestStatementsAroundALaterStart(t *testing.T) {
	// read lists a later start by a read sent some time ago.
	read := func(e *events, ago time.Duration) { e.list(ago, e.entry(Ready, 2)) }
	tests := map[string]struct {
		happens func(e *events)
		want    Reason
		// until is when a rest ends, from the beginning.
		until time.Duration
	}{
		"rest, either process": {func(e *events) {
			e.ready(1).after(2 * time.Second).askForRest(time.Hour).after(time.Second)
			read(e, 0)
		}, RestRequested, 2*time.Second + maxUncertainRest},
		"rest, either process, asked long before the list": {func(e *events) {
			e.ready(1).after(2 * time.Second).askForRest(time.Hour).after(maxUncertainRest)
			read(e, 0)
		}, "", 0},
		"a short rest, either process": {func(e *events) {
			e.ready(1).after(2 * time.Second).askForRest(1500 * time.Millisecond).after(time.Second)
			read(e, 0)
		}, RestRequested, 3500 * time.Millisecond},
		"rest, the list was confirmed since": {func(e *events) {
			e.ready(1).after(2 * time.Second).askForRest(time.Hour).after(time.Millisecond)
			e.d.Confirm(e.now)
			read(e.after(time.Second), 0)
		}, "", 0},
		"rest, the later process asked after the read was sent": {func(e *events) {
			e.ready(1).after(3 * time.Second).sentBefore(time.Second).askForRest(time.Hour)
			read(e, 1500*time.Millisecond)
		}, RestRequested, 3*time.Second + time.Hour},
		"rest of both processes": {func(e *events) {
			e.ready(1).askForRest(time.Hour).after(2 * time.Second).askForRest(2 * time.Second).after(time.Second)
			read(e, 0)
		}, RestRequested, 4 * time.Second},
		"rest, the answer arrives after the list": {func(e *events) {
			e.ready(1).after(3 * time.Second)
			read(e, 0)
			e.after(100 * time.Millisecond).sentBefore(200 * time.Millisecond).askForRest(time.Hour)
		}, RestRequested, 2900*time.Millisecond + maxUncertainRest},
		"rest, such an answer to a request sent before the last list of the earlier start": {func(e *events) {
			e.ready(1).after(time.Second)
			read(e, 0)
			e.after(100 * time.Millisecond).sentBefore(1200 * time.Millisecond).askForRest(time.Hour)
		}, "", 0},
		"rest, either process, the entry was missing": {func(e *events) {
			e.d = New(time.Second, testGrace)
			e.ready(1).after(2 * time.Second)
			e.d.Apply(Listing{}, e.now)
			e.after(time.Second).askForRest(time.Hour).after(time.Second)
			read(e, 0)
		}, RestRequested, 3*time.Second + maxUncertainRest},
		"rest, without start times another router tells of a restart": {func(e *events) {
			e.ready(0).after(2 * time.Second).askForRest(time.Hour)
			e.d.Statements().MarkRestarted("a", e.now)
		}, "", 0},
		"rest, another router tells of the start in an old list": {func(e *events) {
			e.ready(1).after(4 * time.Second)
			read(e, 3*time.Second)
			e.sentBefore(time.Second).askForRest(time.Hour)
			e.d.Statements().MarkRestarted("a", e.now)
		}, RestRequested, 4*time.Second + time.Hour},
		"leaving, either process": {func(e *events) {
			e.ready(1).after(2 * time.Second).announceShutdown().after(time.Second)
			read(e, 0)
		}, "", 0},
		"leaving, the later process said so after the read was sent": {func(e *events) {
			e.ready(1).after(2 * time.Second).announceShutdown().after(time.Second)
			read(e, 1500*time.Millisecond)
		}, ShutdownAnnounced, 0},
		"both processes leave": {func(e *events) {
			e.ready(1).announceShutdown().after(2 * time.Second).announceShutdown().after(time.Second)
			read(e, 1500*time.Millisecond)
		}, ShutdownAnnounced, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := newEvents()
			begin := e.now
			test.happens(e)
			x, excluded := e.exclusion(false)
			assert.Equal(t, test.want != "", excluded)
			assert.Equal(t, test.want, x.Reason)
			if test.want == RestRequested {
				assert.Equal(t, test.until, x.Until.Sub(begin))
			}
		})
	}
}
