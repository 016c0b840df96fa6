package meshnode

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/fleet"
)

const (
	// stopPollInterval is the interval at which a stopping node checks for
	// calls in flight.
	stopPollInterval = 20 * time.Millisecond
	// quietPeriod is the time without calls after which a stopping node exits,
	// once the platform has stopped sending callers to it.
	quietPeriod = 300 * time.Millisecond
)

// stop shuts the node down without cutting off calls. The node reports
// itself not ready, executes calls of other nodes for a while, responds to
// its callers and closes each caller's connection with the last response.
// The executors refuse calls that are not expected to end in time.
func (n *Node) stop() {
	started := time.Now()
	plan := fleet.PlanStop(n.settings.PlatformLimits.StopGracePeriod)
	exitBy := started.Add(plan.ExitAfter)
	n.shutdownWriter.Publish(&board.ShutdownState{Requested: true, ExitAt: exitBy})
	n.callerServer.Drain()
	n.log.Info().Str("event", "stopping").Int("unanswered", n.entry.InFlight()+n.executor.InFlight()).
		Dur("grace", n.settings.PlatformLimits.StopGracePeriod).Send()
	leaving := false
	var quietSince time.Time
	for now := started; now.Before(exitBy); now = time.Now() {
		busy := n.callerServer.ActiveRequests() > 0 || n.peerServer.ActiveRequests() > 0 || n.executor.InFlight() > 0
		switch {
		case busy:
			quietSince = time.Time{}
		case quietSince.IsZero():
			quietSince = now
		}
		if !leaving && now.Sub(started) >= plan.AnnounceLeavingAfter {
			leaving = true
			n.shutdownWriter.Publish(&board.ShutdownState{Requested: true, Leaving: true, ExitAt: exitBy})
		}
		if now.Sub(started) > plan.CloseCallersAfter {
			_ = n.listeners["callers"].Close()
			openConns := n.callerServer.CloseIdleConns()
			if openConns == 0 && !quietSince.IsZero() && now.Sub(quietSince) > quietPeriod {
				break
			}
		}
		time.Sleep(stopPollInterval)
	}
}
