package front

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/front/metrics"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/freshness"
	"github.com/croftyard/croftyard/pkg/route"
)

// newIdleFront returns a Front whose watcher does not run, and a call that has just arrived.
func newIdleFront(target time.Duration, source watch.Source) (*Front, *call) {
	log := event.Discard()
	holder, balancer := freshness.NewHolder(), balance.New(1)
	watcher := watch.New(source, watch.Options{Period: time.Second, Timeout: time.Second},
		directory.New(time.Hour, time.Hour), holder, balancer, log)
	f := New(Options{Dialect: testDialect(), DataCentre: "here"}, watcher, holder, balancer, nil, metrics.New(), log)
	c := &call{front: f, arrival: time.Now(), route: &route.Route{Target: target}, service: &route.Service{Name: "s"}}
	c.tried = []string{"r0"}
	return f, c
}

// listReplicas applies a snapshot with the given replicas.
func listReplicas(f *Front, ids ...string) {
	snapshot := watch.Snapshot{Config: &route.Config{Version: 1}}
	for _, id := range ids {
		snapshot.Replicas = append(snapshot.Replicas, directory.Replica{ID: id, Service: "s", DataCentre: "here"})
	}
	f.watcher.ApplySnapshot(snapshot, time.Now())
}

func TestWaitOnlyForExpectedChange(t *testing.T) {
	avoided := func(rest time.Duration) func(*Front, *call) {
		return func(f *Front, _ *call) {
			listReplicas(f, "r0")
			f.balancer.RequestFailed("r0", balance.Refused, "here", time.Now().Add(rest-time.Second))
		}
	}
	cases := []struct {
		name    string
		target  time.Duration
		prepare func(*Front, *call)
		again   bool
		waited  time.Duration
	}{
		{"none is listed", 600 * time.Millisecond, func(f *Front, _ *call) { listReplicas(f, "other") }, false, 0},
		{"avoided for a second", 600 * time.Millisecond, avoided(time.Second), false, 0},
		{"avoided for a moment", 600 * time.Millisecond, avoided(40 * time.Millisecond), true, 40 * time.Millisecond},
		{"avoided for a moment, but the target is short", 150 * time.Millisecond, avoided(40 * time.Millisecond), false, 0},
		{"avoided for a moment, no target", 0, avoided(40 * time.Millisecond), true, 40 * time.Millisecond},
		{"not reached, though not avoided", 600 * time.Millisecond, func(f *Front, _ *call) { listReplicas(f, "r0") }, false, 0},
		{"already sent", 600 * time.Millisecond, func(f *Front, c *call) {
			avoided(40*time.Millisecond)(f, c)
			c.sent.Add(1)
		}, false, 0},
		{"has already waited", 600 * time.Millisecond, func(f *Front, c *call) {
			avoided(40*time.Millisecond)(f, c)
			c.arrival = time.Now().Add(-75 * time.Millisecond)
		}, false, 0},
		{"the first list comes", 600 * time.Millisecond, func(f *Front, _ *call) {
			time.AfterFunc(10*time.Millisecond, func() { listReplicas(f, "r1") })
		}, true, 10 * time.Millisecond},
		{"the first list does not come", 600 * time.Millisecond, func(*Front, *call) {}, false, 75 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, one := newIdleFront(c.target, &fakeSource{})
				c.prepare(f, one)
				begun := time.Now()
				assert.Equal(t, c.again, one.waitForReplica(t.Context()))
				assert.Equal(t, c.waited, time.Since(begun))
				assert.Equal(t, c.again, one.tried == nil, "all may be tried again")
			})
		})
	}
}

