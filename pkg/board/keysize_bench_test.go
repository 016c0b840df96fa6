package board

import (
	"runtime"
	"strconv"
	"testing"
	"time"
)

// BenchmarkKeyRecordSize compares the counted size of a record with the heap
// that it takes.
func BenchmarkKeyRecordSize(b *testing.B) {
	for b.Loop() {
		const count = 100_000
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		keys := NewKeyTables()
		for i := range count {
			id := KeyID{Service: "bookings", Caller: "atelier", Key: "01930000-0000-7000-8000-" + strconv.Itoa(100_000_000_000+i)}
			keys.HomeRecords.Insert(id, &KeyRecord{
				State: KeyGranted, RequestDigest: string(make([]byte, 64)), Executor: "n1", RequestID: string(make([]byte, 36)),
				ExpiresAt: time.Now(),
			}, 1<<30)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(keys.SizeBytes())/count, "counted-bytes/record")
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "heap-bytes/record")
		runtime.KeepAlive(keys)
	}
}
