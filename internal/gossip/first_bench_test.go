package gossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/freshness"
	"github.com/croftyard/croftyard/pkg/route"
)

// BenchmarkFirstList measures what a router spends on the first list that it learns, and on
// passing it on for the first time.
func BenchmarkFirstList(b *testing.B) {
	newWatcher := func() *watch.Watcher {
		return watch.New(&source{}, watch.Options{Period: time.Hour, Timeout: time.Second}, directory.New(time.Hour, time.Hour), freshness.NewHolder(), balance.New(1), event.Discard())
	}
	listing, now := benchListing(10000), time.Now()
	teacher := newWatcher()
	require.NoError(b, teacher.ApplySnapshot(watch.Snapshot{Config: &route.Config{Version: 1}, Replicas: listing.Replicas, Revision: 1}, now))
	k, _ := teacher.Knowledge(watch.KnowledgeRequest{}, now)
	text, err := pack(k.Listing)
	require.NoError(b, err)
	b.Logf("%d bytes", len(text))
	b.Run("unpack", func(b *testing.B) {
		for b.Loop() {
			var l directory.Listing
			require.NoError(b, unpack(text, &l))
		}
	})
	b.Run("apply", func(b *testing.B) {
		for b.Loop() {
			newWatcher().ApplyKnowledge(k, now, now, "peer")
		}
	})
	b.Run("list", func(b *testing.B) {
		for b.Loop() {
			teacher.Knowledge(watch.KnowledgeRequest{}, now)
		}
	})
	b.Run("pack", func(b *testing.B) {
		for b.Loop() {
			_, err := pack(k.Listing)
			require.NoError(b, err)
		}
	})
}
