package membership

import (
	"context"
	"maps"
	"slices"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/board"
	decide "mangostand.example/mangostand/pkg/decide/membership"
	"mangostand.example/mangostand/pkg/peer"
	"mangostand.example/mangostand/pkg/wire"
)

// Responder responds to the messages of other nodes from the sections of the
// board and posts their contents to the Gossip inbox. It is safe for concurrent
// use.
type Responder struct {
	Board *board.Board
	Peers Peers
	// Load returns the load report of the local executor; nil means that
	// responses carry none.
	Load func() board.LoadReport
}

// Ping responds to a ping. The response carries the records of this node and of
// the sender if the sender's versions of them are outdated.
func (r *Responder) Ping(ping wire.Ping) wire.PingResponse {
	if len(ping.Members) > 0 {
		r.Board.Gossip.Post(board.GossipMessage{From: ping.From, Members: ping.Members})
	}
	members, versions := r.Board.Members.Load(), r.Board.Versions.Load()
	self := members.ByInstance[members.Self]
	response := wire.PingResponse{Instance: self.Instance, Incarnation: self.Incarnation}
	if ping.Target != self.Instance || ping.TargetIncarnation != self.Incarnation || ping.TargetSequence != self.Sequence {
		response.Members = append(response.Members, self)
	}
	if sender, found := members.ByInstance[ping.From]; found && senderOutdated(ping, sender) {
		response.Members = append(response.Members, sender)
	}
	if ping.VersionsHash != versions.Hash {
		response.Versions = versions.Numbers
	}
	if r.Load != nil && self.State == board.MemberServing {
		load := r.Load()
		response.LoadReport = &load
	}
	return response
}

// senderOutdated reports whether the sender of a ping must receive the known
// record about itself: the record is newer than the sender's own, or it says that
// the sender left or is dead.
func senderOutdated(ping wire.Ping, known board.Member) bool {
	if ping.FromIncarnation != known.Incarnation {
		return ping.FromIncarnation < known.Incarnation
	}
	return ping.FromSequence < known.Sequence || (ping.FromSequence == known.Sequence && !decide.Live(known))
}

// PingIndirect pings the target on behalf of another node.
func (r *Responder) PingIndirect(ctx context.Context, message wire.PingIndirect) (wire.PingResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var response wire.PingResponse
	err := r.Peers.Exchange(ctx, message.TargetAddr, wire.TypePing, message.Ping, wire.TypePingResponse, &response)
	return response, errors.Trace(err)
}

// Digest responds to a digest. The response carries the bucket hashes and rumor
// IDs if the digests differ.
func (r *Responder) Digest(digest wire.Digest) wire.Digest {
	r.Board.Gossip.Post(board.GossipMessage{From: digest.Sender.Instance, Members: []board.Member{digest.Sender}, Versions: digest.Versions})
	ownDigest := r.Board.Digest.Load()
	response := newDigestMessage(r.Board)
	if digest.RootHash != ownDigest.RootHash {
		response.BucketHashes = ownDigest.BucketHashes[:]
	}
	if digest.RumorsHash != ownDigest.RumorsHash {
		response.RumorIDs = slices.Sorted(maps.Keys(ownDigest.RetainedRumors))
	}
	return response
}

// Delta responds to a delta with the records and rumors that the sender wants.
func (r *Responder) Delta(delta wire.Delta) wire.Delta {
	r.Board.Gossip.Post(board.GossipMessage{From: delta.From, Members: delta.Members, Rumors: delta.Rumors})
	members := r.Board.Members.Load()
	response := wire.Delta{From: members.Self}
	if len(delta.WantedBuckets) > 0 {
		response.Members = decide.MissingRecords(members, delta.WantedBuckets, delta.Members, maxRecordsPerMessage)
	}
	retained := r.Board.Digest.Load().RetainedRumors
	for _, id := range delta.WantedRumors {
		if rumor, found := retained[id]; found && len(response.Rumors) < maxRumorsPerMessage {
			response.Rumors = append(response.Rumors, rumor)
		}
	}
	return response
}

// Rumors posts the rumors and acknowledges them.
func (r *Responder) Rumors(message wire.Rumors) wire.Ack {
	r.Board.Gossip.Post(board.GossipMessage{From: message.From, Rumors: message.Rumors})
	return wire.Ack{}
}

// Handlers returns the transport's handlers for the messages of this package.
func (r *Responder) Handlers(t *peer.Transport) map[wire.MessageType]peer.Handler {
	return map[wire.MessageType]peer.Handler{
		wire.TypePing: newHandler(t, wire.TypePingResponse, func(_ context.Context, m wire.Ping) (wire.PingResponse, error) {
			return r.Ping(m), nil
		}),
		wire.TypePingIndirect: newHandler(t, wire.TypePingResponse, r.PingIndirect),
		wire.TypeDigest: newHandler(t, wire.TypeDigest, func(_ context.Context, m wire.Digest) (wire.Digest, error) {
			return r.Digest(m), nil
		}),
		wire.TypeDelta: newHandler(t, wire.TypeDelta, func(_ context.Context, m wire.Delta) (wire.Delta, error) {
			return r.Delta(m), nil
		}),
		wire.TypeRumor: newHandler(t, wire.TypeAck, func(_ context.Context, m wire.Rumors) (wire.Ack, error) {
			return r.Rumors(m), nil
		}),
	}
}

// newHandler returns a handler that counts and decodes a message and sends the
// response that respond returns.
func newHandler[Req, Resp any](t *peer.Transport, responseType wire.MessageType, respond func(context.Context, Req) (Resp, error)) peer.Handler {
	return func(ctx context.Context, frame wire.Frame, stream *peer.Stream) error {
		t.CountReceived(frame)
		var message Req
		if err := frame.Decode(&message); err != nil {
			return errors.Trace(err)
		}
		response, err := respond(ctx, message)
		if err != nil {
			return errors.Trace(err)
		}
		return errors.Trace(t.Respond(stream, responseType, response))
	}
}
