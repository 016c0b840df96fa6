package board

import (
	"mangostand.example/mangostand/pkg/dynconf"
)

// Inbox sizes in events. They hold the bursts of a node that answers a few
// thousand calls per second while a controller is busy for some milliseconds.
const (
	gossipInboxSize       = 1024
	announcementInboxSize = 64
	rumorInboxSize        = 1024
	versionInboxSize      = 256
	finishedInboxSize     = 4096
)

// Board is the blackboard of one node. Section 2.1 of the design page lists
// the writer and the readers of each section.
type Board struct {
	Config *Section[*dynconf.Config]
	// ConfigState belongs to the writer of Config.
	ConfigState *Section[*ConfigState]
	Members     *Section[*Members]
	LocalServer *Section[*LocalServer]
	Endpoints   *Section[*EndpointTable]
	Pickers     *Section[*Pickers]
	Epochs      *Section[*Epochs]
	Requests    Requests
	// Keys holds the key records of non-idempotent calls.
	Keys *KeyTables
	// RetiredTraffic counts the refused calls of retired traffic.
	RetiredTraffic RetiredTraffic
	// Admission, Breakers and Budgets bound the calls that run, the instances
	// that are tried and the attempts that are added.
	Admission *Section[*Admission]
	Breakers  *Section[*Breakers]
	Budgets   *Section[*Budgets]
	// TreeBudgets holds the attempt budgets of the call trees that run here.
	TreeBudgets Trees
	// ServiceTimes holds the newest service times of the backend server.
	ServiceTimes ServiceTimes
	// FinishedCalls carries ended calls of the executor to the admission controller.
	FinishedCalls *Inbox[FinishedCall]

	Neighbours *Section[*Neighbours]
	Digest     *Section[*MemberDigest]
	Versions   *Section[*Versions]
	Quarantine *Section[*Quarantine]

	// Gossip carries messages of other nodes to the membership controller.
	Gossip *Inbox[GossipMessage]
	// OutgoingVersions carries the version numbers of this node to the membership
	// controller, which tells them to its peers.
	OutgoingVersions *Inbox[NamedVersion]
	// ConfigVersions and EpochVersions tell configsync and the epoch
	// controller which peer has a higher version.
	ConfigVersions *Inbox[PeerVersion]
	EpochVersions  *Inbox[PeerVersion]
	// ExecutionResults and QuarantineLifts are read by the quarantine controller.
	ExecutionResults *Inbox[ExecutionResult]
	QuarantineLifts  *Inbox[QuarantineLift]
	// StopRequests asks the node to drain and exit.
	StopRequests *Inbox[struct{}]
	// Announcements carries the backend server's announcements to the
	// announce controller.
	Announcements *Inbox[Announcement]
	// OutgoingRumors carries rumors of this node to the membership controller.
	OutgoingRumors *Inbox[Rumor]
	// ConfigRumors, EpochRumors and QuarantineRumors carry received rumors to
	// the controllers of these names.
	ConfigRumors     *Inbox[Rumor]
	EpochRumors      *Inbox[Rumor]
	QuarantineRumors *Inbox[Rumor]
}

// New returns a board with empty sections for the instance.
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
		FinishedCalls: NewInbox[FinishedCall](finishedInboxSize),
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

// AnnouncementKind is what an announcement asks for.
type AnnouncementKind uint8

// Kinds of announcements.
const (
	// AnnounceHeartbeat registers the backend server or renews it.
	AnnounceHeartbeat AnnouncementKind = iota
	// AnnounceDrain stops new calls to the backend server.
	AnnounceDrain
	// AnnounceLeave withdraws a backend server that has finished.
	AnnounceLeave
	// AnnounceDown says that the executor found the backend server dead.
	AnnounceDown
	// AnnounceStop drains because the node stops; no announcement undoes it.
	AnnounceStop
	// AnnounceStopped says that the node has finished all its calls.
	AnnounceStopped
)

// Announcement is an event about the local backend server.
type Announcement struct {
	Kind   AnnouncementKind
	Server LocalServer
}
