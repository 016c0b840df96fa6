package atmostonce

import (
	"context"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/peer"
	"mangostand.example/mangostand/pkg/wire"
)

// RemotePeers sends the messages of the key protocol over the transport between
// nodes.
type RemotePeers struct {
	Transport *peer.Transport
}

// Claim implements Peers.
func (p RemotePeers) Claim(ctx context.Context, to board.EpochMember, m *wire.Claim) (*wire.ClaimResponse, error) {
	var response wire.ClaimResponse
	err := p.Transport.Exchange(ctx, to.PeerAddr, wire.TypeClaim, m, wire.TypeClaimResponse, &response)
	return &response, errors.Trace(err)
}

// Seal implements Peers.
func (p RemotePeers) Seal(ctx context.Context, to board.EpochMember, m *wire.Seal) (*wire.SealResponse, error) {
	var response wire.SealResponse
	err := p.Transport.Exchange(ctx, to.PeerAddr, wire.TypeSeal, m, wire.TypeSealResponse, &response)
	return &response, errors.Trace(err)
}

// Complete implements Peers.
func (p RemotePeers) Complete(ctx context.Context, to board.EpochMember, m *wire.Complete) (*wire.CompleteResponse, error) {
	var response wire.CompleteResponse
	err := p.Transport.Exchange(ctx, to.PeerAddr, wire.TypeComplete, m, wire.TypeAck, &response)
	return &response, errors.Trace(err)
}

// Transfer implements Peers.
func (p RemotePeers) Transfer(ctx context.Context, to board.EpochMember, m *wire.Transfer) (*wire.TransferPage, error) {
	var response wire.TransferPage
	err := p.Transport.Exchange(ctx, to.PeerAddr, wire.TypeTransfer, m, wire.TypeTransferPage, &response)
	return &response, errors.Trace(err)
}

// Handlers returns the handlers of the key protocol for the peer listener.
func (k *KeyController) Handlers(t *peer.Transport) map[wire.MessageType]peer.Handler {
	return map[wire.MessageType]peer.Handler{
		wire.TypeClaim:    newHandler(t, wire.TypeClaimResponse, k.HandleClaim),
		wire.TypeSeal:     newHandler(t, wire.TypeSealResponse, ignoreContext(k.HandleSeal)),
		wire.TypeComplete: newHandler(t, wire.TypeAck, ignoreContext(k.HandleComplete)),
		wire.TypeTransfer: newHandler(t, wire.TypeTransferPage, ignoreContext(k.HandleTransfer)),
	}
}

func ignoreContext[Req, Resp any](handler func(*Req) *Resp) func(context.Context, *Req) *Resp {
	return func(_ context.Context, request *Req) *Resp { return handler(request) }
}

// newHandler returns a handler that decodes a request, passes it to the given
// function and encodes the response.
func newHandler[Req, Resp any](t *peer.Transport, responseType wire.MessageType, handler func(context.Context, *Req) *Resp) peer.Handler {
	return func(ctx context.Context, frame wire.Frame, stream *peer.Stream) error {
		t.CountReceived(frame)
		request := new(Req)
		if err := frame.Decode(request); err != nil {
			return errors.Trace(err)
		}
		return errors.Trace(t.Respond(stream, responseType, handler(ctx, request)))
	}
}
