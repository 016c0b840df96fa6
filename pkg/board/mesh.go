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

// Mesh is the blackboard of a node that runs on the users' platform: calls have
// no keys, routes come from the platform's store, and other nodes are found
// there. docs/platform.md lists the writer and the readers of each section.
type Mesh struct {
	// Self identifies this node; it does not change.
	Self Self
	// Routes is written by control/routefeed.
	Routes *Section[*dynconf.RouteTable]
	// Server is written by control/ownserver.
	Server *Section[*Server]
	// Fleet is written by control/directory.
	Fleet *Section[*Fleet]
	// Store is written by control/registration.
	Store *Section[*StoreView]
	// Stopping is written by the node itself.
	Stopping *Section[*Stopping]
	// Quarantine is written by control/quarantine.
	Quarantine *Section[*Quarantine]

	// Pulse holds the figures of the own backend server that change with each
	// call.
	Pulse *Pulse
	// Link follows what goes out on the machine's link.
	Link *Link
	// Works holds what calls of each rule cost.
	Works *Works
	// Budgets holds the additional attempts that are left for each service.
	Budgets *AttemptBudgets

	// Confirmed is when some node last saw that the routes in force are the
	// newest ones.
	Confirmed *Confirmation

	// Announcements carries what the backend server says to control/ownserver.
	Announcements *Inbox[ServerEvent]
	// Doubts carries the lives of the backend server that may have ended, since a
	// connection broke while a call ran, to control/pulse.
	Doubts *Inbox[Server]
	// Records carries the node records of other nodes to control/directory.
	Records *Inbox[RecordsEvent]
	// Tables carries the route tables of other nodes to control/routefeed.
	Tables *Inbox[TableHint]
	// Executions and Suspicions carry what the executor and other nodes found out
	// about requests that crash backend servers to control/quarantine.
	Executions *Inbox[Execution]
	Suspicions *Inbox[[]Suspicion]
}

