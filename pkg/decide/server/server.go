// Package server decides how announcements and health checks change the state
// of a backend server. All functions are pure.
package server

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
)

// Result is the effect of an event on the state.
type Result uint8

// Effects of an event.
const (
	// Applied means that the event changed the state.
	Applied Result = iota
	// Unchanged means that the state already agrees with the event.
	Unchanged
	// Stale means that the event is outdated or would undo a drain.
	Stale
)

// maxHeartbeatDelay bounds the delay of a heartbeat. One that arrives this long after the
// first was sent after this process started, so that its backend server had not left when
// an earlier process ended.
const maxHeartbeatDelay = 5 * time.Second

// Apply returns the state after an event and the effect of the event.
func Apply(current board.BackendServer, event board.ServerEvent, now time.Time) (board.BackendServer, Result) {
	next, result := apply(current, event, now)
	if event.Kind != board.ServerEventEarlierRecord && event.Kind != board.ServerEventLeaving {
		next.Earlier = current.Earlier
	}
	return next, result
}

func apply(current board.BackendServer, event board.ServerEvent, now time.Time) (board.BackendServer, Result) {
	switch event.Kind {
	case board.ServerEventUnreachable:
		if current.ID == "" || current.Down {
			return current, Unchanged
		}
		if !sameIncarnation(current, event.Server) {
			return current, Stale
		}
		current.Down = true
		return current, Applied
	case board.ServerEventReachable:
		if !current.Down {
			return current, Unchanged
		}
		current.Down = false
		return restarted(current, event, now), Applied
	case board.ServerEventWarmup:
		return applyWarmup(current, event, now)
	case board.ServerEventLeaving:
		return applyLeave(current, event, now)
	case board.ServerEventHealthResponse:
		return applyHealthResponse(current, event, now)
	case board.ServerEventEarlierRecord:
		return applyEarlierRecord(current, event)
	case board.ServerEventHealthRefused:
		return applyHealthRefused(current, event.Server)
	}
	return applyHeartbeat(current, event, now)
}

// sameIncarnation reports whether an event is about the current incarnation of
// the backend server. An event without a start time is matched by its ID
// alone.
func sameIncarnation(current board.BackendServer, announced board.BackendServer) bool {
	return board.SameServerIncarnation(current.ID, current.StartMillis, announced.ID, announced.StartMillis)
}

// fromEarlierIncarnation reports whether an event is about an incarnation that
// started before the current one.
func fromEarlierIncarnation(current board.BackendServer, announced board.BackendServer) bool {
	return announced.StartMillis != 0 && current.StartMillis != 0 && announced.StartMillis < current.StartMillis
}

// isOutdated reports whether a heartbeat is about another backend server than the
// known one and cannot be shown to be about a later one.
func isOutdated(known, announced board.BackendServer) bool {
	return known.ID != "" && !sameIncarnation(known, announced) && known.StartMillis != 0 && announced.StartMillis < known.StartMillis
}

// asServer returns the backend server of the record of an earlier process.
func asServer(earlier board.EarlierServer) board.BackendServer {
	return board.BackendServer{ID: earlier.ID, StartMillis: earlier.StartMillis, State: earlier.State}
}

// isWithdrawn reports whether an earlier process, or this one before the current
// backend server, acknowledged that a backend server drains or leaves.
func isWithdrawn(earlier board.EarlierServer, server board.BackendServer) bool {
	return earlier.ID != "" && earlier.State >= board.ServerDraining && sameIncarnation(asServer(earlier), server)
}

// applyHeartbeat applies a heartbeat of the backend server.
func applyHeartbeat(current board.BackendServer, event board.ServerEvent, now time.Time) (board.BackendServer, Result) {
	announced := event.Server
	if isOutdated(current, announced) || isOutdated(asServer(current.Earlier), announced) {
		return current, Stale
	}
	if isWithdrawn(current.Earlier, announced) && announced.State < current.Earlier.State {
		return current, Stale
	}
	if current.ID == "" || !sameIncarnation(current, announced) {
		next := stateFromEvent(event, now)
		next.Unconfirmed = next.State == board.ServerReady && needsConfirmation(current)
		next.HealthRefused = next.Unconfirmed && current.HealthRefused
		return next, Applied
	}
	if announced.Sequence <= current.Sequence {
		return current, lateHeartbeatResult(current, announced)
	}
	if current.State >= board.ServerDraining && announced.State < current.State {
		// An incarnation that drains or has left does not become ready again.
		return current, Stale
	}
	next := withEarlierWarmup(stateFromEvent(event, now), current, now)
	if current.State >= board.ServerDraining {
		next.State = max(current.State, announced.State)
		next.DrainingSince = current.DrainingSince
	}
	if current.Unconfirmed && next.State == board.ServerReady && now.Sub(current.LastHeardAt) < maxHeartbeatDelay {
		next.Unconfirmed, next.HealthRefused, next.LastHeardAt = true, current.HealthRefused, current.LastHeardAt
	}
	if next.State == current.State && next.Slots == current.Slots && next.Service == current.Service &&
		next.Addr == current.Addr && !current.Down && current.StartMillis == next.StartMillis && current.Unconfirmed == next.Unconfirmed {
		return next, Unchanged
	}
	return next, Applied
}

