package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against rests of replicas that are gone: routers that start learn of them from others, pass
// them on in turn, and a long one of a replica that no router lists would take the place of those that matter.
func TestRestOfAReplicaThatIsNotListedIsNotPassedOn(t *testing.T) {
	d := New(time.Second, time.Second)
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	const long = 24 * time.Hour
	rests := func(now time.Time) (ids []string) {
		for _, r := range d.Statements().Rests(9, now) {
			ids = append(ids, r.ID)
		}
		return ids
	}
	for _, id := range []string{"a", "gone", "later"} {
		d.Statements().MarkResting(id, start, at(long), start)
	}
	assert.Len(t, rests(at(1)), 3, "no list is known yet")
	list := []Replica{{ID: "a", Service: "s", Address: "a:1"}}
	d.Apply(Listing{Replicas: list}, at(time.Millisecond))
	assert.Equal(t, []string{"a"}, rests(at(2*time.Millisecond)))
	_, resting := d.Statements().CountExcluded(at(2 * time.Millisecond))
	assert.Equal(t, 1, resting)
	d.Statements().MarkResting("gone", at(3*time.Millisecond), at(long), at(3*time.Millisecond))
	list = append(list, Replica{ID: "later", Service: "s", Address: "later:1"})
	d.Apply(Listing{Replicas: list}, at(500*time.Millisecond))
	assert.Equal(t, []string{"a", "later"}, rests(at(600*time.Millisecond)), "one that joins soon rests on")
	d.Statements().MarkServing("a", at(long/2), at(long/2))
	assert.Zero(t, d.Statements().Get("gone"), "forgotten in the end")
	assert.NotZero(t, d.Statements().Get("later"))
}
