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
	Local       *Section[*Local]
	Load        *Section[*LoadTable]
	Pickers     *Section[*Pickers]
	Epochs      *Section[*Epochs]
	Requests    Requests
	// Keys holds the key records of non-idempotent calls.
	Keys *Keys
	// Retired counts the refused calls of retired traffic.
	Retired Retired
	// Admission, Breakers and Budgets bound the calls that run, the instances
	// that are tried and the attempts that are added.
	Admission *Section[*Admission]
	Breakers  *Section[*Breakers]
	Budgets   *Section[*Budgets]
	// Trees holds the attempt budgets of the call trees that run here.
	Trees Trees
	// ServiceTimes holds the newest service times of the backend server.
	ServiceTimes ServiceTimes
	// Finished carries ended calls of the executor to the admission controller.
	Finished *Inbox[FinishedCall]

	Neighbours *Section[*Neighbours]
	Digest     *Section[*MemberDigest]
	Versions   *Section[*Versions]
	Quarantine *Section[*Quarantine]

	// Gossip carries messages of other nodes to the membership controller.
	Gossip *Inbox[Gossip]
	// VersionsOut carries the version numbers of this node to the membership
	// controller, which tells them to its peers.
	VersionsOut *Inbox[Version]
	// ConfigVersions and EpochVersions tell configsync and the epoch
	// controller which peer has a higher version.
	ConfigVersions *Inbox[PeerVersion]
	EpochVersions  *Inbox[PeerVersion]
	// Executions and QuarantineLifts are read by the quarantine controller.
	Executions      *Inbox[Execution]
	QuarantineLifts *Inbox[QuarantineLift]
	// StopOrders asks the node to drain and exit.
	StopOrders *Inbox[struct{}]
	// Announcements carries the backend server's announcements to the
	// announce controller.
	Announcements *Inbox[Announcement]
	// RumorsOut carries rumors of this node to the membership controller.
	RumorsOut *Inbox[Rumor]
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
		Local:         NewSection("local", &Local{}),
		Load:          NewSection("load", &LoadTable{Cells: map[InstanceID]*Cell{}}),
		Pickers:       NewSection("pickers", &Pickers{ByService: map[string]Picker{}}),
		Gossip:        NewInbox[Gossip](gossipInboxSize),
		Epochs:        NewSection("epochs", &Epochs{ByService: map[string]*EpochView{}}),
		Keys:          NewKeys(),
		Admission:     NewSection("admission", &Admission{}),
		Breakers:      NewSection("breakers", &Breakers{}),
		Budgets:       NewSection("budgets", &Budgets{ProbesOut: &ProbeBudget{}, ProbesIn: &ProbeBudget{}}),
		Finished:      NewInbox[FinishedCall](finishedInboxSize),
		Announcements: NewInbox[Announcement](announcementInboxSize),

		Neighbours: NewSection("neighbours", &Neighbours{}),
		Digest:     NewSection("digest", &MemberDigest{}),
		Versions:   NewSection("versions", &Versions{}),
		Quarantine: NewSection("quarantine", &Quarantine{}),

		VersionsOut:     NewInbox[Version](versionInboxSize),
		ConfigVersions:  NewInbox[PeerVersion](versionInboxSize),
		EpochVersions:   NewInbox[PeerVersion](versionInboxSize),
		Executions:      NewInbox[Execution](rumorInboxSize),
		QuarantineLifts: NewInbox[QuarantineLift](announcementInboxSize),
		StopOrders:      NewInbox[struct{}](1),

		RumorsOut:        NewInbox[Rumor](rumorInboxSize),
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
	Server Local
}
