package atmostonce

import (
	"context"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/peer"
	"mangostand.example/mangostand/pkg/wire"
)

// RemotePeers carries the key messages over the transport between nodes.
type RemotePeers struct {
	Transport *peer.Transport
}

// Claim implements Peers.
func (n RemotePeers) Claim(ctx context.Context, to board.EpochMember, m *wire.Claim) (*wire.ClaimResponse, error) {
	var answer wire.ClaimResponse
	err := n.Transport.Exchange(ctx, to.PeerAddr, wire.TypeClaim, m, wire.TypeClaimResponse, &answer)
	return &answer, errors.Trace(err)
}

// Seal implements Peers.
func (n RemotePeers) Seal(ctx context.Context, to board.EpochMember, m *wire.Seal) (*wire.SealResponse, error) {
	var answer wire.SealResponse
	err := n.Transport.Exchange(ctx, to.PeerAddr, wire.TypeSeal, m, wire.TypeSealResponse, &answer)
	return &answer, errors.Trace(err)
}

// Complete implements Peers.
func (n RemotePeers) Complete(ctx context.Context, to board.EpochMember, m *wire.Complete) (*wire.CompleteResponse, error) {
	var answer wire.CompleteResponse
	err := n.Transport.Exchange(ctx, to.PeerAddr, wire.TypeComplete, m, wire.TypeAck, &answer)
	return &answer, errors.Trace(err)
}

// Transfer implements Peers.
func (n RemotePeers) Transfer(ctx context.Context, to board.EpochMember, m *wire.Transfer) (*wire.TransferPage, error) {
	var answer wire.TransferPage
	err := n.Transport.Exchange(ctx, to.PeerAddr, wire.TypeTransfer, m, wire.TypeTransferPage, &answer)
	return &answer, errors.Trace(err)
}

// Handlers returns the handlers of the key messages for the peer listener.
func (k *KeyController) Handlers(t *peer.Transport) map[wire.MessageType]peer.Handler {
	return map[wire.MessageType]peer.Handler{
		wire.TypeClaim:    handle(t, wire.TypeClaimResponse, k.HandleClaim),
		wire.TypeSeal:     handle(t, wire.TypeSealResponse, withoutContext(k.HandleSeal)),
		wire.TypeComplete: handle(t, wire.TypeAck, withoutContext(k.HandleComplete)),
		wire.TypeTransfer: handle(t, wire.TypeTransferPage, withoutContext(k.HandleTransfer)),
	}
}

func withoutContext[Q, A any](f func(*Q) *A) func(context.Context, *Q) *A {
	return func(_ context.Context, q *Q) *A { return f(q) }
}

// handle decodes a question, answers it and encodes the answer.
func handle[Q, A any](t *peer.Transport, answerType wire.MessageType, f func(context.Context, *Q) *A) peer.Handler {
	return func(ctx context.Context, frame wire.Frame, stream *peer.Stream) error {
		t.CountReceived(frame)
		question := new(Q)
		if err := frame.Decode(question); err != nil {
			return errors.Trace(err)
		}
		return errors.Trace(t.Respond(stream, answerType, f(ctx, question)))
	}
}
