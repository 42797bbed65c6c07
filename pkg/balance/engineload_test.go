package balance

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Checks load patterns at engines behind routers whose counts of each other are up to 1.2
// s old, while a live chat takes 1.6 s. Users allow 3 in 100 requests of any five seconds
// to reach an engine above twice the mean plus 3.
func TestLoadAtTheEnginesOfALargeFleet(t *testing.T) {
	const (
		routers, lines, engines = 148, 8, 120
		warm, length            = 5 * time.Second, 7 * time.Second
	)
	cases := map[string]struct {
		change func(f *engineFleet)
		// maxOver is the largest allowed share above what users allow, in any five seconds;
		// minOnTime the least share of requests that must begin in time.
		maxOver, minOnTime float64
	}{
		"as usual": {
			change:  func(*engineFleet) {},
			maxOver: 0.01, minOnTime: 0.99,
		},
		"a burst of 1.7 for 3 s": {
			change:  func(f *engineFleet) { f.burst(warm, warm+3*time.Second, 1.7) },
			maxOver: 0.01, minOnTime: 0.99,
		},
		"half of the callers move to one data centre": {
			change:  func(f *engineFleet) { f.shift(warm, 0.5) },
			maxOver: 0.02, minOnTime: 0.99,
		},
		"17 in 100 engines refuse, all at once": {
			// The list shows the crash after 2.4 s.
			change:  func(f *engineFleet) { f.crash(warm, 2400*time.Millisecond, 6) },
			maxOver: 0.03, minOnTime: 0.95,
		},
		"a data centre is lost": {
			change:  func(f *engineFleet) { f.loseDataCentre(warm, 2400*time.Millisecond, "dc1") },
			maxOver: 0.03, minOnTime: 0.93,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newEngineFleet(1, routers, lines, engines)
			c.change(f)
			got := f.simulate(warm, length)
			t.Logf("asked %d, in time %d, late %d, failed %d, above %.4f, read %d, of it again %d, copied %d",
				got.asked, got.onTime, got.late, got.failed, got.worstOver(), got.read, got.reread, got.copied)
			assert.LessOrEqual(t, got.worstOver(), c.maxOver)
			assert.GreaterOrEqual(t, float64(got.onTime)/float64(got.asked), c.minOnTime)
		})
	}
}

// Guards against filling one home of a hot session after the other. One session that
// draws 28 in 100 live chats has some 120 of them at a time, where an engine may have
// eight. If all routers take its next home until they hear that it is full, 36 in 1,000
// requests of some five seconds reach engines above what users allow (mean of six seeds);
// 15 if the homes that a session needs are remembered and shared.
func TestHotChatSessionIsSpread(t *testing.T) {
	t.Parallel()
	const warm, length = 6 * time.Second, 8 * time.Second
	f := newEngineFleet(1, 295, 16, baselineEngines)
	f.hot(2, 0.28, warm, warm+length)
	got := f.simulate(warm, length)
	t.Logf("above %.4f, asked %d, in time %d, copied %d", got.worstOver(), got.asked, got.onTime, got.copied)
	assert.Less(t, got.worstOver(), 0.03)
	assert.GreaterOrEqual(t, float64(got.onTime)/float64(got.asked), 0.99)
}

// The same for the largest prompts: some 73 a second at one home, each for 0.3 s, so that
// they come and go between two gossip rounds. A home that is seen to be full is passed
// over by all, empties, and gets all again: 75 in 1,000 requests of the worst five
// seconds reach engines above what users allow (mean of six seeds); 16 if the homes that
// the session needs are remembered and shared. Most of these come before any router can
// know of the session.
func TestHotSessionOfLargePromptsIsSpread(t *testing.T) {
	t.Parallel()
	const warm, length = 8 * time.Second, 7 * time.Second
	f := newEngineFleet(1, 148, 8, 120)
	f.hot(0, 0.28, warm, warm+length)
	got := f.simulate(warm, length)
	t.Logf("above %.4f, asked %d, in time %d, copied %d", got.worstOver(), got.asked, got.onTime, got.copied)
	assert.Less(t, got.worstOver(), 0.03)
}

// worstOver returns the largest share of arrivals above what users allow in any five
// seconds.
func (s *engineStats) worstOver() float64 {
	const window = 5 * time.Second
	worst := 0.0
	for i, from := range s.overLimit {
		to := from.Add(window)
		over, _ := slices.BinarySearchFunc(s.overLimit, to, time.Time.Compare)
		first, _ := slices.BinarySearchFunc(s.arrivals, from, time.Time.Compare)
		last, _ := slices.BinarySearchFunc(s.arrivals, to, time.Time.Compare)
		// Only windows that end before the last arrival count.
		if last < len(s.arrivals) {
			worst = max(worst, float64(over-i)/float64(last-first))
		}
	}
	return worst
}
