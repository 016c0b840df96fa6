package board

import (
	"sync"
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/dynconf"
)

// Sizes of the inboxes of a mesh node, in events.
const (
	heartbeatInboxSize = 64
	doubtsInboxSize    = 16
	recordsInboxSize   = 256
	tableInboxSize     = 64
	executionInboxSize = 256
	suspicionInboxSize = 64
)

// MeshBoard is the blackboard of a node that runs on the users' platform: calls have
// no keys, routes come from the platform's store, and other nodes are found
// there. docs/platform.md lists the writer and the readers of each section.
type MeshBoard struct {
	// Self identifies this node; it does not change.
	Self NodeIdentity
	// Routes is written by control/routefeed.
	Routes *Section[*dynconf.RouteTable]
	// LocalServer is written by control/ownserver.
	LocalServer *Section[*BackendServer]
	// Fleet is written by control/directory.
	Fleet *Section[*Fleet]
	// Store is written by control/registration.
	Store *Section[*StoreStatus]
	// Shutdown is written by the node itself.
	Shutdown *Section[*ShutdownState]
	// Quarantine is written by control/quarantine.
	Quarantine *Section[*Quarantine]

	// ServerLoad holds the figures of the own backend server that change with each
	// call.
	ServerLoad *ServerLoad
	// Link follows what goes out on the machine's link.
	Link *LinkPacer
	// CallStats holds what calls of each rule cost.
	CallStats *StatsByRule
	// AttemptCounters holds the additional attempts that are left for each service.
	AttemptCounters *AttemptCounters

	// ConfigConfirmed is when some node last saw that the routes in force are the
	// newest ones.
	ConfigConfirmed *Confirmation

	// Announcements carries what the backend server says to control/ownserver.
	Announcements *Inbox[ServerEvent]
	// SuspectedServers carries the lives of the backend server that may have ended, since a
	// connection broke while a call ran, to control/pulse.
	SuspectedServers *Inbox[BackendServer]
	// NodeRecords carries the node records of other nodes to control/directory.
	NodeRecords *Inbox[NodeRecordBatch]
	// RouteTableHints carries the route tables of other nodes to control/routefeed.
	RouteTableHints *Inbox[RouteTableHint]
	// ExecutionResults and Suspicions carry what the executor and other nodes found out
	// about requests that crash backend servers to control/quarantine.
	ExecutionResults *Inbox[ExecutionResult]
	Suspicions       *Inbox[[]Suspicion]
}

// NodeIdentity identifies a node.
type NodeIdentity struct {
	Instance      InstanceID
	Region        string
	FailureDomain string
	// Service is the service of the backend server beside the node.
	Service string
	// PeerAddr is where other nodes reach this one.
	PeerAddr string
	// ServerAddr is where the node reaches its backend server.
	ServerAddr string
	// LinkRate is the rate of the machine's link to plan with in bytes per
	// second, 0 when not known.
	LinkRate float64
}

// NewMeshBoard returns a board with empty sections.
func NewMeshBoard(self NodeIdentity) *MeshBoard {
	return &MeshBoard{
		Self:             self,
		Routes:           NewSection("routes", dynconf.EmptyRouteTable()),
		LocalServer:      NewSection("server", &BackendServer{}),
		Fleet:            NewSection("fleet", &Fleet{ByService: map[string][]*MeshEndpoint{}, ByInstance: map[InstanceID]*MeshEndpoint{}}),
		Store:            NewSection("store", &StoreStatus{}),
		Shutdown:         NewSection("stopping", &ShutdownState{}),
		Quarantine:       NewSection("quarantine", &Quarantine{}),
		ServerLoad:       &ServerLoad{},
		Link:             NewLinkPacer(self.LinkRate),
		CallStats:        &StatsByRule{},
		AttemptCounters:  NewAttemptBudgets(time.Now()),
		ConfigConfirmed:  &Confirmation{},
		Announcements:    NewInbox[ServerEvent](heartbeatInboxSize),
		SuspectedServers: NewInbox[BackendServer](doubtsInboxSize),
		NodeRecords:      NewInbox[NodeRecordBatch](recordsInboxSize),
		RouteTableHints:  NewInbox[RouteTableHint](tableInboxSize),
		ExecutionResults: NewInbox[ExecutionResult](executionInboxSize),
		Suspicions:       NewInbox[[]Suspicion](suspicionInboxSize),
	}
}

