package main

import (
	"context"
	"encoding/json"
	"time"

	"github.com/croftyard/croftyard/pkg/kv"
)

// must returns a value whose error would be a fault of this program.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

func jsonOf(v any) []byte { return must(json.Marshal(v)) }

// counted counts the calls of a store.
type counted struct {
	kv.Store
	writes, reads int
}

// Get implements kv.Store.
func (c *counted) Get(ctx context.Context, key string) (kv.Entry, error) {
	c.reads++
	return c.Store.Get(ctx, key)
}

// Swap implements kv.Store.
func (c *counted) Swap(ctx context.Context, key string, revision uint64, value []byte, lease kv.LeaseID) (uint64, error) {
	c.writes++
	return c.Store.Swap(ctx, key, revision, value, lease)
}

// Grant implements kv.Store.
func (c *counted) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	c.writes++
	return c.Store.Grant(ctx, ttl)
}
