package kv

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestSwap(t *testing.T) {
	ctx := context.Background()
	m := NewMemory(time.Now)
	first, err := m.Swap(ctx, "k", 0, []byte("a"), NoLease)
	require.NoError(t, err)
	_, err = m.Swap(ctx, "k", 0, []byte("b"), NoLease)
	assert.ErrorIs(t, err, ErrConflict)
	second, err := m.Swap(ctx, "k", first, []byte("b"), NoLease)
	require.NoError(t, err)
	assert.Greater(t, second, first)
	_, err = m.Swap(ctx, "k", second, make([]byte, MaxValue+1), NoLease)
	assert.ErrorIs(t, err, ErrTooLarge)
	entry, err := m.Get(ctx, "k")
	require.NoError(t, err)
	assert.Equal(t, Entry{Value: []byte("b"), Revision: second}, entry)
}

func TestLeaseLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		m := NewMemory(time.Now)
		lease, err := m.Grant(ctx, time.Second)
		require.NoError(t, err)
		_, err = m.Swap(ctx, "k", 0, []byte("a"), lease)
		require.NoError(t, err)
		time.Sleep(900 * time.Millisecond)
		require.NoError(t, m.KeepAlive(ctx, lease))
		time.Sleep(900 * time.Millisecond)
		entry, _ := m.Get(ctx, "k")
		assert.NotZero(t, entry.Revision)
		time.Sleep(200 * time.Millisecond)
		entry, _ = m.Get(ctx, "k")
		assert.Zero(t, entry.Revision)
		assert.ErrorIs(t, m.KeepAlive(ctx, lease), ErrLease)
		_, err = m.Swap(ctx, "k", 0, []byte("b"), lease)
		assert.ErrorIs(t, err, ErrLease)
	})
}

func TestWatchWakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMemory(time.Now)
		got := make(chan Entry)
		go func() {
			entry, err := m.Watch(context.Background(), "k", 0)
			assert.NoError(t, err)
			got <- entry
		}()
		synctest.Wait()
		_, err := m.Swap(context.Background(), "other", 0, nil, NoLease)
		require.NoError(t, err)
		_, err = m.Swap(context.Background(), "k", 0, []byte("a"), NoLease)
		require.NoError(t, err)
		assert.Equal(t, "a", string((<-got).Value))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err = m.Watch(ctx, "absent", 0)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
	})
}
