package mesh

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/estimate"
	"mangostand.example/mangostand/pkg/decide/queueing"
)

// stopCheckInterval is the time between two checks whether the queued calls can end
// before their nodes do.
const stopCheckInterval = 100 * time.Millisecond

// StopNotice is what a node that stops sends to the executors at which calls of its
// callers are. Those that have not begun and are not expected to end in time are refused
// there, which tells the entry that they will not run.
type StopNotice struct {
	// PeerAddr is the peer address of the node.
	PeerAddr string `cbor:"1,keyasint"`
	// TimeLeftMicros is the time until its process ends at the latest.
	TimeLeftMicros int64 `cbor:"2,keyasint"`
}

// Receive posts the notice to the executor.
func (s StopNotice) Receive(b *board.MeshBoard, now time.Time) {
	b.EntryStops.Post(board.EntryStop{PeerAddr: s.PeerAddr, EndBy: now.Add(time.Duration(s.TimeLeftMicros) * time.Microsecond)})
}

// endBy returns when the process of the entry of a call or that of this node ends, zero
// if neither stops. callEndBy is what the call says of its entry.
func (x *Executor) endBy(callEndBy time.Time) time.Time {
	return earlier(callEndBy, x.Board.Shutdown.Load().ExitAt)
}

// earlier returns the earlier one of two times, of which zero means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// applyEntryStop notes at the queued calls of an entry that it stops. Later calls tell it
// themselves, or belong to the next process at its address.
func (x *Executor) applyEntryStop(stop board.EntryStop) {
	x.queue.Update(func(job *queueing.Job) {
		if job.Entry == stop.PeerAddr {
			job.EndBy = earlier(job.EndBy, stop.EndBy)
		}
	})
}

// refuseUnfinishable refuses the queued calls that are not expected to end before their
// entry or this node does. It reports whether another check will be due.
func (x *Executor) refuseUnfinishable(now time.Time) bool {
	server, ownExit := x.Board.LocalServer.Load(), x.Board.Shutdown.Load().ExitAt
	load := estimate.Load{Running: x.queue.Running(), Slots: x.availableSlots(server), Speed: x.currentSpeed(server, now)}
	checkAgain := !ownExit.IsZero()
	refused := x.queue.Refuse(func(waiting []queueing.Job) []int {
		for i := range waiting {
			waiting[i].EndBy = earlier(waiting[i].EndBy, ownExit)
			checkAgain = checkAgain || !waiting[i].EndBy.IsZero()
		}
		if !checkAgain {
			return nil
		}
		load.MeanServiceTime = x.meanServiceTimeOr(waiting[0].NominalTime)
		x.setStandings(waiting, now)
		return queueing.Unfinishable(waiting, load, now)
	}, board.ReasonNodeStopping)
	if refused > 0 {
		x.Log.Info().Str("event", "unfinishable_refused").Int("calls", refused).Int("queued", x.queue.Waiting()).
			Bool("own_stop", !ownExit.IsZero()).Send()
	}
	return checkAgain
}
