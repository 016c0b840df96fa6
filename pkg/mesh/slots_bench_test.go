package mesh

import (
	"testing"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
)

// The checks that each call makes at the executor: without a limit for cold servers,
// with one beside a warm server, and with one beside a cold server.
func BenchmarkCallChecks(b *testing.B) {
	for name, c := range map[string]struct {
		rate     float64
		coldTime time.Duration
	}{"no limit": {0, 0}, "warm": {1000, 0}, "cold": {1e6, time.Hour}} {
		b.Run(name, func(b *testing.B) {
			x := newHangExecutor(false)
			x.WarmupOvershoot = 1.5
			x.Board.Routes.Load().Clusters["desk"] = &dynconf.Cluster{Warmup: dynconf.WarmupLimit{Rate: c.rate}}
			server := &board.BackendServer{WarmupReported: true, WarmupEndsAt: time.Now().Add(c.coldTime), Slots: 4}
			*x.Board.LocalServer.Load() = *server
			for b.Loop() {
				x.availableSlots(server)
				x.warmupDecision(0, time.Now())
				x.permitSend()
			}
		})
	}
}
