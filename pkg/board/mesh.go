package board

import (
	"sync"
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/decide/idle"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/routedoc"
)

// Inbox sizes of a mesh node in events.
const (
	serverEventInboxSize     = 64
	suspectedServerInboxSize = 16
	nodeRecordInboxSize      = 256
	routeTableHintInboxSize  = 64
	executionResultInboxSize = 256
	suspicionInboxSize       = 64
)

// MeshBoard is the blackboard of a mesh node, which runs on the users' platform.
// There calls have no idempotency keys, and the node gets the routes and finds
// other nodes in the platform's store. docs/platform.md lists the writer and the
// readers of each section.
type MeshBoard struct {
	// Self identifies this node. It does not change.
	Self NodeIdentity
	// Routes is written by control/routefeed.
	Routes *Section[*dynconf.RouteTable]
	// RouteDocument is the document of Routes, for nodes that pull it from this one. It
	// is written by control/routefeed before Routes.
	RouteDocument *Section[*routedoc.Set]
	// IdleTimeouts is the history of the idle timeout of callers' connections. It is
	// written by control/routefeed.
	IdleTimeouts *Section[idle.Timeouts]
	// LocalServer is written by control/localserver.
	LocalServer *Section[*BackendServer]
	// Fleet is written by control/directory.
	Fleet *Section[*Fleet]
	// Store is written by control/registration.
	Store *Section[*StoreStatus]
	// Shutdown is written by the node itself.
	Shutdown *Section[*ShutdownState]
	// Quarantine is written by control/quarantine.
	Quarantine *Section[*Quarantine]

	// ServerLoad holds the latest load report of the local backend server.
	ServerLoad *ServerLoad
	// Link schedules the bytes sent on the network link of the machine.
	Link *LinkPacer
	// CallStats holds the service time and response size of the calls of each
	// rule.
	CallStats *StatsByRule
	// AttemptCounters counts the calls and the additional attempts of each
	// service.
	AttemptCounters *AttemptCounters

	// ConfigConfirmed is the last time at which some node found in the store that
	// the routes in force here are the newest ones.
	ConfigConfirmed *ConfirmedVersion

	// Announcements carries events about the local backend server to
	// control/localserver.
	Announcements *Inbox[ServerEvent]
	// SuspectedServers carries incarnations of the local backend server that may
	// have ended, because a connection broke while a call ran, to control/healthcheck.
	SuspectedServers *Inbox[BackendServer]
	// NodeRecords carries received node records to control/directory.
	NodeRecords *Inbox[NodeRecordBatch]
	// RouteTableHints reports nodes with newer route tables to control/routefeed.
	RouteTableHints *Inbox[RouteTableHint]
	// ExecutionResults and Suspicions report requests that may crash backend
	// servers to control/quarantine: the former come from the local executor, the
	// latter from other nodes.
	ExecutionResults *Inbox[ExecutionResult]
	Suspicions       *Inbox[[]Suspicion]
}

// NodeIdentity identifies a node.
type NodeIdentity struct {
	Instance      InstanceID
	Region        string
	FailureDomain string
	// Service is the service of the local backend server.
	Service string
	// PeerAddr is the address for other nodes.
	PeerAddr string
	// ServerAddr is the address of the local backend server.
	ServerAddr string
	// LinkRate is the usable rate of the machine's network link in bytes per
	// second, 0 when unknown.
	LinkRate float64
}

// NewMeshBoard returns the board of a mesh node with empty sections.
func NewMeshBoard(self NodeIdentity) *MeshBoard {
	return &MeshBoard{
		Self:             self,
		Routes:           NewSection("routes", dynconf.EmptyRouteTable()),
		RouteDocument:    NewSection("route_document", &routedoc.Set{}),
		IdleTimeouts:     NewSection("idle_timeouts", idle.Timeouts{}.With(dynconf.DefaultCallerLimits().IdleTimeout, time.Now())),
		LocalServer:      NewSection("server", &BackendServer{}),
		Fleet:            NewSection("fleet", &Fleet{ByService: map[string][]*MeshEndpoint{}, ByInstance: map[InstanceID]*MeshEndpoint{}}),
		Store:            NewSection("store", &StoreStatus{}),
		Shutdown:         NewSection("stopping", &ShutdownState{}),
		Quarantine:       NewSection("quarantine", &Quarantine{}),
		ServerLoad:       &ServerLoad{},
		Link:             NewLinkPacer(self.LinkRate),
		CallStats:        &StatsByRule{},
		AttemptCounters:  NewAttemptCounters(time.Now()),
		ConfigConfirmed:  &ConfirmedVersion{},
		Announcements:    NewInbox[ServerEvent](serverEventInboxSize),
		SuspectedServers: NewInbox[BackendServer](suspectedServerInboxSize),
		NodeRecords:      NewInbox[NodeRecordBatch](nodeRecordInboxSize),
		RouteTableHints:  NewInbox[RouteTableHint](routeTableHintInboxSize),
		ExecutionResults: NewInbox[ExecutionResult](executionResultInboxSize),
		Suspicions:       NewInbox[[]Suspicion](suspicionInboxSize),
	}
}

