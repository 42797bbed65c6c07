package follow

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/pkg/directory"
)

// pagedSource answers in pages, each after a delay.
type pagedSource struct {
	fakeSource
	pages int
	read  atomic.Int32
}

func (s *pagedSource) Read(ctx context.Context, more func(context.Context) error) (Snapshot, error) {
	for page := range s.pages {
		if page > 0 && more != nil {
			if err := more(ctx); err != nil {
				return Snapshot{}, err
			}
		}
		time.Sleep(s.delay)
		s.read.Add(1)
	}
	return s.snapshot, nil
}

// What other routers tell is taken in the place of a long list that is being read.
func TestALongFirstReadWaitsForWhatPeersTell(t *testing.T) {
	const delay, wait = 100 * time.Millisecond, time.Second
	tests := []struct {
		name  string
		pages int
		// told is when another router tells what it knows, if ever.
		told, known time.Duration
		read        int32
	}{
		{"short", 1, 0, delay, 1},
		{"nobody tells", 5, 0, 5*delay + wait, 5},
		{"told while it waits", 5, 300 * time.Millisecond, 300 * time.Millisecond, 1},
		{"told later", 5, 1250 * time.Millisecond, 1250 * time.Millisecond, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				source := &pagedSource{fakeSource: fakeSource{snapshot: Snapshot{Config: config(1), Replicas: replicas("a")}, delay: delay}, pages: test.pages}
				f := newFollower(source, 2)
				f.Set(source, Options{Period: time.Second, Timeout: time.Minute, FirstMore: wait, Rank: func() int { return 2 }})
				begin := time.Now()
				if test.told > 0 {
					time.AfterFunc(test.told, func() {
						f.Learn(Knowledge{Version: 1, Config: config(1), Listing: &directory.Listing{Replicas: replicas("a")}}, time.Now(), "peer")
					})
				}
				go f.Run(ctx)
				for !f.Known() {
					time.Sleep(time.Millisecond)
				}
				assert.InDelta(t, test.known, time.Since(begin), float64(2*time.Millisecond))
				time.Sleep(time.Second)
				assert.Equal(t, test.read, source.read.Load())
				assert.False(t, f.Lost(), "that it was told is no failure of the source")
			})
		})
	}
}

// A router that knows something reads on at once: only its reads tell it what is new.
func TestALaterReadDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &pagedSource{fakeSource: fakeSource{snapshot: Snapshot{Config: config(2), Replicas: replicas("a")}}, pages: 5}
		f := newFollower(source, 0)
		f.Set(source, Options{Period: time.Second, Timeout: time.Minute, FirstMore: time.Hour})
		f.Take(Snapshot{Config: config(1), Replicas: replicas("a")}, time.Now())
		assert.NoError(t, f.readOnce(t.Context()))
		version, _ := f.Version()
		assert.EqualValues(t, 2, version)
	})
}
