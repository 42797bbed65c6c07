package placement

import (
	"encoding/binary"
	"time"

	boom "github.com/tylertreat/BoomFilters"
)

// PrefixTraffic estimates each shared prefix's share of the requests seen here, in
// memory that does not grow with the number of prefixes: two count-min
// sketches of 64 KB, one being filled and the last full one. It is not safe
// for concurrent use.
//
// A sketch counts at least as much as is true and little more, so a prefix is
// spread a little too wide, never too narrow.
type PrefixTraffic struct {
	window  time.Duration
	began   time.Time
	current *boom.CountMinSketch
	last    *boom.CountMinSketch
	key     [8]byte
}

const (
	sketchError      = 0.001
	sketchConfidence = 0.99
	// trafficWindow is the time that one sketch is filled.
	trafficWindow = 30 * time.Second
)

// NewPrefixTraffic returns an estimator that has seen nothing.
func NewPrefixTraffic() *PrefixTraffic {
	return &PrefixTraffic{window: trafficWindow, current: newSketch(), last: newSketch()}
}

func newSketch() *boom.CountMinSketch {
	return boom.NewCountMinSketch(sketchError, sketchConfidence)
}

// Record counts a request with this prefix, 0 for none, and returns the prefix's
// share of the requests of the last window or two, 0 to 1.
func (t *PrefixTraffic) Record(prefix uint64, now time.Time) float64 {
	if now.Sub(t.began) > t.window {
		t.last, t.current = t.current, t.last.Reset()
		t.began = now
	}
	binary.LittleEndian.PutUint64(t.key[:], prefix)
	t.current.Add(t.key[:])
	total := t.current.TotalCount() + t.last.TotalCount()
	if prefix == 0 {
		return 0
	}
	count := t.current.Count(t.key[:]) + t.last.Count(t.key[:])
	return min(1, float64(count)/float64(total))
}