// needsConfirmation reports whether a heartbeat of another backend server than the
// current one may be a late one that nothing else contradicts. This is so until this
// process has received an announcement or a health response, or has found all that the
// earlier process had recorded, and while the current one is known from a health response
// only, which has no start time. After a refused health check the record is no proof: the
// leaving may have been acknowledged while the store was away. A missing record is no
// proof either.
func needsConfirmation(current board.BackendServer) bool {
	if current.ID != "" && current.StartMillis == 0 {
		return true
	}
	return (current.LastHeardAt.IsZero() || current.Unconfirmed) && (!current.Earlier.Current || current.HealthRefused)
}

// lateHeartbeatResult returns the effect of a heartbeat that is not newer than
// the state.
func lateHeartbeatResult(current, announced board.BackendServer) Result {
	if announced.State <= current.State {
		return Unchanged
	}
	return Stale
}

// stateFromEvent returns the state that an event describes.
func stateFromEvent(event board.ServerEvent, now time.Time) board.BackendServer {
	next := event.Server
	next.LastHeardAt = now
	next.WarmupEndsAt, next.WarmupReported = now.Add(event.Warmup), event.WarmupReported
	next.StartedAt = startTime(next.StartMillis, now)
	if next.State >= board.ServerDraining {
		next.DrainingSince = now
	}
	return next
}

// applyLeave applies the announcement that the backend server leaves.
func applyLeave(current board.BackendServer, event board.ServerEvent, now time.Time) (board.BackendServer, Result) {
	announced := event.Server
	announced.State = board.ServerGone
	later := fromEarlierIncarnation(announced, current)
	if current.ID != "" && !later && (current.ID != announced.ID || fromEarlierIncarnation(current, announced)) {
		// A late heartbeat of that backend server must not replace the current one.
		next := current
		if announced.StartMillis != 0 {
			next.Earlier = mergeEarlier(current.Earlier, announced)
		}
		return next, Stale
	}
	if current.ID == announced.ID && current.State == board.ServerGone && !later {
		return current, Unchanged
	}
	next := current
	if next.ID == "" || later {
		// The server left before its first heartbeat arrived.
		next = announced
		next.Earlier = current.Earlier
	}
	next.StartMillis = max(next.StartMillis, announced.StartMillis)
	if current.State < board.ServerDraining || current.ID == "" || later {
		next.DrainingSince = now
	}
	next.State, next.Unconfirmed, next.HealthRefused = board.ServerGone, false, false
	next.LastHeardAt = now
	return next, Applied
}

// applyHealthResponse applies the response to a health check of a backend server
// that has not announced itself yet, or whose only heartbeat may have been late.
func applyHealthResponse(current board.BackendServer, event board.ServerEvent, now time.Time) (board.BackendServer, Result) {
	if current.ID != "" && !current.Unconfirmed {
		return current, Unchanged
	}
	responding := event.Server
	if current.ID == responding.ID {
		// A later start under the same ID has ended the earlier incarnation.
		responding.StartMillis = current.StartMillis
	}
	if isWithdrawn(current.Earlier, responding) {
		return current, Stale
	}
	if current.ID == responding.ID {
		current.Unconfirmed, current.HealthRefused = false, false
		return reportedWarmup(current, event, now), Applied
	}
	next := stateFromEvent(event, now)
	next.Sequence = -1
	return next, Applied
}

// applyHealthRefused applies a health check to which the backend server answered that
// it drains or fails. A confirmed backend server may answer so and go on.
func applyHealthRefused(current, refusing board.BackendServer) (board.BackendServer, Result) {
	if current.HealthRefused || current.ID != "" && (!current.Unconfirmed || refusing.ID != "" && refusing.ID != current.ID) {
		return current, Unchanged
	}
	current.HealthRefused = true
	return current, Applied
}

