package node

import (
	"context"
	"time"

	"mangostand.example/mangostand/pkg/board"
)

const (
	// drainTimeout bounds the wait for calls in flight on a graceful stop: the
	// longest deadline of a call and the time to spread the drain.
	drainTimeout = 10*time.Minute + drainSpread
	// drainSpread is the least time between the drain and the end of the
	// listener for callers. The other entries stop sending within 2 s.
	drainSpread = 2 * time.Second
	// drainPoll spaces the checks for calls in flight.
	drainPoll = 20 * time.Millisecond
	// leaveTimeout bounds the wait for the state left to reach the neighbours.
	leaveTimeout = 2 * time.Second
	// answerLinger is left to the peers to receive the last bytes of answers
	// that are written but not acknowledged yet.
	answerLinger = 500 * time.Millisecond
)

// stop drains the node: the executor refuses new calls at once, the other
// entries learn of it, the calls in flight end, and the neighbours learn that
// the node has left. All listeners but that for callers stay up meanwhile, so
// that the backend server keeps announcing and operators see the progress.
func (n *Node) stop() {
	n.log.Info().Int("in_flight", n.board.Requests.Len()).Msg("draining")
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	n.announce(ctx, board.AnnounceStop, func() bool { return n.board.LocalServer.Load().Stopping })
	spread := time.After(drainSpread)
	for _, l := range n.listeners {
		if l.name == "callers" {
			l.server.SetKeepAlivesEnabled(false)
		}
	}
	<-spread
	for _, l := range n.listeners {
		if l.name == "callers" {
			_ = l.server.Shutdown(ctx)
		}
	}
	if !poll(ctx, func() bool { return n.board.Requests.Len() == 0 }) {
		n.log.Warn().Int("in_flight", n.board.Requests.Len()).Msg("stopping with calls in flight")
	}
	n.executor.HandOverKeyRecords(ctx)
	leave, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	n.announce(leave, board.AnnounceStopped, func() bool { return n.board.Neighbours.Load().LeftSent })
	time.Sleep(answerLinger)
	n.log.Info().Msg("left")
}

// announce posts an announcement until its effect shows on the board.
func (n *Node) announce(ctx context.Context, kind board.AnnouncementKind, done func() bool) {
	posted := false
	poll(ctx, func() bool {
		posted = posted || n.board.Announcements.Post(board.Announcement{Kind: kind})
		return done()
	})
}

// poll waits until done holds and reports whether it did before ctx ended.
func poll(ctx context.Context, done func() bool) bool {
	ticker := time.NewTicker(drainPoll)
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
