package fleet

import "mangostand.example/mangostand/pkg/board"

const (
	// localFanout is the number of nodes of the own failure domain to which a node
	// pushes a change.
	localFanout = 4
	// remoteFanout is the number of nodes of each other failure domain to which
	// the node that a change concerns pushes it. Two make up for a message that is
	// lost or a node that has just died.
	remoteFanout = 2
	// maxCrossDomainShare is the share of the random exchanges of a node with
	// other failure domains, where traffic is charged for, and
	// crossDomainNodes the number of nodes of a failure domain whose exchanges
	// would all go to other domains. A large domain needs no more of them than a
	// small one, since what one node learns spreads within the domain.
	maxCrossDomainShare = 0.25
	crossDomainNodes    = 3
)

// CrossDomainShare returns the share of the random exchanges that a node has with
// nodes of other failure domains, given the number of nodes of its own domain.
func CrossDomainShare(domainSize int) float64 {
	return min(maxCrossDomainShare, crossDomainNodes/float64(max(1, domainSize)))
}

// PushTargets returns the nodes to which a node pushes a change. The candidates
// are grouped by failure domain, each group in random order. The node that the
// change concerns (origin) pushes it to all failure domains, and every node that
// gets it passes it on within its own. So a change crosses the boundary of each
// failure domain a few times, however many nodes there are; random exchanges
// bring it to a domain that the pushes missed.
func PushTargets(candidates map[string][]board.InstanceID, ownDomain string, origin bool) []board.InstanceID {
	var targets []board.InstanceID
	for domain, ids := range candidates {
		switch {
		case domain == ownDomain:
			targets = append(targets, ids[:min(len(ids), localFanout)]...)
		case origin:
			targets = append(targets, ids[:min(len(ids), remoteFanout)]...)
		}
	}
	return targets
}

// Contact is what decides whether a node asks another one to confirm that it
// exists.
type Contact struct {
	// AddressConflict is true while another node may have taken the address,
	// MissingFromStore while the store does not list the node.
	AddressConflict, MissingFromStore bool
	// LastExchangeFailed is true when the newest exchange failed, Responded when
	// the node has answered at some time.
	LastExchangeFailed, Responded bool
	// SameDomain is true for a node of the own failure domain.
	SameDomain bool
}

// NeedsContact reports whether a node is asked without waiting for a random
// exchange. A node that was never in doubt is asked once, but only by the nodes of
// its own failure domain: between all pairs of nodes these first exchanges would
// grow with the square of the fleet.
func NeedsContact(c Contact) bool {
	return c.AddressConflict || c.MissingFromStore || c.LastExchangeFailed || c.SameDomain && !c.Responded
}
