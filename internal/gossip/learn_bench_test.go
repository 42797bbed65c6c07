package gossip

import (
	"fmt"
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

func benchListing(replicas int) directory.Listing {
	var l directory.Listing
	for i := range replicas {
		l.Replicas = append(l.Replicas, directory.Replica{ID: fmt.Sprintf("i-%08x", i*2654435761), Service: "croft-llm",
			Address: fmt.Sprintf("10.%d.64.%d:8782", i%5, i/5), DataCentre: fmt.Sprintf("hall-%d", i%5), Slots: 32, Entry: uint64(i)})
	}
	return l
}

// BenchmarkLearn measures what two routers spend on one change of the list: one applies a
// list that was read and sends the change, the other applies the change.
func BenchmarkLearn(b *testing.B) {
	newWatcher := func() *watch.Watcher {
		return watch.New(&source{}, watch.Options{Period: time.Hour, Timeout: time.Second}, directory.New(time.Hour, time.Hour), freshness.NewHolder(), balance.New(1), event.Discard())
	}
	for _, replicas := range []int{240, 1520, 7600, 20000} {
		b.Run(fmt.Sprintf("list of %d", replicas), func(b *testing.B) {
			teacher, learner := newWatcher(), newWatcher()
			listing, now := benchListing(replicas), time.Now()
			learner.ApplySnapshot(watch.Snapshot{Config: &route.Config{Version: 1}, Replicas: listing.Replicas}, now)
			b.ReportAllocs()
			bytes := 0
			for i := 0; b.Loop(); i++ {
				listing.Replicas[0].ID = fmt.Sprintf("i-%d", i)
				now = now.Add(time.Second)
				teacher.ApplySnapshot(watch.Snapshot{Config: &route.Config{Version: 1}, Replicas: listing.Replicas}, now)
				have := learner.KnowledgeRequest(false)
				k, _ := teacher.Knowledge(have, now)
				text, err := pack(&k.Excerpt.Listing)
				require.NoError(b, err)
				bytes += len(text) + len(have.PartHashes)*4
				require.NoError(b, unpack(text, &k.Excerpt.Listing))
				learner.ApplyKnowledge(k, now, now, "peer")
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/op")
		})
	}
}
