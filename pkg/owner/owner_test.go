package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/pkg/admission"
)

var start = time.Unix(1_800_000_000, 0)

// recordedGroup is a group that records its grants and rejections.
type recordedGroup struct {
	*Group[string]
	granted  []*Ticket[string]
	rejected []*admission.Refusal
}

func newRecordedGroup(engines int, slots int) *recordedGroup {
	b := &recordedGroup{}
	b.Group = NewGroup(100, Hooks[string]{
		Grant:  func(t *Ticket[string]) { b.granted = append(b.granted, t) },
		Reject: func(_ *Ticket[string], r *admission.Refusal) { b.rejected = append(b.rejected, r) },
	})
	var list []*Engine
	for i := range engines {
		list = append(list, NewEngine(uint64(i+1), slots))
	}
	b.SetEngines(list)
	return b
}

func newTicket(change func(*Request)) *Ticket[string] {
	r := Request{Flow: "a", Share: 1, Deadline: start.Add(time.Hour), Work: 100, Bound: 1.25, LastHop: true}
	if change != nil {
		change(&r)
	}
	return &Ticket[string]{Request: r}
}

func expectGranted(t *testing.T, b *recordedGroup, want int) {
	t.Helper()
	require.Len(t, b.granted, want)
}

func TestEnterGrantsPreferredEngine(t *testing.T) {
	b := newRecordedGroup(3, 4)
	x := newTicket(func(r *Request) { r.Engine = 2 })
	require.Nil(t, b.Enter(x, start))
	assert.EqualValues(t, 2, x.GrantedEngine().Hash)
	assert.InDelta(t, 1.0/3, b.Load(), 1e-9)
}

func TestTicketWaitsForCacheOfItsEngineOnly(t *testing.T) {
	b := newRecordedGroup(2, 1)
	first := newTicket(func(r *Request) { r.Engine = 1 })
	require.Nil(t, b.Enter(first, start))
	patient := newTicket(func(r *Request) { r.Engine = 1; r.MaxCacheWait = time.Second })
	require.Nil(t, b.Enter(patient, start))
	assert.Nil(t, patient.GrantedEngine(), "engine 2 is free, but the cache is on engine 1")
	other := newTicket(nil)
	require.Nil(t, b.Enter(other, start))
	assert.EqualValues(t, 2, other.GrantedEngine().Hash, "a ticket that waits for its cache blocks nobody")
	b.Finish(first, true, start.Add(time.Millisecond))
	require.NotNil(t, patient.GrantedEngine())
	assert.EqualValues(t, 1, patient.GrantedEngine().Hash)
}

func TestEndCacheWait(t *testing.T) {
	b := newRecordedGroup(2, 1)
	require.Nil(t, b.Enter(newTicket(func(r *Request) { r.Engine = 1 }), start))
	patient := newTicket(func(r *Request) { r.Engine = 1; r.MaxCacheWait = time.Second })
	require.Nil(t, b.Enter(patient, start))
	assert.Nil(t, b.EndCacheWait(patient, start.Add(time.Second)))
	assert.EqualValues(t, 2, patient.GrantedEngine().Hash)
	assert.Nil(t, b.EndCacheWait(patient, start.Add(time.Second)), "a second call does nothing")
	expectGranted(t, b, 2)
}

func TestFullGroupPassesOnUnlessLastHop(t *testing.T) {
	b := newRecordedGroup(2, 1)
	for range 2 {
		require.Nil(t, b.Enter(newTicket(nil), start))
	}
	refusal := b.Enter(newTicket(func(r *Request) { r.LastHop = false }), start)
	require.NotNil(t, refusal)
	assert.Equal(t, admission.GroupFull, refusal.Reason)
	assert.True(t, refusal.NotRun)
	last := newTicket(nil)
	require.Nil(t, b.Enter(last, start))
	assert.Equal(t, 1, b.Waiting())
	patient := newTicket(func(r *Request) { r.LastHop = false; r.Engine = 1; r.MaxCacheWait = time.Second })
	require.Nil(t, b.Enter(patient, start))
	assert.Equal(t, admission.GroupFull, b.EndCacheWait(patient, start).Reason)
	assert.Equal(t, 1, b.Waiting())
}

