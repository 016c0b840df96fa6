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

// Responder answers the messages of other nodes from the sections of the
// board and posts what they bring to the Gossip inbox. Any goroutine may use
// it.
type Responder struct {
	Board *board.Board
	Peers Peers
	// Load returns the load report of the local executor.
	Load func() board.LoadReport
}

// Ping answers a ping.
func (r *Responder) Ping(ping wire.Ping) wire.PingResponse {
	if len(ping.Members) > 0 {
		r.Board.Gossip.Post(board.GossipMessage{From: ping.From, Members: ping.Members})
	}
	members, versions := r.Board.Members.Load(), r.Board.Versions.Load()
	self := members.ByInstance[members.Self]
	answer := wire.PingResponse{Instance: self.Instance, Incarnation: self.Incarnation}
	if ping.Target != self.Instance || ping.TargetIncarnation != self.Incarnation || ping.TargetSequence != self.Sequence {
		answer.Members = append(answer.Members, self)
	}
	if sender, found := members.ByInstance[ping.From]; found && olderThan(ping, sender) {
		answer.Members = append(answer.Members, sender)
	}
	if ping.VersionsHash != versions.Hash {
		answer.Versions = versions.Numbers
	}
	if r.Load != nil && self.State == board.MemberServing {
		load := r.Load()
		answer.LoadReport = &load
	}
	return answer
}

// olderThan reports whether the sender of a ping has to learn of a record
// about itself: a later one, or one that holds it for dead.
func olderThan(ping wire.Ping, known board.Member) bool {
	if ping.FromIncarnation != known.Incarnation {
		return ping.FromIncarnation < known.Incarnation
	}
	return ping.FromSequence < known.Sequence || (ping.FromSequence == known.Sequence && !decide.Live(known))
}

// PingIndirect pings the target on behalf of another node.
func (r *Responder) PingIndirect(ctx context.Context, message wire.PingIndirect) (wire.PingResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var answer wire.PingResponse
	err := r.Peers.Exchange(ctx, message.TargetAddr, wire.TypePing, message.Ping, wire.TypePingResponse, &answer)
	return answer, errors.Trace(err)
}

// Digest answers a digest with the hashes that differ.
func (r *Responder) Digest(theirs wire.Digest) wire.Digest {
	r.Board.Gossip.Post(board.GossipMessage{From: theirs.Sender.Instance, Members: []board.Member{theirs.Sender}, Versions: theirs.Versions})
	own := r.Board.Digest.Load()
	answer := digestMessage(r.Board)
	if theirs.RootHash != own.RootHash {
		answer.BucketHashes = own.BucketHashes[:]
	}
	if theirs.RumorsHash != own.RumorsHash {
		answer.RumorIDs = slices.Sorted(maps.Keys(own.RetainedRumors))
	}
	return answer
}

// Delta answers a delta with the wanted records and rumors.
func (r *Responder) Delta(delta wire.Delta) wire.Delta {
	r.Board.Gossip.Post(board.GossipMessage{From: delta.From, Members: delta.Members, Rumors: delta.Rumors})
	members := r.Board.Members.Load()
	answer := wire.Delta{From: members.Self}
	if len(delta.WantedBuckets) > 0 {
		answer.Members = decide.MissingRecords(members, delta.WantedBuckets, delta.Members, maxRecords)
	}
	kept := r.Board.Digest.Load().RetainedRumors
	for _, id := range delta.WantedRumors {
		if rumor, found := kept[id]; found && len(answer.Rumors) < maxRumors {
			answer.Rumors = append(answer.Rumors, rumor)
		}
	}
	return answer
}

// Rumors takes rumors.
func (r *Responder) Rumors(message wire.Rumors) wire.Ack {
	r.Board.Gossip.Post(board.GossipMessage{From: message.From, Rumors: message.Rumors})
	return wire.Ack{}
}

// Handlers returns the handlers of the transport for the messages of this
// package.
func (r *Responder) Handlers(t *peer.Transport) map[wire.MessageType]peer.Handler {
	return map[wire.MessageType]peer.Handler{
		wire.TypePing: handle(t, wire.TypePingResponse, func(_ context.Context, m wire.Ping) (wire.PingResponse, error) {
			return r.Ping(m), nil
		}),
		wire.TypePingIndirect: handle(t, wire.TypePingResponse, r.PingIndirect),
		wire.TypeDigest: handle(t, wire.TypeDigest, func(_ context.Context, m wire.Digest) (wire.Digest, error) {
			return r.Digest(m), nil
		}),
		wire.TypeDelta: handle(t, wire.TypeDelta, func(_ context.Context, m wire.Delta) (wire.Delta, error) {
			return r.Delta(m), nil
		}),
		wire.TypeRumor: handle(t, wire.TypeAck, func(_ context.Context, m wire.Rumors) (wire.Ack, error) {
			return r.Rumors(m), nil
		}),
	}
}

// handle decodes a message, counts it and sends the answer.
func handle[M, A any](t *peer.Transport, send wire.MessageType, answer func(context.Context, M) (A, error)) peer.Handler {
	return func(ctx context.Context, frame wire.Frame, stream *peer.Stream) error {
		t.CountReceived(frame)
		var message M
		if err := frame.Decode(&message); err != nil {
			return errors.Trace(err)
		}
		reply, err := answer(ctx, message)
		if err != nil {
			return errors.Trace(err)
		}
		return errors.Trace(t.Respond(stream, send, reply))
	}
}