// Confirmation is a time that only moves forward.
type Confirmation struct{ at atomic.Pointer[time.Time] }

// Advance moves the time forward to t.
func (c *Confirmation) Advance(t time.Time) {
	for {
		old := c.at.Load()
		if old != nil && !t.After(*old) || c.at.CompareAndSwap(old, &t) {
			return
		}
	}
}

// Age returns how long ago the time is. It is long before any confirmation.
func (c *Confirmation) Age(now time.Time) time.Duration {
	at := c.at.Load()
	if at == nil {
		return time.Hour
	}
	return now.Sub(*at)
}

// ConfigAdvertisement is what a node says about its configuration.
type ConfigAdvertisement struct {
	// Version is that of the routes in force at the node.
	Version uint64 `cbor:"1,keyasint"`
	// ConfirmedMillis is how long ago some node saw that it is the newest one.
	ConfirmedMillis int64 `cbor:"2,keyasint"`
}

// confirmationAge is added to the age of a confirmation for the way of its
// message.
const confirmationAge = 20 * time.Millisecond

// ConfigAdvertisement returns what this node says.
func (b *MeshBoard) ConfigAdvertisement(now time.Time) ConfigAdvertisement {
	return ConfigAdvertisement{Version: b.Routes.Load().Version, ConfirmedMillis: b.ConfigConfirmed.Age(now).Milliseconds()}
}

// ReceiveConfigAdvertisement takes what the node at an address says about its configuration.
func (b *MeshBoard) ReceiveConfigAdvertisement(word ConfigAdvertisement, from string, now time.Time) {
	switch current := b.Routes.Load().Version; {
	case word.Version == current:
		b.ConfigConfirmed.Advance(now.Add(-time.Duration(word.ConfirmedMillis)*time.Millisecond - confirmationAge))
	case word.Version > current && from != "":
		b.RouteTableHints.Post(RouteTableHint{From: from, Version: word.Version})
	}
}

// ShutdownState says whether the node is on its way out.
type ShutdownState struct {
	// Requested is set by the order to stop.
	Requested bool
	// Leaving is set when the backend server gets no more calls through this
	// node, some time after the order.
	Leaving bool
}

// StoreStatus is what this node knows about the platform's store.
type StoreStatus struct {
	// Reachable is false after a failed call until one succeeds.
	Reachable bool
	// ReachabilityChangedAt is when Reachable changed last.
	ReachabilityChangedAt time.Time
	// ListedRecords holds the records of the newest complete listing.
	ListedRecords map[InstanceID]NodeRecord
	// ListingRequestedAt is when that listing was asked for; zero means never.
	ListingRequestedAt time.Time
}

// ServerState is the state of a backend server.
type ServerState uint8

// States of a backend server, from best to worst.
const (
	ServerUnknown ServerState = iota
	ServerReady
	ServerDraining
	ServerGone
)

var serverStateNames = [...]string{"unknown", "ready", "draining", "gone"}

// String returns the word used in logs.
func (s ServerState) String() string {
	if int(s) < len(serverStateNames) {
		return serverStateNames[s]
	}
	return "invalid"
}

// BackendServer is the backend server beside this node.
type BackendServer struct {
	// ID names the backend server; it may be the same after a restart.
	ID string
	// StartMillis is the start of its process in Unix milliseconds, 0 when not known.
	StartMillis int64
	// Sequence is that of its newest announcement.
	Sequence int64
	State    ServerState
	Service  string
	Addr     string
	Slots    int
	// WarmupEndsAt is when it reaches its full speed after a start.
	WarmupEndsAt time.Time
	// DrainingSince is when this node learned that it leaves.
	DrainingSince time.Time
	// LastHeardAt is when it was heard last.
	LastHeardAt time.Time
	// Down is set while nothing answers at its address.
	Down bool
}

