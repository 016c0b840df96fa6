package atmostonce

import (
	"context"
	"time"

	"mangostand.example/mangostand/pkg/board"
)

// handOverPoll spaces the checks of a hand-over.
const handOverPoll = 20 * time.Millisecond

// AwaitHandOver waits until the records of this node are safe elsewhere: it is no
// member of any epoch, all members of the epochs that removed it have fetched
// their records, and the homes have all outcomes. The node calls it once on
// stop, after its backend server drains and its calls have ended. It returns
// false when ctx ends before.
func (k *KeyController) AwaitHandOver(ctx context.Context) bool {
	ticker := time.NewTicker(handOverPoll)
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
			if k.others(service) {
				return false
			}
			continue
		}
		if view.Epoch.TransfersFrom(k.Self, k.Incarnation) && !k.servedAll(service, view.Epoch) {
			return false
		}
	}
	return k.unacknowledged.Load() == 0 || k.alone()
}

// others reports whether another instance could take over the records.
func (k *KeyController) others(service string) bool {
	for _, m := range k.Board.Members.Load().ByService[service] {
		if m.Instance != k.Self && m.State == board.MemberServing {
			return true
		}
	}
	return false
}

// alone reports whether no epoch has a member that could take an outcome.
func (k *KeyController) alone() bool {
	for _, view := range k.Board.Epochs.Load().ByService {
		if len(view.Epoch.Members) > 1 || !view.Epoch.HasMember(k.Self, k.Incarnation) {
			return false
		}
	}
	return true
}

func (k *KeyController) servedAll(service string, epoch *board.Epoch) bool {
	for _, m := range epoch.Members {
		if _, ok := k.served.Load(servedTransfer{service, epoch.Number, m.Instance}); !ok {
			return false
		}
	}
	return true
}
