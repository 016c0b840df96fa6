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
	finishedInboxSize     = 4096
)

// Board is the blackboard of one node. Section 2.1 of the design page lists
// the writer and the readers of each section.
type Board struct {
	Config  *Section[*dynconf.Config]
	Members *Section[*Members]
	Local   *Section[*Local]
	Load    *Section[*LoadTable]
	Pickers *Section[*Pickers]
	// Admission, Breakers and Budgets bound the calls that run, the instances
	// that are tried and the attempts that are added.
	Admission *Section[*Admission]
	Breakers  *Section[*Breakers]
	Budgets   *Section[*Budgets]
	Requests  Requests
	// Trees holds the attempt budgets of the call trees that run here.
	Trees Trees
	// ServiceTimes holds the newest service times of the backend server.
	ServiceTimes ServiceTimes
	// Finished carries ended calls of the executor to the admission controller.
	Finished *Inbox[FinishedCall]

	// Gossip carries member records received from other nodes to the
	// membership controller.
	Gossip *Inbox[[]Member]
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
		Members:       NewSection("members", NewMembers(self, map[InstanceID]Member{})),
		Local:         NewSection("local", &Local{}),
		Load:          NewSection("load", &LoadTable{Cells: map[InstanceID]*Cell{}}),
		Pickers:       NewSection("pickers", &Pickers{ByService: map[string]Picker{}}),
		Admission:     NewSection("admission", &Admission{}),
		Breakers:      NewSection("breakers", &Breakers{}),
		Budgets:       NewSection("budgets", &Budgets{ProbesOut: &ProbeBudget{}, ProbesIn: &ProbeBudget{}}),
		Finished:      NewInbox[FinishedCall](finishedInboxSize),
		Gossip:        NewInbox[[]Member](gossipInboxSize),
		Announcements: NewInbox[Announcement](announcementInboxSize),

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
)

// Announcement is an event about the local backend server.
type Announcement struct {
	Kind   AnnouncementKind
	Server Local
}
