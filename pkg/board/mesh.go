package board

import (
	"time"

	"mangostand.example/mangostand/pkg/decide/idle"
	"mangostand.example/mangostand/pkg/decide/pacing"
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
	evacuationInboxSize      = 64
	entryStopInboxSize       = 64
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
	// LargestCustomers is written by control/largestcustomers.
	LargestCustomers *Section[*LargestCustomers]
	// Evacuation is written by control/evacuation.
	Evacuation *Section[*Evacuation]
	// Quotas is written by control/quota. It is empty without customers that have a
	// limit.
	Quotas *Section[*Quotas]

	// ServerLoad holds the latest load report of the local backend server.
	ServerLoad *ServerLoad
	// Link schedules the bytes sent on the network link of the machine.
	Link *LinkPacer
	// InboundLink schedules the request bodies that this machine receives from other
	// nodes.
	InboundLink *LinkPacer
	// HeldBodies counts the bytes of request bodies in the memory of this node.
	HeldBodies *HeldBodies
	// CallStats holds the service time and response size of the calls of each
	// rule.
	CallStats *StatsByRule
	// CustomerService holds the recent service of customers on the local backend
	// server.
	CustomerService *CustomerService
	// CompletedRequests holds the requests that the local backend server answered last.
	CompletedRequests *CompletedRequests
	// AttemptCounters counts the calls and the additional attempts of each
	// service.
	AttemptCounters *AttemptCounters
	// DomainLatencies holds the measured latency to the other failure domains and
	// LeavingShares the share of calls that leave this one.
	DomainLatencies *DomainLatencies
	LeavingShares   *LeavingShares

	// ConfigConfirmed is the last time at which some node found in the store that
	// the routes in force here are the newest ones.
	ConfigConfirmed *ConfirmedVersion
	// ConfigProven is the same with an age that is never underestimated. API keys are
	// accepted by it.
	ConfigProven *ProvenVersion

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
	// Evacuations carries reads of the store and states of other nodes to
	// control/evacuation.
	Evacuations *Inbox[EvacuationEvent]
	// EntryStops carries the notices of other nodes that stop to the executor.
	EntryStops *Inbox[EntryStop]
	// QuotaReports carries the groups of customers of which a report is due at once to
	// control/quota.
	QuotaReports *Inbox[int]
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
		LargestCustomers: NewSection("largest_customers", &LargestCustomers{}),
		Evacuation:       NewSection("evacuation", &Evacuation{}),
		Quotas:           NewSection("quotas", &Quotas{}),
		ServerLoad:       &ServerLoad{},
		Link:             NewLinkPacer(self.LinkRate),
		InboundLink:      NewLinkPacer(pacing.BodyRate(self.LinkRate)), HeldBodies: NewHeldBodies(0),
		CallStats:         &StatsByRule{},
		CustomerService:   NewCustomerService(time.Now()),
		CompletedRequests: &CompletedRequests{},
		AttemptCounters:   NewAttemptCounters(time.Now()),
		DomainLatencies:   &DomainLatencies{},
		LeavingShares:     &LeavingShares{},
		ConfigConfirmed:   &ConfirmedVersion{},
		ConfigProven:      &ProvenVersion{},
		Announcements:     NewInbox[ServerEvent](serverEventInboxSize),
		SuspectedServers:  NewInbox[BackendServer](suspectedServerInboxSize),
		NodeRecords:       NewInbox[NodeRecordBatch](nodeRecordInboxSize),
		RouteTableHints:   NewInbox[RouteTableHint](routeTableHintInboxSize),
		ExecutionResults:  NewInbox[ExecutionResult](executionResultInboxSize),
		Suspicions:        NewInbox[[]Suspicion](suspicionInboxSize),
		Evacuations:       NewInbox[EvacuationEvent](evacuationInboxSize),
		EntryStops:        NewInbox[EntryStop](entryStopInboxSize),
		QuotaReports:      NewInbox[int](quotaRequestInboxSize),
	}
}

// ShutdownState is the progress of the shutdown of the node.
type ShutdownState struct {
	// Requested is set when the node has been asked to stop.
	Requested bool
	// Leaving is set some time after the request. From then on the node announces
	// to other nodes that its backend server accepts no more calls.
	Leaving bool
	// ExitAt is when the process ends at the latest, zero until the request. Calls that
	// are not expected to end before are refused.
	ExitAt time.Time
}

// EntryStop is the notice of another node that it stops.
type EntryStop struct {
	// PeerAddr is the peer address of the node.
	PeerAddr string
	// EndBy is when its process ends at the latest, on the clock of the receiver.
	EndBy time.Time
}

// StoreStatus is the reachability of the platform's store and the node records
// read from it.
type StoreStatus struct {
	// Reachable is false from a failed call to the store until one succeeds.
	Reachable bool
	// ReachabilityChangedAt is the time of the last change of Reachable.
	ReachabilityChangedAt time.Time
	// EraChangedAt is when the node learned that the store had come back from an older
	// copy, zero if it never did.
	EraChangedAt time.Time
	// ListedRecords holds the node records of the latest complete listing.
	ListedRecords map[InstanceID]NodeRecord
	// ListingRequestedAt is when that listing was requested, zero when there is
	// none.
	ListingRequestedAt time.Time
	// EarlierRecord is the record that the store had of this node before this process
	// wrote one, as of a read that is not stale. Its instance is "" if there was none;
	// the pointer is nil until it was read.
	EarlierRecord *NodeRecord
	// FirstStart is set if the whole deployment starts for the first time, so that there
	// was no earlier process.
	FirstStart bool
	// WrittenRecord is the record of this node that the store has confirmed last.
	WrittenRecord NodeRecord
}

// HasWithdrawal reports whether the store holds that a backend server drains or has
// left.
func (s *StoreStatus) HasWithdrawal(server *BackendServer) bool {
	written := s.WrittenRecord
	return written.State >= ServerDraining && SameServerIncarnation(written.ServerID, written.ServerStartMillis, server.ID, server.StartMillis)
}

// UnsettledAt returns the last time at which the store became reachable or unreachable,
// or came back from an older copy.
func (s *StoreStatus) UnsettledAt() time.Time {
	if s.EraChangedAt.After(s.ReachabilityChangedAt) {
		return s.EraChangedAt
	}
	return s.ReachabilityChangedAt
}