// applyEarlierRecord applies the record of an earlier process of this node. What that
// process acknowledged binds this one.
func applyEarlierRecord(current board.BackendServer, event board.ServerEvent) (board.BackendServer, Result) {
	next := current
	next.Earlier = mergeEarlier(current.Earlier, event.Server)
	next.Earlier.Current = next.Earlier.Current || event.RecordCurrent && !event.RecordMissing
	earlier := asServer(next.Earlier)
	withdrawn := isWithdrawn(next.Earlier, earlier)
	outdated := fromEarlierIncarnation(earlier, current)
	switch {
	case withdrawn && (current.ID == "" || outdated):
		next = board.BackendServer{ID: earlier.ID, StartMillis: earlier.StartMillis, State: earlier.State, Sequence: -1, Earlier: next.Earlier}
	case outdated:
		// The health check finds out whether the later server is still there.
		next = board.BackendServer{Earlier: next.Earlier}
	case withdrawn && sameIncarnation(earlier, current) && current.State < earlier.State:
		// The start time distinguishes a later start under the same ID.
		next.StartMillis = max(current.StartMillis, earlier.StartMillis)
		next.State, next.Unconfirmed, next.HealthRefused = earlier.State, false, false
		next.DrainingSince, next.LastHeardAt = time.Time{}, time.Time{}
	default:
		next.Unconfirmed = current.Unconfirmed && (!next.Earlier.Current || current.HealthRefused)
	}
	if next == current {
		return current, Unchanged
	}
	return next, Applied
}

// mergeEarlier returns the later of two records of earlier processes. Of one
// incarnation, the state that is closer to its end counts.
func mergeEarlier(earlier board.EarlierServer, recorded board.BackendServer) board.EarlierServer {
	found := board.EarlierServer{Current: earlier.Current, ID: recorded.ID, StartMillis: recorded.StartMillis, State: recorded.State}
	switch {
	case earlier.ID == "":
		return found
	case found.ID == "", isOutdated(asServer(earlier), recorded):
		return earlier
	case sameIncarnation(asServer(earlier), recorded):
		found.State = max(found.State, earlier.State)
		found.StartMillis = max(found.StartMillis, earlier.StartMillis)
	}
	return found
}

// startTime returns the time of a start in Unix milliseconds, not after now. An
// unknown start is taken to be now.
func startTime(startMillis int64, now time.Time) time.Time {
	if startMillis == 0 {
		return now
	}
	return now.Add(-max(0, now.Sub(time.UnixMilli(startMillis))))
}

// withEarlierWarmup returns the state after a heartbeat with what was known before
// about the warm-up of the same incarnation. A backend server that was down has
// started again, even if it still names its earlier start.
func withEarlierWarmup(next, current board.BackendServer, now time.Time) board.BackendServer {
	if current.Down {
		next.StartedAt = now
		return next
	}
	if !current.StartedAt.IsZero() && (next.StartMillis == 0 || next.StartMillis == current.StartMillis) {
		next.StartedAt = current.StartedAt
	}
	if !next.WarmupReported && current.WarmupReported {
		next.WarmupReported, next.WarmupEndsAt = true, current.WarmupEndsAt
	}
	return next
}

// restarted returns the state of a backend server that was down and is reachable
// again. It may be another process, whose start is not known yet.
func restarted(current board.BackendServer, event board.ServerEvent, now time.Time) board.BackendServer {
	current.StartedAt, current.WarmupReported = now, false
	return reportedWarmup(current, event, now)
}

// reportedWarmup returns the state with the warm-up that an event reports, if any.
func reportedWarmup(current board.BackendServer, event board.ServerEvent, now time.Time) board.BackendServer {
	if event.WarmupReported {
		current.WarmupReported, current.WarmupEndsAt = true, now.Add(event.Warmup)
	}
	return current
}

// applyWarmup applies the warm-up that the backend server reported in a response.
func applyWarmup(current board.BackendServer, event board.ServerEvent, now time.Time) (board.BackendServer, Result) {
	if current.ID == "" || !sameIncarnation(current, event.Server) {
		return current, Stale
	}
	next := reportedWarmup(current, event, now)
	if next == current {
		return current, Unchanged
	}
	return next, Applied
}