// AcceptsCalls reports whether the backend server takes new calls from other nodes.
func (s *BackendServer) AcceptsCalls() bool { return s.State == ServerReady && !s.Down }

// ServerEventKind is what a backend server says, or what was found out about it.
type ServerEventKind uint8

// Kinds of server events.
const (
	ServerEventHeartbeat ServerEventKind = iota
	ServerEventLeaving
	// ServerEventHealthResponse is a health answer of the backend server.
	ServerEventHealthResponse
	// ServerEventUnreachable says that nothing answers at its address.
	ServerEventUnreachable
	// ServerEventReachable takes back ServerRefused.
	ServerEventReachable
)

// ServerEvent is one announcement of the own backend server.
type ServerEvent struct {
	Kind   ServerEventKind
	Server BackendServer
	// Warmup is how long the backend server stays slow.
	Warmup time.Duration
	// Applied receives true when the event is in force; nil when nobody waits.
	Applied chan bool
}

// NodeRecord is what a node tells others about itself and its backend server.
type NodeRecord struct {
	Instance InstanceID `cbor:"1,keyasint" json:"instance"`
	// Incarnation rises with each start of the node, Sequence with each change
	// in one incarnation.
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
	// Leaving is set when the node itself stops.
	Leaving bool `cbor:"12,keyasint" json:"leaving"`
	// Contention is what the node found out about its backend server.
	Contention Contention `cbor:"13,keyasint,omitempty" json:"crowding"`
	// LinkRate is that of the node's machine in bytes per second, 0 when not
	// known.
	LinkRate float64 `cbor:"14,keyasint,omitempty" json:"link_rate"`
}

// Contention says whether a backend server works slower when it is nearly full.
type Contention uint8

// What is known about a backend server that is nearly full.
const (
	ContentionUnknown Contention = iota
	ContentionNone
	ContentionSlowdown
)

// Supersedes reports whether r replaces other.
func (r NodeRecord) Supersedes(other NodeRecord) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}

// AcceptsCalls reports whether the node's backend server takes new calls.
func (r NodeRecord) AcceptsCalls() bool {
	return r.State == ServerReady && !r.Leaving && r.ServerID != ""
}

// NodeRecordBatch brings records from one source.
type NodeRecordBatch struct {
	Records []NodeRecord
	// From is the node that sent them, "" for the store.
	From InstanceID
}

// RouteTableHint says that a node has a route table of the version.
type RouteTableHint struct {
	From    string
	Version uint64
}

// MeshEndpoint is one node of the fleet with its figures.
type MeshEndpoint struct {
	Record NodeRecord
	*EndpointStats
	Reachability *Reachability
}

// Reachability is what this node knows about the way to another one.
type Reachability struct {
	// heard is the time of the last answer, failures the exchanges without an
	// answer since then.
	heard    atomic.Pointer[time.Time]
	failures atomic.Int32
	replaced atomic.Bool
}

// RecordResponse notes an answer of the node.
func (r *Reachability) RecordResponse(now time.Time) {
	r.heard.Store(&now)
	r.failures.Store(0)
}

// MarkReplaced notes that another node answers at the node's address.
func (r *Reachability) MarkReplaced() { r.replaced.Store(true) }

// Replaced reports whether another node answers at the node's address.
func (r *Reachability) Replaced() bool { return r.replaced.Load() }

// RecordFailure notes an exchange that got no answer.
func (r *Reachability) RecordFailure() { r.failures.Add(1) }

// Suspected reports whether the newest exchange with the node failed. The
// directory asks such a node again until it answers.
func (r *Reachability) Suspected() bool { return r.failures.Load() > 0 }

// RespondedSince reports whether the node answered after the time.
func (r *Reachability) RespondedSince(t time.Time) bool {
	heard := r.heard.Load()
	return heard != nil && !heard.Before(t)
}

