package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Confirm is the most frequent update of a router and must have the same result as
// reading an unchanged list.
func TestConfirmEqualsReadingTheSameList(t *testing.T) {
	cold := ready("a", "b", "c")
	cold[1].Cold, cold[1].ColdLeft, cold[1].Entry = true, 20*time.Second, 7
	cold[2].State = Draining
	cases := map[string]struct {
		list      []Replica
		evacuated []string
	}{
		"ready":     {list: ready("a", "b", "c")},
		"cold":      {list: cold},
		"evacuated": {list: ready("a"), evacuated: []string{"north"}},
		"empty":     {},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			confirmed, again := New(3*time.Second, 2*time.Second), New(3*time.Second, 2*time.Second)
			for _, d := range []*Directory{confirmed, again} {
				d.Apply(Listing{Replicas: c.list, Evacuated: c.evacuated}, at(0))
			}
			for _, seconds := range []float64{1, 9, 8, 30} {
				assert.Equal(t, again.Replace(again.Listed(), at(seconds)), confirmed.Confirm(at(seconds)), "at %v", seconds)
				assert.Equal(t, again.ReadTime(), confirmed.ReadTime())
				assert.Equal(t, again.Hash(HashWithStarts), confirmed.Hash(HashWithStarts))
				assert.Equal(t, again.Listing(), confirmed.Listing())
				for _, since := range []float64{0, seconds, seconds + 1} {
					assert.ElementsMatch(t, again.NotListedSince(at(since), at(0)), confirmed.NotListedSince(at(since), at(0)), "since %v", since)
				}
			}
		})
	}
}

func TestConfirmRemovesUnconfirmedAfterGrace(t *testing.T) {
	d := New(3*time.Second, 2*time.Second)
	d.Replace(ready("a", "b"), at(0))
	d.Replace(nil, at(10))
	assert.Empty(t, d.Confirm(at(11)))
	assert.Equal(t, map[string]ChangeKind{"a": Left, "b": Left}, changes(d.Confirm(at(12.5))))
}

// BenchmarkConfirm measures a confirmation that nothing has changed.
func BenchmarkConfirm(b *testing.B) {
	for _, replicas := range []int{240, 1520, 7600} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			var list []Replica
			for i := range replicas {
				list = append(list, Replica{ID: fmt.Sprintf("engine-%d", i), Service: "s", Address: fmt.Sprint(i)})
			}
			d := New(time.Hour, time.Hour)
			d.Replace(list, start)
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				d.Confirm(now)
			}
		})
	}
}
