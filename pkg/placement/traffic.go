package placement

import (
	"encoding/binary"
	"time"

	boom "github.com/tylertreat/BoomFilters"
)

// PrefixTraffic estimates each shared prefix's share of this router's requests in
// memory that does not grow with the number of prefixes: two count-min
// sketches of 64 KB, the one being filled and the previous one. It is not safe
// for concurrent use.
//
// A count-min sketch never underestimates a count and overestimates it little, so
// a prefix is spread slightly too wide, never too narrow.
type PrefixTraffic struct {
	window      time.Duration
	windowStart time.Time
	current     *boom.CountMinSketch
	previous    *boom.CountMinSketch
	key         [8]byte
}

const (
	sketchError      = 0.001
	sketchConfidence = 0.99
	// trafficWindow is how long one sketch is filled.
	trafficWindow = 30 * time.Second
)

// NewPrefixTraffic returns an estimator without any requests.
func NewPrefixTraffic() *PrefixTraffic {
	return &PrefixTraffic{window: trafficWindow, current: newSketch(), previous: newSketch()}
}

func newSketch() *boom.CountMinSketch {
	return boom.NewCountMinSketch(sketchError, sketchConfidence)
}

// Record counts a request with this prefix (0 for none) and returns the prefix's
// share of the requests in the last one or two windows, 0 to 1.
func (t *PrefixTraffic) Record(prefix uint64, now time.Time) float64 {
	if now.Sub(t.windowStart) > t.window {
		t.previous, t.current = t.current, t.previous.Reset()
		t.windowStart = now
	}
	binary.LittleEndian.PutUint64(t.key[:], prefix)
	t.current.Add(t.key[:])
	total := t.current.TotalCount() + t.previous.TotalCount()
	if prefix == 0 {
		return 0
	}
	count := t.current.Count(t.key[:]) + t.previous.Count(t.key[:])
	return min(1, float64(count)/float64(total))
}