// ConfirmedVersion is the configuration version that was last found to be the newest
// one in the store, and when.
type ConfirmedVersion struct {
	latest atomic.Pointer[versionConfirmation]
}

type versionConfirmation struct {
	version uint64
	at      time.Time
}

// Confirm records that a version was the newest one at a time. A lower version than the
// one that was confirmed last, or an earlier time for the same one, changes nothing.
func (c *ConfirmedVersion) Confirm(version uint64, at time.Time) {
	next := &versionConfirmation{version, at}
	for {
		old := c.latest.Load()
		if old != nil && (version < old.version || version == old.version && !at.After(old.at)) || c.latest.CompareAndSwap(old, next) {
			return
		}
	}
}

// Age returns the time elapsed since a version was confirmed, or one hour if it was not
// or if a later one was.
func (c *ConfirmedVersion) Age(version uint64, now time.Time) time.Duration {
	confirmed := c.latest.Load()
	if confirmed == nil || confirmed.version != version {
		return time.Hour
	}
	return now.Sub(confirmed.at)
}

// ConfigAdvertisement is the configuration version that a node advertises to
// others.
type ConfigAdvertisement struct {
	// Version is the version of the routes in force at the node.
	Version uint64 `cbor:"1,keyasint"`
	// ConfirmedAgeMillis is the age of the last confirmation that Version is the
	// newest one.
	ConfirmedAgeMillis int64 `cbor:"2,keyasint"`
}

// assumedTransitDelay is added to the age of a received confirmation for the
// network delay of the message.
const assumedTransitDelay = 20 * time.Millisecond

// ConfigAdvertisement returns the advertisement of this node.
func (b *MeshBoard) ConfigAdvertisement(now time.Time) ConfigAdvertisement {
	version := b.Routes.Load().Version
	return ConfigAdvertisement{Version: version, ConfirmedAgeMillis: b.ConfigConfirmed.Age(version, now).Milliseconds()}
}

// ReceiveConfigAdvertisement processes the advertisement of the node with the
// peer address from. An equal version confirms the routes in force; a higher one
// makes control/routefeed fetch the routes.
func (b *MeshBoard) ReceiveConfigAdvertisement(ad ConfigAdvertisement, from string, now time.Time) {
	switch current := b.Routes.Load().Version; {
	case ad.Version == current:
		b.ConfigConfirmed.Confirm(current, now.Add(-time.Duration(ad.ConfirmedAgeMillis)*time.Millisecond-assumedTransitDelay))
	case ad.Version > current && from != "":
		b.RouteTableHints.Post(RouteTableHint{From: from, Version: ad.Version})
	}
}

// ShutdownState is the progress of the shutdown of the node.
type ShutdownState struct {
	// Requested is set when the node has been asked to stop.
	Requested bool
	// Leaving is set some time after the request. From then on the node announces
	// to other nodes that its backend server accepts no more calls.
	Leaving bool
}

// StoreStatus is the reachability of the platform's store and the node records
// read from it.
type StoreStatus struct {
	// Reachable is false from a failed call to the store until one succeeds.
	Reachable bool
	// ReachabilityChangedAt is the time of the last change of Reachable.
	ReachabilityChangedAt time.Time
	// ListedRecords holds the node records of the latest complete listing.
	ListedRecords map[InstanceID]NodeRecord
	// ListingRequestedAt is when that listing was requested, zero when there is
	// none.
	ListingRequestedAt time.Time
}

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
	// DrainingSince is when this node learned that it drains. The zero time means
	// that an earlier process learned it.
	DrainingSince time.Time
	// LastHeardAt is the time of its latest announcement or health response.
	LastHeardAt time.Time
	// Down is set while it does not serve its address.
	Down bool
	// Unconfirmed is set while a heartbeat that may be late is the only sign that it
	// is ready.
	Unconfirmed bool
	// Earlier is what an earlier process of this node has announced.
	Earlier EarlierServer
}

// EarlierServer is the backend server in the record that an earlier process of this
// node has sent to the store and to other nodes.
type EarlierServer struct {
	// Known is set when such a record was found, or when the store has none. In the
	// latter case ID is "".
	Known       bool
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
)

