package mesh

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/h1"
)

const (
	// acceptTimeout bounds the wait for an executor to take a call: many times
	// the way between failure domains, and the pause of a host that has used up
	// its share of a tenth of a second.
	acceptTimeout = 130 * time.Millisecond
	// peerMaxIdle is the longest idle time of a reused connection to a node.
	peerMaxIdle = 20 * time.Second
)

// sendToPeer makes one exchange with the executor on another node.
func (f *forwarder) sendToPeer(ctx context.Context, endpoint *board.MeshCell, maxResponseTime time.Duration, notifySlow func()) *Result {
	c := f.call
	ctx, cancel := context.WithCancel(ctx)
	header := c.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	now := time.Now()
	hop := newHopRequest(c, endpoint.Record.ServerID, maxResponseTime, now)
	hop.Config, hop.FromAddr = f.entry.Board.ConfigWord(now), f.entry.Board.Self.PeerAddr
	header.Set(hopHeader, encodeHop(hop))
	var acceptTimedOut atomic.Bool
	acceptTimer := time.AfterFunc(acceptTimeout, func() {
		acceptTimedOut.Store(true)
		cancel()
	})
	response, err := f.entry.Peers.Do(ctx, endpoint.Record.PeerAddr, &h1.Call{
		Method: c.Method, Target: c.Target, Host: c.Host, Header: header, Body: c.Body,
		Hold: true, MaxIdle: peerMaxIdle, Interim: func(status int) {
			acceptTimer.Stop()
			if status == statusSlow {
				notifySlow()
			}
		},
	})
	acceptTimer.Stop()
	if err != nil {
		canceled := ctx.Err() != nil && !acceptTimedOut.Load()
		cancel()
		return f.classifyPeerError(endpoint, err, acceptTimedOut.Load(), canceled)
	}
	result := f.readPeerResponse(response, endpoint)
	result.Body = onClose(result.Body, cancel)
	return result
}

// classifyPeerError classifies an exchange without an answer. A call that was canceled
// says nothing about the executor.
func (f *forwarder) classifyPeerError(endpoint *board.MeshCell, err error, acceptTimedOut, canceled bool) *Result {
	var callErr *h1.Error
	reason := board.ReasonExecutorLost
	switch {
	case canceled && time.Now().Before(f.call.Deadline):
		reason = board.ReasonCanceled
	case canceled:
		reason = board.ReasonDeadlineExceeded
	case acceptTimedOut:
		reason = board.ReasonSilent
	}
	if !canceled {
		endpoint.Reach.Failed()
		f.entry.Peers.Forget(endpoint.Record.PeerAddr)
		f.entry.Log.Info().Str("event", "executor_lost").Str("id", f.call.ID).Str("executor", string(endpoint.Record.Instance)).
			Str("reason", string(reason)).Err(err).Send()
	}
	if errors.As(err, &callErr) && !callErr.Sent {
		return notSent(reason)
	}
	return unknown(reason)
}

// readPeerResponse reads the answer of an executor.
func (f *forwarder) readPeerResponse(response *h1.Answer, endpoint *board.MeshCell) *Result {
	reply, err := takeHopResponse(response.Header)
	if err != nil {
		_ = response.Body.Close()
		return unknown(board.ReasonMalformedAnswer)
	}
	f.entry.Board.HeardConfig(reply.Config, endpoint.Record.PeerAddr, time.Now())
	result := &Result{
		Outcome: reply.Outcome, Reason: reply.Reason, Load: &reply.Load,
		ServiceTime: time.Duration(reply.ServiceTimeMicros) * time.Microsecond, QueueWait: time.Duration(reply.QueueWaitMicros) * time.Microsecond,
	}
	if reply.Executor != "" && reply.Executor != endpoint.Record.Instance {
		endpoint.Reach.SetReplaced()
		result.Load = nil
		f.entry.Log.Info().Str("event", "node_replaced").Str("id", f.call.ID).Str("node", string(endpoint.Record.Instance)).
			Str("by", string(reply.Executor)).Send()
	}
	if result.Outcome != Answered {
		_ = response.Body.Close()
		return result
	}
	result.Status, result.Header, result.Body, result.Length = response.Status, response.Header, response.Body, response.Length
	if result.Length < 0 || result.Length > entryBufferLimit {
		return result
	}
	if result.bufferBody(entryBufferLimit) != nil {
		return &Result{Outcome: Unknown, Reason: board.ReasonResponseCut, Load: result.Load}
	}
	return result
}

// entryBufferLimit is the size in bytes up to which the entry reads an answer whole
// before it passes it on. A longer one that breaks off ends the caller's
// connection, with all answers that are due on it.
const entryBufferLimit = 64 << 10
