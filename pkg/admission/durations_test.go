package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestMaxDurations(t *testing.T) {
	type took struct {
		at, took time.Duration
	}
	for _, test := range []struct {
		name  string
		took  []took
		at    time.Duration
		want  time.Duration
		known bool
	}{
		{"none ended", nil, 0, 0, false},
		{"the longest counts", []took{{0, time.Second}, {time.Second, 3 * time.Second}, {2 * time.Second, time.Second}}, 3 * time.Second, 3 * time.Second, true},
		{"the previous window counts", []took{{0, 3 * time.Second}, {windowLength, time.Second}}, windowLength + time.Second, 3 * time.Second, true},
		{"an older window does not", []took{{0, 3 * time.Second}, {windowLength, time.Second}}, 2 * windowLength, time.Second, true},
		{"nothing is known after a long idle time", []took{{0, 3 * time.Second}}, 3 * windowLength, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			l := NewMaxDurations()
			for _, one := range test.took {
				l.Record("a", one.took, start.Add(one.at))
			}
			longest, known := l.Max("a", start.Add(test.at))
			assert.Equal(t, test.want, longest)
			assert.Equal(t, test.known, known)
			_, known = l.Max("b", start)
			assert.False(t, known)
		})
	}
}
