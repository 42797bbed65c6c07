package membership

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRound is what the members cost a router in each round: who is forgotten,
// whom it talks to and who is known, while nothing changes.
func BenchmarkRound(b *testing.B) {
	for _, routers := range []int{30, 295, 680} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			now := time.Now()
			table := full(routers, now)["0"]
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

// BenchmarkChange is the same when a member has come or gone.
func BenchmarkChange(b *testing.B) {
	for _, routers := range []int{30, 295, 680} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			now := time.Now()
			table := full(routers, now)["0"]
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
