package steady

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestWithoutASuspensionItIsTheUsualTime(t *testing.T) {
	for range 1000 {
		before := time.Now()
		now := Now()
		assert.False(t, now.Before(before))
		assert.False(t, now.After(time.Now()))
	}
}

func TestASuspensionCounts(t *testing.T) {
	before := Now()
	defer Pretend(10 * time.Second)()
	assert.GreaterOrEqual(t, Since(before), 10*time.Second)
	assert.InDelta(t, time.Second, Until(Now().Add(time.Second)), float64(100*time.Millisecond))
	assert.InDelta(t, time.Second, time.Until(OfDay(Now().Add(time.Second))), float64(100*time.Millisecond), "the system knows nothing of it")
}

func TestABubbleHasItsOwnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := Now()
		assert.True(t, begin.Equal(time.Now()))
		time.Sleep(time.Hour)
		assert.Equal(t, time.Hour, Since(begin))
	})
}

func TestWhoWatchesIsToldOfEachSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var slept []time.Duration
		go Watch(ctx, func(d time.Duration) { slept = append(slept, d) })
		time.Sleep(time.Second)
		back := Pretend(5 * time.Second)
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, []time.Duration{5 * time.Second}, slept)
		cancel()
		back()
		synctest.Wait()
	})
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}

func BenchmarkTimeNow(b *testing.B) {
	for b.Loop() {
		time.Now()
	}
}
