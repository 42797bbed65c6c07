package origin

import (
	"runtime"
	"testing"
)

// What a full table takes, in bytes a record.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := NewTable()
		for n := range maxRecords {
			table.Record(Key(n), "v1.2.3", true, at(0), lifespan)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/maxRecords, "B/record")
		runtime.KeepAlive(table)
	}
}

func BenchmarkRecordAndFind(b *testing.B) {
	tracker := NewTracker(lifespan)
	tracker.Observe("s", []string{"v1", "v2"}, true, at(0))
	n := 0
	for b.Loop() {
		n++
		tracker.Record(Key(n), "v1", true, at(float64(n)/1000))
		tracker.Find("s", Key(n), at(float64(n)/1000))
	}
}
