package board

import "time"

// ServerState is the state of a backend server.
type ServerState uint8

// Backend server states, ordered from best to worst.
const (
	ServerUnknown ServerState = iota
	ServerReady
	ServerDraining
	ServerGone
)

var serverStateNames = [...]string{"unknown", "ready", "draining", "gone"}

// String returns the name used in logs.
func (s ServerState) String() string {
	if int(s) < len(serverStateNames) {
		return serverStateNames[s]
	}
	return "invalid"
}

// BackendServer is the state of the local backend server.
type BackendServer struct {
	// ID identifies the backend server. It may stay the same after a restart.
	ID string
	// StartMillis is the start time of the process in Unix milliseconds, 0 when
	// unknown.
	StartMillis int64
	// Sequence is the sequence number of its latest announcement.
	Sequence int64
	State    ServerState
	Service  string
	Addr     string
	Slots    int
	// WarmupEndsAt is when it reaches its full speed after the start.
	WarmupEndsAt time.Time
	// WarmupReported is set if the backend server itself reported WarmupEndsAt.
	WarmupReported bool
	// StartedAt is when it started, at the latest: the time of StartMillis, or when this
	// node first saw it or saw it again after it was down.
	StartedAt time.Time
	// DrainingSince is when this node learned that it drains. The zero time means
	// that an earlier process learned it.
	DrainingSince time.Time
	// LastHeardAt is the time of its latest announcement or health response, zero if it is
	// known from a record only. While the server is unconfirmed, it is the time of the
	// first one.
	LastHeardAt time.Time
	// Down is set while it does not serve its address.
	Down bool
	// Unconfirmed is set while a heartbeat that may be late is the only sign that it
	// is ready.
	Unconfirmed bool
	// HealthRefused is set if, before it was confirmed, the backend server answered
	// a health check that it drains or fails.
	HealthRefused bool
	// Earlier is what an earlier process of this node has announced.
	Earlier EarlierServer
}

// EarlierServer is the backend server in the record that an earlier process of this
// node has sent to the store and to other nodes.
type EarlierServer struct {
	// Current is set when the record was found in the store, not in a stale copy, after
	// the earlier process had ended, or if there was no earlier process. Then ID is "" if
	// that process knew no backend server.
	Current     bool
	ID          string
	StartMillis int64
	State       ServerState
}

// AcceptsCalls reports whether the backend server accepts new calls.
func (s *BackendServer) AcceptsCalls() bool {
	return s.State == ServerReady && !s.Down && !s.Unconfirmed
}

// SameServerIncarnation reports whether two pairs of ID and start time name the same
// incarnation of a backend server. If a start time is not known, which is 0, the IDs
// decide.
func SameServerIncarnation(idA string, startMillisA int64, idB string, startMillisB int64) bool {
	return idA == idB && (startMillisA == startMillisB || startMillisA == 0 || startMillisB == 0)
}

// ServerEventKind is the kind of a server event.
type ServerEventKind uint8

// Server event kinds.
const (
	// ServerEventHeartbeat is a heartbeat announced by the backend server.
	ServerEventHeartbeat ServerEventKind = iota
	// ServerEventLeaving means that the backend server announced that it leaves.
	ServerEventLeaving
	// ServerEventHealthResponse means that a backend server responded to a health
	// request before it announced itself.
	ServerEventHealthResponse
	// ServerEventUnreachable means that the backend server no longer serves its
	// address.
	ServerEventUnreachable
	// ServerEventReachable reverts ServerEventUnreachable.
	ServerEventReachable
	// ServerEventEarlierRecord means that the record of an earlier process of this
	// node was found, or that the store has none. In the latter case the ID of the
	// server is "".
	ServerEventEarlierRecord
	// ServerEventWarmup means that the backend server reported in a response how long it
	// stays cold.
	ServerEventWarmup
	// ServerEventHealthRefused means that a backend server answered a health check that
	// it drains or fails. The ID of the server is "" if the answer did not name it.
	ServerEventHealthRefused
)

// ServerEvent is an announcement of the local backend server or an observation
// about it.
type ServerEvent struct {
	Kind   ServerEventKind
	Server BackendServer
	// Warmup is how long the backend server stays cold. It is valid if WarmupReported is
	// set.
	Warmup         time.Duration
	WarmupReported bool
	// RecordCurrent is set in a ServerEventEarlierRecord of a read that shows all that
	// the earlier process had recorded. Records of stale reads and of other nodes may
	// be older than that.
	RecordCurrent bool
	// RecordMissing is set if that read found no record, and it is not the first start. A
	// record ends with its lease, so that nothing is known then.
	RecordMissing bool
	// Applied receives whether the event is in force. It is nil when no goroutine
	// waits for the result.
	Applied chan bool
}