// Self identifies a node.
type Self struct {
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

// NewMesh returns a board with empty sections.
func NewMesh(self Self) *Mesh {
	return &Mesh{
		Self:          self,
		Routes:        NewSection("routes", dynconf.EmptyRouteTable()),
		Server:        NewSection("server", &Server{}),
		Fleet:         NewSection("fleet", &Fleet{ByService: map[string][]*MeshCell{}, ByInstance: map[InstanceID]*MeshCell{}}),
		Store:         NewSection("store", &StoreView{}),
		Stopping:      NewSection("stopping", &Stopping{}),
		Quarantine:    NewSection("quarantine", &Quarantine{}),
		Pulse:         &Pulse{},
		Link:          NewLink(self.LinkRate),
		Works:         &Works{},
		Budgets:       NewAttemptBudgets(time.Now()),
		Confirmed:     &Confirmation{},
		Announcements: NewInbox[ServerEvent](heartbeatInboxSize),
		Doubts:        NewInbox[Server](doubtsInboxSize),
		Records:       NewInbox[RecordsEvent](recordsInboxSize),
		Tables:        NewInbox[TableHint](tableInboxSize),
		Executions:    NewInbox[Execution](executionInboxSize),
		Suspicions:    NewInbox[[]Suspicion](suspicionInboxSize),
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

// ConfigWord is what a node says about its configuration.
type ConfigWord struct {
	// Version is that of the routes in force at the node.
	Version uint64 `cbor:"1,keyasint"`
	// ConfirmedMillis is how long ago some node saw that it is the newest one.
	ConfirmedMillis int64 `cbor:"2,keyasint"`
}

// confirmationAge is added to the age of a confirmation for the way of its
// message.
const confirmationAge = 20 * time.Millisecond

// ConfigWord returns what this node says.
func (b *Mesh) ConfigWord(now time.Time) ConfigWord {
	return ConfigWord{Version: b.Routes.Load().Version, ConfirmedMillis: b.Confirmed.Age(now).Milliseconds()}
}

// HeardConfig takes what the node at an address says about its configuration.
func (b *Mesh) HeardConfig(word ConfigWord, from string, now time.Time) {
	switch current := b.Routes.Load().Version; {
	case word.Version == current:
		b.Confirmed.Advance(now.Add(-time.Duration(word.ConfirmedMillis)*time.Millisecond - confirmationAge))
	case word.Version > current && from != "":
		b.Tables.Post(TableHint{From: from, Version: word.Version})
	}
}

// Stopping says whether the node is on its way out.
type Stopping struct {
	// Active is set by the order to stop.
	Active bool
	// Leaving is set when the backend server gets no more calls through this
	// node, some time after the order.
	Leaving bool
}

// StoreView is what this node knows about the platform's store.
type StoreView struct {
	// Reachable is false after a failed call until one succeeds.
	Reachable bool
	// Since is when Reachable changed last.
	Since time.Time
	// Listed holds the records of the newest complete listing.
	Listed map[InstanceID]NodeRecord
	// ListedAt is when that listing was asked for; zero means never.
	ListedAt time.Time
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

// Server is the backend server beside this node.
type Server struct {
	// ID names the backend server; it may be the same after a restart.
	ID string
	// Born is the start of its process in Unix milliseconds, 0 when not known.
	Born int64
	// Sequence is that of its newest announcement.
	Sequence int64
	State    ServerState
	Service  string
	Addr     string
	Slots    int
	// WarmUntil is when it reaches its full speed after a start.
	WarmUntil time.Time
	// DrainSince is when this node learned that it leaves.
	DrainSince time.Time
	// HeardAt is when it was heard last.
	HeardAt time.Time
	// Down is set while nothing answers at its address.
	Down bool
}

// Takes reports whether the backend server takes new calls from other nodes.
func (s *Server) Takes() bool { return s.State == ServerReady && !s.Down }

// ServerEventKind is what a backend server says, or what was found out about it.
type ServerEventKind uint8

// Kinds of server events.
const (
	ServerHeartbeat ServerEventKind = iota
	ServerLeaves
	// ServerFound is a health answer of the backend server.
	ServerFound
	// ServerRefused says that nothing answers at its address.
	ServerRefused
	// ServerAnswered takes back ServerRefused.
	ServerAnswered
)

// ServerEvent is one announcement of the own backend server.
type ServerEvent struct {
	Kind   ServerEventKind
	Server Server
	// Warmup is how long the backend server stays slow.
	Warmup time.Duration
	// Done receives true when the event is in force; nil when nobody waits.
	Done chan bool
}

// NodeRecord is what a node tells others about itself and its backend server.
type NodeRecord struct {
	Instance InstanceID `cbor:"1,keyasint" json:"instance"`
	// Incarnation rises with each start of the node, Sequence with each change
	// in one incarnation.
	Incarnation   uint64      `cbor:"2,keyasint" json:"incarnation"`
	Sequence      uint64      `cbor:"3,keyasint" json:"sequence"`
	PeerAddr      string      `cbor:"4,keyasint" json:"peer_addr"`
	Region        string      `cbor:"5,keyasint" json:"region"`
	FailureDomain string      `cbor:"6,keyasint" json:"failure_domain"`
	Service       string      `cbor:"7,keyasint" json:"service"`
	ServerID      string      `cbor:"8,keyasint" json:"server_id"`
	Born          int64       `cbor:"9,keyasint" json:"born"`
	Slots         int         `cbor:"10,keyasint" json:"slots"`
	State         ServerState `cbor:"11,keyasint" json:"state"`
	// Leaving is set when the node itself stops.
	Leaving bool `cbor:"12,keyasint" json:"leaving"`
	// Crowding is what the node found out about its backend server.
	Crowding Crowding `cbor:"13,keyasint,omitempty" json:"crowding"`
	// LinkRate is that of the node's machine in bytes per second, 0 when not
	// known.
	LinkRate float64 `cbor:"14,keyasint,omitempty" json:"link_rate"`
}

// Crowding says whether a backend server works slower when it is nearly full.
type Crowding uint8

// What is known about a backend server that is nearly full.
const (
	CrowdingUnknown Crowding = iota
	CrowdingNone
	CrowdingSlows
)

// Newer reports whether r replaces other.
func (r NodeRecord) Newer(other NodeRecord) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}

// Takes reports whether the node's backend server takes new calls.
func (r NodeRecord) Takes() bool {
	return r.State == ServerReady && !r.Leaving && r.ServerID != ""
}

// RecordsEvent brings records from one source.
type RecordsEvent struct {
	Records []NodeRecord
	// From is the node that sent them, "" for the store.
	From InstanceID
}

// TableHint says that a node has a route table of the version.
type TableHint struct {
	From    string
	Version uint64
}

// MeshCell is one node of the fleet with its figures.
type MeshCell struct {
	Record NodeRecord
	*Figures
	Reach *Reach
}

// Reach is what this node knows about the way to another one.
type Reach struct {
	// heard is the time of the last answer, failures the exchanges without an
	// answer since then.
	heard    atomic.Pointer[time.Time]
	failures atomic.Int32
	replaced atomic.Bool
}

// Heard notes an answer of the node.
func (r *Reach) Heard(now time.Time) {
	r.heard.Store(&now)
	r.failures.Store(0)
}

// SetReplaced notes that another node answers at the node's address.
func (r *Reach) SetReplaced() { r.replaced.Store(true) }

// Replaced reports whether another node answers at the node's address.
func (r *Reach) Replaced() bool { return r.replaced.Load() }

// Failed notes an exchange that got no answer.
func (r *Reach) Failed() { r.failures.Add(1) }

// Suspected reports whether the newest exchange with the node failed. The
// directory asks such a node again until it answers.
func (r *Reach) Suspected() bool { return r.failures.Load() > 0 }

// HeardSince reports whether the node answered after the time.
func (r *Reach) HeardSince(t time.Time) bool {
	heard := r.heard.Load()
	return heard != nil && !heard.Before(t)
}

// Fleet is an immutable view of the nodes.
type Fleet struct {
	ByInstance map[InstanceID]*MeshCell
	// ByService holds the cells whose backend server takes calls.
	ByService map[string][]*MeshCell
	// Size counts the nodes that are taken to be alive, this one included.
	Size int
	// Digests are equal for equal sets of records, see fleet.Digests.
	Digests []uint32
	// Crowding is what most nodes of the own service have found.
	Crowding Crowding
}

// Pulse holds the newest load figures of the own backend server.
type Pulse struct {
	view     atomic.Pointer[PulseView]
	crowding atomic.Uint32
}

// PulseView is one load report of a backend server.
type PulseView struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes relative to the usual time.
	Slowdown float64
	// Floor is the least slowdown lately.
	Floor float64
	At    time.Time
}

// Set stores a report.
func (p *Pulse) Set(v PulseView) { p.view.Store(&v) }

// SetCrowding stores what was found about the own backend server.
func (p *Pulse) SetCrowding(c Crowding) { p.crowding.Store(uint32(c)) }

// Crowding returns the newest finding.
func (p *Pulse) Crowding() Crowding { return Crowding(p.crowding.Load()) }

// Load returns the newest report, or nil.
func (p *Pulse) Load() *PulseView { return p.view.Load() }

// Works holds moving averages of the work of calls by rule.
type Works struct{ byRule sync.Map }

// workWeight is the weight of a new sample in a moving average.
const workWeight = 0.1

// Work is the moving average of one rule.
type Work struct {
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

// Waited takes the time that a caller waits for an answer and returns how much
// less that is than the longest such time. Callers of one rule wait equally
// long, so the difference is what earlier attempts have used up.
func (w *Work) Waited(wait time.Duration) time.Duration {
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

// Of returns the average of a rule.
func (w *Works) Of(rule string) *Work {
	if v, ok := w.byRule.Load(rule); ok {
		return v.(*Work)
	}
	v, _ := w.byRule.LoadOrStore(rule, &Work{})
	return v.(*Work)
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

// AddTime adds the time that a call took at usual speed.
func (w *Work) AddTime(d time.Duration) { average(&w.micros, d.Microseconds()) }

// AddBytes adds the size of an answer.
func (w *Work) AddBytes(n int64) { average(&w.bytes, n) }

// AddCalm adds the time that a call beside few others took at usual speed.
func (w *Work) AddCalm(d time.Duration) { average(&w.calmMicros, d.Microseconds()) }

// Calm returns the average time beside few other calls, 0 when there is none
// yet.
func (w *Work) Calm() time.Duration { return time.Duration(w.calmMicros.Load()) * time.Microsecond }

// Time returns the average time, 0 when there is none yet.
func (w *Work) Time() time.Duration { return time.Duration(w.micros.Load()) * time.Microsecond }

// Bytes returns the average size of answers.
func (w *Work) Bytes() int64 { return w.bytes.Load() }