// ServerEvent is an announcement of the local backend server or an observation
// about it.
type ServerEvent struct {
	Kind   ServerEventKind
	Server BackendServer
	// Warmup is how long the backend server stays slow after its start.
	Warmup time.Duration
	// Applied receives whether the event is in force. It is nil when no goroutine
	// waits for the result.
	Applied chan bool
}

// NodeRecord describes a node and its backend server to other nodes.
type NodeRecord struct {
	Instance InstanceID `cbor:"1,keyasint" json:"instance"`
	// Incarnation increases with each start of the node, Sequence with each
	// change of the record within one incarnation.
	Incarnation       uint64      `cbor:"2,keyasint" json:"incarnation"`
	Sequence          uint64      `cbor:"3,keyasint" json:"sequence"`
	PeerAddr          string      `cbor:"4,keyasint" json:"peer_addr"`
	Region            string      `cbor:"5,keyasint" json:"region"`
	FailureDomain     string      `cbor:"6,keyasint" json:"failure_domain"`
	Service           string      `cbor:"7,keyasint" json:"service"`
	ServerID          string      `cbor:"8,keyasint" json:"server_id"`
	ServerStartMillis int64       `cbor:"9,keyasint" json:"born"`
	Slots             int         `cbor:"10,keyasint" json:"slots"`
	State             ServerState `cbor:"11,keyasint" json:"state"`
	// Leaving is set when the node stops.
	Leaving bool `cbor:"12,keyasint" json:"leaving"`
	// Contention is the observed contention of the backend server.
	Contention Contention `cbor:"13,keyasint,omitempty" json:"crowding"`
	// LinkRate is the usable rate of the machine's network link in bytes per
	// second, 0 when unknown.
	LinkRate float64 `cbor:"14,keyasint,omitempty" json:"link_rate"`
}

// Contention says whether a backend server slows down when nearly all of its
// slots are in use.
type Contention uint8

// Contention values.
const (
	ContentionUnknown Contention = iota
	ContentionNone
	ContentionSlowdown
)

// Supersedes reports whether r is newer than other. Of two equally new records, one
// that tells of a leaving backend server supersedes one that does not, see
// fleet.RetainWithdrawal.
func (r NodeRecord) Supersedes(other NodeRecord) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	if r.Sequence != other.Sequence {
		return r.Sequence > other.Sequence
	}
	return r.State >= ServerDraining && r.State > other.State
}

// AcceptsCalls reports whether the backend server of the node accepts new calls.
func (r NodeRecord) AcceptsCalls() bool {
	return r.State == ServerReady && !r.Leaving && r.ServerID != ""
}

// NodeRecordBatch is a set of node records from one source.
type NodeRecordBatch struct {
	Records []NodeRecord
	// From is the node that sent the records, "" for the store.
	From InstanceID
}

// RouteTableHint reports the version of the route table at another node.
type RouteTableHint struct {
	// From is the peer address of the node.
	From    string
	Version uint64
}

// MeshEndpoint is one node of the fleet with its counters.
type MeshEndpoint struct {
	Record NodeRecord
	*EndpointStats
	Reachability *Reachability
}

// Reachability records the results of exchanges with another node.
type Reachability struct {
	// lastResponse is the time of the last response, failuresSinceResponse the
	// number of exchanges since then that got none.
	lastResponse          atomic.Pointer[time.Time]
	failuresSinceResponse atomic.Int32
	replaced              atomic.Bool
}

// RecordResponse records a response of the node.
func (r *Reachability) RecordResponse(now time.Time) {
	r.lastResponse.Store(&now)
	r.failuresSinceResponse.Store(0)
}

// MarkReplaced records that another node responds at the node's address.
func (r *Reachability) MarkReplaced() { r.replaced.Store(true) }

// Replaced reports whether another node responds at the node's address.
func (r *Reachability) Replaced() bool { return r.replaced.Load() }

// RecordFailure records an exchange that got no response.
func (r *Reachability) RecordFailure() { r.failuresSinceResponse.Add(1) }

// Suspected reports whether the latest exchange with the node failed. The
// directory controller contacts a suspected node repeatedly until it responds.
func (r *Reachability) Suspected() bool { return r.failuresSinceResponse.Load() > 0 }

// RespondedSince reports whether the last response of the node came at t or
// later.
func (r *Reachability) RespondedSince(t time.Time) bool {
	last := r.lastResponse.Load()
	return last != nil && !last.Before(t)
}

