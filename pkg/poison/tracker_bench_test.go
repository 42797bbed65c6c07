package poison

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkMemory reports the heap bytes of a full tracker.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		m := New(Options{Limits: limits})
		for n := range maxAnswered {
			m.RecordSuccess(NewDigest("served", "", "", "", fmt.Append(nil, n)), at(0))
		}
		for n := range maxSuspects {
			m.RecordCrash(NewDigest("suspect", "", "", "", fmt.Append(nil, n)), 1, at(0), at(0))
		}
		for n := range maxHeld {
			for replica := range uint32(3) {
				m.RecordCrash(NewDigest("held", "", "", "", fmt.Append(nil, n)), replica, at(0), at(0))
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "bytes")
		runtime.KeepAlive(m)
	}
}