// Fleet is an immutable view of the nodes.
type Fleet struct {
	ByInstance map[InstanceID]*MeshEndpoint
	// ByService holds the cells whose backend server takes calls.
	ByService map[string][]*MeshEndpoint
	// Size counts the nodes that are taken to be alive, this one included.
	Size int
	// BucketDigests are equal for equal sets of records, see fleet.BucketDigests.
	BucketDigests []uint32
	// Contention is what most nodes of the own service have found.
	Contention Contention
}

// ServerLoad holds the newest load figures of the own backend server.
type ServerLoad struct {
	view     atomic.Pointer[ServerLoadReport]
	crowding atomic.Uint32
}

// ServerLoadReport is one load report of a backend server.
type ServerLoadReport struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes relative to the usual time.
	Slowdown float64
	// MinSlowdown is the least slowdown lately.
	MinSlowdown float64
	ReceivedAt  time.Time
}

// SetReport stores a report.
func (p *ServerLoad) SetReport(v ServerLoadReport) { p.view.Store(&v) }

// SetContention stores what was found about the own backend server.
func (p *ServerLoad) SetContention(c Contention) { p.crowding.Store(uint32(c)) }

// Contention returns the newest finding.
func (p *ServerLoad) Contention() Contention { return Contention(p.crowding.Load()) }

// LatestReport returns the newest report, or nil.
func (p *ServerLoad) LatestReport() *ServerLoadReport { return p.view.Load() }

// StatsByRule holds moving averages of the work of calls by rule.
type StatsByRule struct{ byRule sync.Map }

// workWeight is the weight of a new sample in a moving average.
const workWeight = 0.1

// Stats is the moving average of one rule.
type Stats struct {
	// micros is the average time at usual speed, bytes that of the answers.
	micros atomic.Int64
	bytes  atomic.Int64
	// calmMicros is the average time beside few other calls.
	calmMicros atomic.Int64
	// wait is the longest time that a caller has said it waits, in nanoseconds.
	wait atomic.Int64
}

// mostWait bounds what is believed of a caller.
const mostWait = time.Minute

// ObserveCallerTimeout takes the time that a caller waits for an answer and returns how much
// less that is than the longest such time. Callers of one rule wait equally
// long, so the difference is what earlier attempts have used up.
func (w *Stats) ObserveCallerTimeout(wait time.Duration) time.Duration {
	wait = min(wait, mostWait)
	for {
		longest := time.Duration(w.wait.Load())
		if wait <= longest {
			return longest - wait
		}
		if w.wait.CompareAndSwap(int64(longest), int64(wait)) {
			return 0
		}
	}
}

// ForRule returns the average of a rule.
func (w *StatsByRule) ForRule(rule string) *Stats {
	if v, ok := w.byRule.Load(rule); ok {
		return v.(*Stats)
	}
	v, _ := w.byRule.LoadOrStore(rule, &Stats{})
	return v.(*Stats)
}

func average(target *atomic.Int64, sample int64) {
	for {
		old := target.Load()
		next := sample
		if old > 0 {
			next = old + int64(workWeight*float64(sample-old))
		}
		if target.CompareAndSwap(old, max(1, next)) {
			return
		}
	}
}

// AddServiceTime adds the time that a call took at usual speed.
func (w *Stats) AddServiceTime(d time.Duration) { average(&w.micros, d.Microseconds()) }

// AddResponseSize adds the size of an answer.
func (w *Stats) AddResponseSize(n int64) { average(&w.bytes, n) }

// AddLowLoadTime adds the time that a call beside few others took at usual speed.
func (w *Stats) AddLowLoadTime(d time.Duration) { average(&w.calmMicros, d.Microseconds()) }

// LowLoadTime returns the average time beside few other calls, 0 when there is none
// yet.
func (w *Stats) LowLoadTime() time.Duration {
	return time.Duration(w.calmMicros.Load()) * time.Microsecond
}

// ServiceTime returns the average time, 0 when there is none yet.
func (w *Stats) ServiceTime() time.Duration { return time.Duration(w.micros.Load()) * time.Microsecond }

// ResponseSize returns the average size of answers.
func (w *Stats) ResponseSize() int64 { return w.bytes.Load() }