func TestHardBoundHoldsWhateverTheMeanOfTheGroup(t *testing.T) {
	b := newRecordedGroup(2, 0)
	b.SetFleetMean(8)
	n := 0
	for b.Enter(newTicket(func(r *Request) { r.LastHop = false; r.Engine = 1 }), start) == nil {
		n++
		require.Less(t, n, 100)
	}
	assert.Equal(t, 20, n, "two engines at 1.25 x 8")
}

func TestClosedEngineGetsNothing(t *testing.T) {
	b := newRecordedGroup(2, 4)
	b.engines[0].Closed = true
	x := newTicket(func(r *Request) { r.Engine = 1; r.MaxCacheWait = time.Second })
	require.Nil(t, b.Enter(x, start))
	assert.EqualValues(t, 2, x.GrantedEngine().Hash, "a ticket does not wait for an engine that leaves")
}

func TestAdapterNeedsAnEngineThatHoldsIt(t *testing.T) {
	b := newRecordedGroup(3, 1)
	b.engines[1].Adapters = []uint64{7}
	for want := 1; want <= 2; want++ {
		x := newTicket(func(r *Request) { r.Adapter = 7 })
		require.Nil(t, b.Enter(x, start))
		if want == 1 {
			assert.EqualValues(t, 2, x.GrantedEngine().Hash)
			continue
		}
		assert.Nil(t, x.GrantedEngine(), "the other engines do not hold the adapter")
	}
}

func TestReturningEngineIsLoadedGradually(t *testing.T) {
	b := newRecordedGroup(2, 0)
	b.SetFleetMean(10)
	b.engines[0].Ramp = 0.2
	for range 14 {
		require.Nil(t, b.Enter(newTicket(nil), start))
	}
	assert.InDelta(t, 2, b.engines[0].InFlight, 1)
}

func TestLeaveAndDrain(t *testing.T) {
	b := newRecordedGroup(1, 1)
	require.Nil(t, b.Enter(newTicket(nil), start))
	gone, drained := newTicket(nil), newTicket(nil)
	require.Nil(t, b.Enter(gone, start))
	require.Nil(t, b.Enter(drained, start))
	assert.True(t, b.Cancel(gone))
	assert.False(t, b.Cancel(gone))
	b.Drain(admission.Stopping, start)
	require.Len(t, b.rejected, 1)
	assert.Equal(t, admission.Stopping, b.rejected[0].Reason)
	assert.Zero(t, b.Waiting())
}

func TestForeignRequestsCountTowardsBound(t *testing.T) {
	b := newRecordedGroup(2, 0)
	b.SetFleetMean(4)
	b.engines[0].ObservePeerCount(77, 4, start)
	x := newTicket(nil)
	require.Nil(t, b.Enter(x, start))
	assert.EqualValues(t, 2, x.GrantedEngine().Hash)
	assert.Equal(t, 4, b.engines[0].ForeignInFlight())
	b.engines[0].ExpireCounts(start.Add(peerCountTTL + time.Second))
	assert.Zero(t, b.engines[0].ForeignInFlight())
}

func TestReportDetectsForeignRequestsOnly(t *testing.T) {
	e := NewEngine(1, 0)
	e.InFlight = 20
	e.ObserveReport(24, start)
	assert.Zero(t, e.ForeignInFlight(), "the difference is attributed to the report's age")
	e.ObserveReport(40, start)
	assert.Equal(t, 20, e.ForeignInFlight())
	e.ExpireCounts(start.Add(reportTTL + time.Second))
	assert.Zero(t, e.ForeignInFlight())
}

func TestHandover(t *testing.T) {
	const engine, self, old, other = 1, 10, 20, 30
	h := NewHandover()
	notified := func(now time.Time) (routers []uint64) {
		h.NotifyOwners(engine, self, now, func(router uint64) { routers = append(routers, router) })
		return routers
	}
	assert.False(t, h.SetOwner(engine, old, self, start))
	assert.Equal(t, []uint64{old}, notified(start))
	assert.True(t, h.SetOwner(engine, self, self, start), "gained")
	assert.False(t, h.SetOwner(engine, self, self, start))
	assert.Equal(t, []uint64{old}, notified(start), "the previous owner may not have seen the change")
	assert.Empty(t, notified(start.Add(handoverTime+time.Second)))
	h.SetOwner(engine, other, self, start)
	assert.Equal(t, []uint64{other}, notified(start))
	h.Forget(engine)
	assert.Empty(t, notified(start))
}
