package directory

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkExclusions makes the calls of one request: which replicas are excluded, and
// whether the chosen one is before bytes are written to it.
func BenchmarkExclusions(b *testing.B) {
	for _, binding := range []int{0, 10, 1000} {
		b.Run(fmt.Sprintf("%d of 7600", binding), func(b *testing.B) {
			const replicas, services = 7600, 28
			d, now := New(time.Hour, testGrace), time.Now()
			list := make([]Replica, replicas)
			for i := range list {
				list[i] = Replica{ID: fmt.Sprint(i), Service: fmt.Sprint(i % services), Address: fmt.Sprintf("10.0.%d.%d:1", i/256, i%256)}
			}
			d.Apply(Listing{Replicas: list}, now)
			for i := range list {
				d.Statements().MarkServing(list[i].ID, now, now)
			}
			for i := range binding {
				d.Statements().MarkResting(list[i].ID, now, now.Add(time.Hour), now)
			}
			c := Conditions{Now: now, MaxListAge: testLimit}
			for b.Loop() {
				d.Exclusions("0", c)
				d.Exclusion("7599", c)
			}
		})
	}
}
