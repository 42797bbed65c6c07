package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/follow"
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

// BenchmarkLearn is what a router spends on one change of the list or of the
// configuration that another one passes on.
func BenchmarkLearn(b *testing.B) {
	for _, replicas := range []int{240, 1520} {
		b.Run(fmt.Sprintf("list of %d", replicas), func(b *testing.B) {
			f := follow.New(&source{}, follow.Options{Period: time.Hour, Timeout: time.Second}, directory.New(time.Hour, time.Hour), freshness.NewHolder(), balance.New(1), event.Discard())
			listing, now := benchListing(replicas), time.Now()
			f.Take(follow.Snapshot{Config: &route.Config{Version: 1}, Replicas: listing.Replicas}, now)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				listing.Replicas[0].State = directory.State(i % 2)
				text, err := pack(listing)
				require.NoError(b, err)
				var back directory.Listing
				require.NoError(b, unpack(text, &back))
				now = now.Add(time.Second)
				f.Learn(follow.Knowledge{Version: 1, Mark: uint64(i), Listing: &back}, now, "peer")
			}
		})
	}
}
