package atmostonce

import (
	"context"
	"time"

	"mangostand.example/mangostand/pkg/board"
)

// handOverPollInterval is the time between two checks of the hand-over.
const handOverPollInterval = 20 * time.Millisecond

// AwaitHandOver waits until other nodes have all records of this node: it is not
// a member of an epoch that another serving instance could join, all members of
// the epochs that removed it have fetched their records, and the homes have
// acknowledged all outcomes. Outcomes are not waited for when no other node could
// store them. The node calls it once on shutdown, after its backend server is
// drained and its calls have ended. It returns false if ctx ends first.
func (k *KeyController) AwaitHandOver(ctx context.Context) bool {
	ticker := time.NewTicker(handOverPollInterval)
	defer ticker.Stop()
	for !k.handedOver() {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

func (k *KeyController) handedOver() bool {
	for service, view := range k.Board.Epochs.Load().ByService {
		if view.Epoch.HasMember(k.Self, k.Incarnation) {
			if k.hasServingPeer(service) {
				return false
			}
			continue
		}
		if view.Epoch.TransfersFrom(k.Self, k.Incarnation) && !k.sentToAllMembers(service, view.Epoch) {
			return false
		}
	}
	return k.unacknowledgedOutcomes.Load() == 0 || k.isSoleMember()
}

// hasServingPeer reports whether another instance of the service could take over
// the records.
func (k *KeyController) hasServingPeer(service string) bool {
	for _, m := range k.Board.Members.Load().ByService[service] {
		if m.Instance != k.Self && m.State == board.MemberServing {
			return true
		}
	}
	return false
}

// isSoleMember reports whether this node is the only member of every epoch, so
// that no other node can store an outcome.
func (k *KeyController) isSoleMember() bool {
	for _, view := range k.Board.Epochs.Load().ByService {
		if len(view.Epoch.Members) > 1 || !view.Epoch.HasMember(k.Self, k.Incarnation) {
			return false
		}
	}
	return true
}

func (k *KeyController) sentToAllMembers(service string, epoch *board.Epoch) bool {
	for _, m := range epoch.Members {
		if _, ok := k.completedTransfers.Load(completedTransfer{service, epoch.Number, m.Instance}); !ok {
			return false
		}
	}
	return true
}
