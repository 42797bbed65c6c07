package membership

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRound measures the cost of the members to a router in each round while nothing
// changes: expiry, partners and known routers.
func BenchmarkRound(b *testing.B) {
	for _, routers := range []int{30, 295, 680} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			now := time.Now()
			table := fullTables(routers, now)["0"]
			b.ReportAllocs()
			for b.Loop() {
				table.Expire(now)
				table.Partners(now)
				table.KnownAddresses()
				table.AliveHashes(now)
			}
		})
	}
}

// BenchmarkChange measures the same when a member joins or leaves.
func BenchmarkChange(b *testing.B) {
	for _, routers := range []int{30, 295, 680} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			now := time.Now()
			table := fullTables(routers, now)["0"]
			b.ReportAllocs()
			for b.Loop() {
				table.RecordLeave("1", now)
				table.RecordHeartbeat("1", now)
				table.Partners(now)
				table.KnownAddresses()
			}
		})
	}
}

// BenchmarkTaskOwners measures what a record of a stream costs: its routers are chosen anew for each.
func BenchmarkTaskOwners(b *testing.B) {
	for _, routers := range []int{143, 985} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			table := fullTables(routers, time.Now())["0"]
			b.ReportAllocs()
			for b.Loop() {
				table.TaskOwners("5f2b", 2, func(string) bool { return true })
			}
		})
	}
}
