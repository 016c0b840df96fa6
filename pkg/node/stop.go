package node

import (
	"context"
	"time"

	"mangostand.example/mangostand/pkg/board"
)

const (
	// drainTimeout limits the wait for calls in flight on a graceful stop: the longest
	// deadline of a call, 10 minutes, and the propagation time of the drain.
	drainTimeout = 10*time.Minute + drainPropagationTime
	// drainPropagationTime is the minimum time between the start of the drain and the
	// shutdown of the listener for callers. The other entries stop sending calls to
	// this node within 2 s.
	drainPropagationTime = 2 * time.Second
	// drainPollInterval is the time between two checks of a condition of the drain.
	drainPollInterval = 20 * time.Millisecond
	// leaveTimeout limits the wait until the member state left has been sent to the
	// neighbours.
	leaveTimeout = 2 * time.Second
	// responseFlushTime is the time for peers to receive the last bytes of responses
	// that have been written but not acknowledged yet.
	responseFlushTime = 500 * time.Millisecond
)

// stopGracefully drains the node. The executor refuses new calls immediately, the
// other entries stop sending calls, the calls in flight end, the key records are
// handed over, and the neighbours are told that the node has left. All listeners but
// that for callers stay open meanwhile, so that the backend server can continue to
// announce itself and operators can follow the progress.
func (n *Node) stopGracefully() {
	n.log.Info().Int("in_flight", n.board.Requests.Len()).Msg("draining")
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	n.announceAndWait(ctx, board.AnnounceStop, func() bool { return n.board.LocalServer.Load().Stopping })
	propagated := time.After(drainPropagationTime)
	for _, l := range n.listeners {
		if l.name == "callers" {
			l.server.SetKeepAlivesEnabled(false)
		}
	}
	<-propagated
	for _, l := range n.listeners {
		if l.name == "callers" {
			_ = l.server.Shutdown(ctx)
		}
	}
	if !pollUntil(ctx, func() bool { return n.board.Requests.Len() == 0 }) {
		n.log.Warn().Int("in_flight", n.board.Requests.Len()).Msg("stopping with calls in flight")
	}
	n.executor.HandOverKeyRecords(ctx)
	leaveCtx, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	n.announceAndWait(leaveCtx, board.AnnounceStopped, func() bool { return n.board.Neighbours.Load().LeftSent })
	time.Sleep(responseFlushTime)
	n.log.Info().Msg("left")
}

// announceAndWait posts an announcement, retrying while the inbox is full, and waits
// until done reports that it has taken effect on the board.
func (n *Node) announceAndWait(ctx context.Context, kind board.AnnouncementKind, done func() bool) {
	posted := false
	pollUntil(ctx, func() bool {
		posted = posted || n.board.Announcements.Post(board.Announcement{Kind: kind})
		return done()
	})
}

// pollUntil waits until done returns true. It returns false when ctx ends first.
func pollUntil(ctx context.Context, done func() bool) bool {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}
