package meshnode

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/fleet"
)

const (
	// stopPoll spaces the looks at what is unanswered.
	stopPoll = 20 * time.Millisecond
	// quietStop is the time without any call after which a stopping node that
	// the platform sends no callers to may end.
	quietStop = 300 * time.Millisecond
)

// stop ends the node without cutting a call: it says that it is not ready, runs
// calls of other nodes for a while, answers its callers and ends their
// connections with their last answers.
func (n *Node) stop() {
	started := time.Now()
	plan := fleet.PlanStop(n.settings.Bounds.Grace)
	n.stopping.Publish(&board.ShutdownState{Requested: true})
	n.callers.Drain()
	n.log.Info().Str("event", "stopping").Int("unanswered", n.entry.InFlight()+n.executor.InFlight()).
		Dur("grace", n.settings.Bounds.Grace).Send()
	last := started.Add(plan.ExitAfter)
	leaving := false
	var quietSince time.Time
	for now := started; now.Before(last); now = time.Now() {
		busy := n.callers.Active() > 0 || n.peerServer.Active() > 0 || n.executor.InFlight() > 0
		switch {
		case busy:
			quietSince = time.Time{}
		case quietSince.IsZero():
			quietSince = now
		}
		if !leaving && now.Sub(started) >= plan.AnnounceLeavingAfter {
			leaving = true
			n.stopping.Publish(&board.ShutdownState{Requested: true, Leaving: true})
		}
		if now.Sub(started) > plan.CloseCallersAfter {
			_ = n.listeners["callers"].Close()
			open := n.callers.CloseIdle()
			if open == 0 && !quietSince.IsZero() && now.Sub(quietSince) > quietStop {
				break
			}
		}
		time.Sleep(stopPoll)
	}
}