func TestWaitForProofBoundedByTarget(t *testing.T) {
	for _, c := range []struct{ target, waited time.Duration }{
		{150 * time.Millisecond, 75 * time.Millisecond},
		{600 * time.Millisecond, 300 * time.Millisecond},
		{2 * time.Second, freshnessWait},
		{0, defaultWait},
	} {
		t.Run(c.target.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, one := newIdleFront(c.target, &fakeSource{})
				begun := time.Now()
				assert.False(t, one.waitFresh(t.Context(), begun))
				assert.Equal(t, c.waited, time.Since(begun))
			})
		})
	}
}

// slowSource answers only when its reader has given up.
type slowSource struct{ fakeSource }

func (*slowSource) Replicas(ctx context.Context) (watch.Snapshot, error) {
	<-ctx.Done()
	return watch.Snapshot{}, ctx.Err()
}

func TestWaitForListBoundedByTarget(t *testing.T) {
	for _, c := range []struct{ target, waited time.Duration }{
		{160 * time.Millisecond, 20 * time.Millisecond},
		{600 * time.Millisecond, listWait},
	} {
		t.Run(c.target.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, one := newIdleFront(c.target, &slowSource{})
				f.SetLimits(Limits{MaxListAge: time.Second})
				listReplicas(f, "r0")
				time.Sleep(2 * time.Second)
				begun := time.Now()
				one.refreshList(t.Context())
				assert.Equal(t, c.waited, time.Since(begun))
				// The triggered read ends by its own timeout.
				time.Sleep(2 * time.Second)
			})
		})
	}
}

func TestRetryAfterOfUnavailable(t *testing.T) {
	fail := func(kind balance.Failure, ids ...string) func(*Front) {
		return func(f *Front) {
			listReplicas(f, "r0", "r1")
			for _, id := range ids {
				f.balancer.RequestFailed(id, kind, "here", time.Now())
			}
		}
	}
	cases := []struct {
		name    string
		prepare func(*Front)
		after   time.Duration
	}{
		{"another replica may have it", fail(balance.Shed, "r0"), retryElsewhere},
		{"all are full", fail(balance.Shed, "r0", "r1"), 150 * time.Millisecond},
		{"none is reachable", fail(balance.Refused, "r0", "r1"), retryLater},
		{"none is listed, the list is read soon", func(f *Front) {
			listReplicas(f)
			time.Sleep(650 * time.Millisecond)
		}, 200 * time.Millisecond},
		{"none is listed, the list has just been read", func(f *Front) { listReplicas(f) }, retryLater},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, one := newIdleFront(600*time.Millisecond, &fakeSource{err: errors.New("down")})
				c.prepare(f)
				refused := one.refuseUnavailable("no replica")
				assert.Equal(t, c.after, refused.retryAfter)
				assert.Equal(t, http.StatusServiceUnavailable, refused.status)
			})
		})
	}
}

// During a network partition, guards against each request to a service without a reachable
// replica waiting 0.3 s for a connection before it is refused.
func TestUnreachableServiceRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newIdleFront(0, &fakeSource{})
		config := testConfig()
		for i := range config.Routes {
			config.Routes[i].Shares = []route.Share{{Service: "s", Weight: 1}}
		}
		replicas := []directory.Replica{{ID: "r0", Service: "s", DataCentre: "there"}}
		f.watcher.ApplySnapshot(watch.Snapshot{Config: &config, Replicas: replicas}, time.Now())
		f.SetLimits(Limits{MaxKeyProofAge: time.Hour, MaxAbsenceProofAge: time.Hour})
		f.balancer.RequestFailed("r0", balance.Unreachable, "here", time.Now())
		_, _ = f.balancer.Pick(balance.Request{Service: "s"}, time.Now())
		begun := time.Now()
		answer := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, "http://h/once/x", nil)
		request.Header.Set("Authorization", "Key k1")
		// The Front has no pool to send with.
		f.ServeHTTP(answer, request)
		assert.Equal(t, http.StatusServiceUnavailable, answer.Code)
		assert.Equal(t, "0.500", answer.Header().Get("Retry-After"))
		assert.Zero(t, time.Since(begun))
	})
}
