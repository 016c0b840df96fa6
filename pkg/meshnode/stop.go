package meshnode

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
)

const (
	// acceptAfterStop is how long a stopping node takes new calls: until the
	// platform has noticed twice, a second apart, that it is not ready.
	acceptAfterStop = 3 * time.Second
	// stopMargin is left before the platform's kill to withdraw from the store
	// and to write the last lines of the log.
	stopMargin = 900 * time.Millisecond
	// stopPoll spaces the looks at what is unanswered.
	stopPoll = 20 * time.Millisecond
	// quietStop is the time without any call after which a stopping node that
	// the platform sends no callers to may end.
	quietStop = 300 * time.Millisecond
)

// stop ends the node without cutting a call: it says that it is not ready,
// refuses calls of other nodes for its backend server, answers its callers and
// ends their connections with their last answers.
func (n *Node) stop() {
	started := time.Now()
	n.stopping.Publish(&board.Stopping{Active: true, Since: started})
	n.callers.Drain()
	n.log.Info().Str("event", "stopping").Int("unanswered", n.entry.Active()+n.executor.InFlight()).
		Dur("grace", n.settings.Bounds.Grace).Send()
	last := started.Add(n.settings.Bounds.Grace - stopMargin)
	var quietSince time.Time
	for now := started; now.Before(last); now = time.Now() {
		busy := n.callers.Active() > 0 || n.peerServer.Active() > 0 || n.executor.InFlight() > 0
		switch {
		case busy:
			quietSince = time.Time{}
		case quietSince.IsZero():
			quietSince = now
		}
		if now.Sub(started) > acceptAfterStop {
			_ = n.listeners["callers"].Close()
			open := n.callers.CloseIdle()
			if open == 0 && !quietSince.IsZero() && now.Sub(quietSince) > quietStop {
				break
			}
		}
		time.Sleep(stopPoll)
	}
}
