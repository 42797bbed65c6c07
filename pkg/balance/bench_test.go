package balance

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPick measures one choice among 150 engines, with counts from 73 other routers.
func BenchmarkPick(b *testing.B) {
	balancer := newBalancer(engines(150))
	now := time.Now()
	for router := range 73 {
		var t PeerUpdate
		for i := range 10 {
			t.Running = append(t.Running, ReplicaCount{Replica: ReplicaHash(fmt.Sprintf("i-%d", (router*7+i)%150)), Running: 1})
		}
		balancer.MergePeer(fmt.Sprint(router), t, now)
	}
	question := Request{Service: "llm", DataCentre: "dc0", Parts: prompt(5)}
	b.ReportAllocs()
	for b.Loop() {
		balancer.Pick(question, now)
	}
}

// BenchmarkPickLarge measures one choice in a large fleet, with the sums of its lines.
func BenchmarkPickLarge(b *testing.B) {
	for _, n := range []int{150, 1520, 9600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			balancer := newBalancer(engines(n))
			balancer.SetLargeFleet(true)
			now := time.Now()
			for line := range 16 {
				var told LineCounts
				for i := range n / 2 {
					told.Singles = append(told.Singles, uint16(ReplicaHash(fmt.Sprintf("i-%d", (line+i)%n))))
				}
				for i := n / 2; i < n*3/4; i++ {
					told.Counts = append(told.Counts, ReplicaCount{Replica: ReplicaHash(fmt.Sprintf("i-%d", (line+i)%n)), Running: 2})
				}
				balancer.MergeLine(Line{line, 16}, told, Rumors{}, now)
			}
			question := Request{Service: "llm", DataCentre: "dc0", Parts: prompt(5)}
			b.ReportAllocs()
			for b.Loop() {
				balancer.Pick(question, now)
			}
		})
	}
}
