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
		keys := NewKeys()
		for i := range count {
			id := KeyID{Service: "bookings", Caller: "atelier", Key: "01930000-0000-7000-8000-" + strconv.Itoa(100_000_000_000+i)}
			keys.Homes.Insert(id, &KeyRecord{
				State: KeyGranted, Digest: string(make([]byte, 64)), Executor: "n1", RequestID: string(make([]byte, 36)),
				Expires: time.Now(),
			}, 1<<30)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(keys.Used())/count, "counted-bytes/record")
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "heap-bytes/record")
		runtime.KeepAlive(keys)
	}
}
