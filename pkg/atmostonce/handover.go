package atmostonce

import (
	"context"
	"time"

	"mangostand.example/mangostand/pkg/board"
)

// handOverPollInterval spaces the checks of a hand-over.
const handOverPollInterval = 20 * time.Millisecond

// AwaitHandOver waits until the records of this node are safe elsewhere: it is no
// member of any epoch, all members of the epochs that removed it have fetched
// their records, and the homes have all outcomes. The node calls it once on
// stop, after its backend server drains and its calls have ended. It returns
// false when ctx ends before.
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
		if view.Epoch.TransfersFrom(k.Self, k.Incarnation) && !k.servedAllMembers(service, view.Epoch) {
			return false
		}
	}
	return k.unacknowledgedOutcomes.Load() == 0 || k.isSoleMember()
}

// hasServingPeer reports whether another instance could take over the records.
func (k *KeyController) hasServingPeer(service string) bool {
	for _, m := range k.Board.Members.Load().ByService[service] {
		if m.Instance != k.Self && m.State == board.MemberServing {
			return true
		}
	}
	return false
}

// isSoleMember reports whether no epoch has a member that could take an outcome.
func (k *KeyController) isSoleMember() bool {
	for _, view := range k.Board.Epochs.Load().ByService {
		if len(view.Epoch.Members) > 1 || !view.Epoch.HasMember(k.Self, k.Incarnation) {
			return false
		}
	}
	return true
}

func (k *KeyController) servedAllMembers(service string, epoch *board.Epoch) bool {
	for _, m := range epoch.Members {
		if _, ok := k.completedTransfers.Load(completedTransfer{service, epoch.Number, m.Instance}); !ok {
			return false
		}
	}
	return true
}
