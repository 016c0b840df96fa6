package atmostonce

import (
	"context"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/wire"
)

// The exchanges below skip the network when this node is the receiver.

func (k *KeyController) claimAt(ctx context.Context, to board.EpochMember, m *wire.Claim) (*wire.ClaimResponse, error) {
	if to.Instance == k.Self && to.Incarnation == k.Incarnation {
		return k.HandleClaim(ctx, m), nil
	}
	return k.Peers.Claim(ctx, to, m)
}

func (k *KeyController) sealAt(ctx context.Context, to board.EpochMember, m *wire.Seal) (*wire.SealResponse, error) {
	if to.Instance == k.Self {
		return k.HandleSeal(m), nil
	}
	return k.Peers.Seal(ctx, to, m)
}

func (k *KeyController) completeAt(ctx context.Context, to board.EpochMember, m *wire.Complete) (*wire.CompleteResponse, error) {
	if to.Instance == k.Self {
		return k.HandleComplete(m), nil
	}
	return k.Peers.Complete(ctx, to, m)
}

func (k *KeyController) transferFrom(ctx context.Context, from board.EpochMember, m *wire.Transfer) (*wire.TransferPage, error) {
	if from.Instance == k.Self {
		return k.HandleTransfer(m), nil
	}
	return k.Peers.Transfer(ctx, from, m)
}
