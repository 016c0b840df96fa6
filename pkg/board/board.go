package board

import (
	"mangostand.example/mangostand/pkg/dynconf"
)

// Inbox sizes in events. They absorb the bursts of a node that serves a few
// thousand calls per second while a controller is busy for some milliseconds.
const (
	gossipInboxSize       = 1024
	announcementInboxSize = 64
	rumorInboxSize        = 1024
	versionInboxSize      = 256
	finishedCallInboxSize = 4096
)

// Board is the blackboard of one node. Section 2.1 of the design document lists
// the writer and the readers of each section.
type Board struct {
	Config *Section[*dynconf.Config]
	// ConfigState has the same writer as Config.
	ConfigState *Section[*ConfigState]
	Members     *Section[*Members]
	LocalServer *Section[*LocalServer]
	Endpoints   *Section[*EndpointTable]
	Pickers     *Section[*Pickers]
	Epochs      *Section[*Epochs]
	Requests    Requests
	// Keys holds the idempotency key records of non-idempotent calls.
	Keys *KeyTables
	// RetiredTraffic counts the refused calls to retired services and routes.
	RetiredTraffic RetiredTraffic
	// Admission limits concurrent calls, Breakers exclude failing instances, and
	// Budgets limit retries, hedges and load probes.
	Admission *Section[*Admission]
	Breakers  *Section[*Breakers]
	Budgets   *Section[*Budgets]
	// TreeBudgets holds the attempt budgets of the call trees that run on this
	// node.
	TreeBudgets TreeBudgets
	// ServiceTimes holds the latest service times of the backend server.
	ServiceTimes ServiceTimes
	// FinishedCalls carries the calls that ended at this executor to the
	// admission controller.
	FinishedCalls *Inbox[FinishedCall]

	Neighbours *Section[*Neighbours]
	Digest     *Section[*MemberDigest]
	Versions   *Section[*Versions]
	Quarantine *Section[*Quarantine]

	// Gossip carries messages from other nodes to the membership controller.
	Gossip *Inbox[GossipMessage]
	// OutgoingVersions carries the version numbers of this node to the membership
	// controller, which gossips them.
	OutgoingVersions *Inbox[NamedVersion]
	// ConfigVersions and EpochVersions report peers with a higher version to the
	// configsync and epoch controllers.
	ConfigVersions *Inbox[PeerVersion]
	EpochVersions  *Inbox[PeerVersion]
	// ExecutionResults and QuarantineLifts are drained by the quarantine
	// controller.
	ExecutionResults *Inbox[ExecutionResult]
	QuarantineLifts  *Inbox[QuarantineLift]
	// StopRequests carries operators' requests to drain the node and exit.
	StopRequests *Inbox[struct{}]
	// Announcements carries announcements about the backend server to the
	// announce controller.
	Announcements *Inbox[Announcement]
	// OutgoingRumors carries rumors that start at this node to the membership
	// controller.
	OutgoingRumors *Inbox[Rumor]
	// ConfigRumors, EpochRumors and QuarantineRumors carry received rumors to
	// the configsync, epoch and quarantine controllers.
	ConfigRumors     *Inbox[Rumor]
	EpochRumors      *Inbox[Rumor]
	QuarantineRumors *Inbox[Rumor]
}

// New returns the board of an instance with empty sections.
func New(self InstanceID) *Board {
	return &Board{
		Config:        NewSection("config", dynconf.Default()),
		ConfigState:   NewSection("config_state", &ConfigState{}),
		Members:       NewSection("members", NewMembers(self, map[InstanceID]Member{})),
		LocalServer:   NewSection("local", &LocalServer{}),
		Endpoints:     NewSection("load", &EndpointTable{ByInstance: map[InstanceID]*Endpoint{}}),
		Pickers:       NewSection("pickers", &Pickers{ByService: map[string]Picker{}}),
		Gossip:        NewInbox[GossipMessage](gossipInboxSize),
		Epochs:        NewSection("epochs", &Epochs{ByService: map[string]*EpochView{}}),
		Keys:          NewKeyTables(),
		Admission:     NewSection("admission", &Admission{}),
		Breakers:      NewSection("breakers", &Breakers{}),
		Budgets:       NewSection("budgets", &Budgets{OutgoingProbes: &ProbeBudget{}, IncomingProbes: &ProbeBudget{}}),
		FinishedCalls: NewInbox[FinishedCall](finishedCallInboxSize),
		Announcements: NewInbox[Announcement](announcementInboxSize),

		Neighbours: NewSection("neighbours", &Neighbours{}),
		Digest:     NewSection("digest", &MemberDigest{}),
		Versions:   NewSection("versions", &Versions{}),
		Quarantine: NewSection("quarantine", &Quarantine{}),

		OutgoingVersions: NewInbox[NamedVersion](versionInboxSize),
		ConfigVersions:   NewInbox[PeerVersion](versionInboxSize),
		EpochVersions:    NewInbox[PeerVersion](versionInboxSize),
		ExecutionResults: NewInbox[ExecutionResult](rumorInboxSize),
		QuarantineLifts:  NewInbox[QuarantineLift](announcementInboxSize),
		StopRequests:     NewInbox[struct{}](1),

		OutgoingRumors:   NewInbox[Rumor](rumorInboxSize),
		ConfigRumors:     NewInbox[Rumor](rumorInboxSize),
		EpochRumors:      NewInbox[Rumor](rumorInboxSize),
		QuarantineRumors: NewInbox[Rumor](rumorInboxSize),
	}
}

// AnnouncementKind is the kind of an announcement.
type AnnouncementKind uint8

// Announcement kinds.
const (
	// AnnounceHeartbeat registers the backend server or renews its
	// registration.
	AnnounceHeartbeat AnnouncementKind = iota
	// AnnounceDrain stops new calls to the backend server.
	AnnounceDrain
	// AnnounceLeave deregisters a backend server that has drained.
	AnnounceLeave
	// AnnounceDown reports that a connection to the backend server failed.
	AnnounceDown
	// AnnounceStop drains the backend server because the node stops. No later
	// announcement reverts it.
	AnnounceStop
	// AnnounceStopped reports that all calls of the stopping node have ended.
	AnnounceStopped
)

// Announcement is an event about the local backend server.
type Announcement struct {
	Kind   AnnouncementKind
	Server LocalServer
}
