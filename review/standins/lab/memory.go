package lab

import (
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// MemoryLimitMB is the memory of a machine's process.
const MemoryLimitMB = 284

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	kb := 0
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.HasPrefix(line, "VmRSS:") {
			_, _ = fmt.Sscanf(strings.TrimPrefix(line, "VmRSS:"), "%d", &kb)
		}
	}
	return kb / 1024
}

// MemoryGuard does what the platform does: it kills a process that exceeds its
// memory, and starts it again after a short delay.
type MemoryGuard struct {
	Kills  atomic.Int64
	PeakMB atomic.Int64
	// OnKill is called just before a process is killed.
	OnKill func()
}

// Watch watches a node until the end of the program.
func (g *MemoryGuard) Watch(n *Node) {
	go func() {
		for {
			time.Sleep(5 * time.Millisecond)
			pid := n.PID()
			if pid == 0 {
				continue
			}
			mb := residentMB(pid)
			if int64(mb) > g.PeakMB.Load() {
				g.PeakMB.Store(int64(mb))
			}
			if mb <= MemoryLimitMB {
				continue
			}
			if g.OnKill != nil {
				g.OnKill()
			}
			n.site.Record.Add("platform: node %s uses %d MB of %d, killed", n.Name, mb, MemoryLimitMB)
			n.Kill()
			g.Kills.Add(1)
			time.Sleep(500 * time.Millisecond)
			_ = n.Start()
		}
	}()
}