// Fleet is an immutable view of the live nodes.
type Fleet struct {
	ByInstance map[InstanceID]*MeshEndpoint
	// ByService holds the nodes whose backend server accepts calls, by service.
	ByService map[string][]*MeshEndpoint
	// Size is the number of live nodes, this one included.
	Size int
	// BucketDigests are hashes of the node records by bucket, which nodes compare
	// to find differences.
	BucketDigests []uint32
	// Contention is the value that the majority of the nodes of this node's
	// service have observed.
	Contention Contention
}

// ServerLoad holds the latest load report of the local backend server and its
// observed contention.
type ServerLoad struct {
	report     atomic.Pointer[ServerLoadReport]
	contention atomic.Uint32
}

// ServerLoadReport is a load report of a backend server.
type ServerLoadReport struct {
	Running, Waiting, Slots int
	// Slowdown is the current service time relative to the normal one.
	Slowdown float64
	// MinSlowdown is the minimum of the recent slowdowns.
	MinSlowdown float64
	// ReceivedAt is when this node received the report.
	ReceivedAt time.Time
}

// SetReport stores the latest report.
func (l *ServerLoad) SetReport(report ServerLoadReport) { l.report.Store(&report) }

// SetContention stores the observed contention.
func (l *ServerLoad) SetContention(c Contention) { l.contention.Store(uint32(c)) }

// Contention returns the observed contention.
func (l *ServerLoad) Contention() Contention { return Contention(l.contention.Load()) }

// LatestReport returns the latest report, or nil when there is none.
func (l *ServerLoad) LatestReport() *ServerLoadReport { return l.report.Load() }

// StatsByRule holds the call statistics of each route rule.
type StatsByRule struct{ byRule sync.Map } // of string to *Stats

// sampleWeight is the weight of a new sample in the moving averages.
const sampleWeight = 0.1

// Stats holds moving averages over the calls of one rule. Service times are
// normalized: they are the times that the calls would have taken at normal speed.
type Stats struct {
	// micros is the average service time in microseconds, responseBytes the
	// average response size.
	micros        atomic.Int64
	responseBytes atomic.Int64
	// low is the average service time in microseconds of calls that ran while the
	// backend server had low load.
	low atomic.Int64
	// longestTimeoutNanos is the longest caller timeout observed.
	longestTimeoutNanos atomic.Int64
}

// maxCallerTimeout limits the timeouts that callers state.
const maxCallerTimeout = time.Minute

// ObserveCallerTimeout records how long a caller waits for the response, and
// returns how much shorter that is than the longest timeout observed. Callers of
// one rule are assumed to use the same timeout, so that the difference is the
// time that earlier attempts of the call have taken.
func (s *Stats) ObserveCallerTimeout(timeout time.Duration) time.Duration {
	timeout = min(timeout, maxCallerTimeout)
	for {
		longest := time.Duration(s.longestTimeoutNanos.Load())
		if timeout <= longest {
			return longest - timeout
		}
		if s.longestTimeoutNanos.CompareAndSwap(int64(longest), int64(timeout)) {
			return 0
		}
	}
}

// ForRule returns the statistics of a rule and creates them when needed.
func (s *StatsByRule) ForRule(rule string) *Stats {
	if v, ok := s.byRule.Load(rule); ok {
		return v.(*Stats)
	}
	v, _ := s.byRule.LoadOrStore(rule, &Stats{})
	return v.(*Stats)
}

// updateAverage adds a sample to an exponentially weighted moving average. The
// first sample sets it.
func updateAverage(target *atomic.Int64, sample int64) {
	for {
		old := target.Load()
		next := sample
		if old > 0 {
			next = old + int64(sampleWeight*float64(sample-old))
		}
		if target.CompareAndSwap(old, max(1, next)) {
			return
		}
	}
}

// AddServiceTime adds the normalized service time of a call.
func (s *Stats) AddServiceTime(d time.Duration) { updateAverage(&s.micros, d.Microseconds()) }

// AddResponseSize adds the size of a response in bytes.
func (s *Stats) AddResponseSize(n int64) { updateAverage(&s.responseBytes, n) }

// AddLowLoadTime adds the normalized service time of a call that ran at low load.
func (s *Stats) AddLowLoadTime(d time.Duration) { updateAverage(&s.low, d.Microseconds()) }

// LowLoadTime returns the average service time at low load, 0 when there is none
// yet.
func (s *Stats) LowLoadTime() time.Duration { return time.Duration(s.low.Load()) * time.Microsecond }

// ServiceTime returns the average service time, 0 when there is none yet.
func (s *Stats) ServiceTime() time.Duration { return time.Duration(s.micros.Load()) * time.Microsecond }

// ResponseSize returns the average response size in bytes, 0 when there is none
// yet.
func (s *Stats) ResponseSize() int64 { return s.responseBytes.Load() }
