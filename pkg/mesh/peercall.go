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
	// acceptTimeout bounds the wait for an executor to accept a call. It is
	// many times the latency between failure domains, and covers the pause of a
	// host that is throttled because it has used up its CPU share of a 100 ms
	// period.
	acceptTimeout = 130 * time.Millisecond
	// peerMaxIdle is the longest idle time after which a connection to a node
	// is reused.
	peerMaxIdle = 20 * time.Second
)

// sendToPeer offers the call to the executor on another node. The body is
// sent only after the executor has accepted the call.
func (f *forwarder) sendToPeer(ctx context.Context, endpoint *board.MeshEndpoint, maxResponseTime time.Duration, notifySlow func()) *Result {
	c := f.call
	ctx, cancel := context.WithCancel(ctx)
	header := c.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	now := time.Now()
	hop := newHopRequest(c, endpoint.Record.ServerID, maxResponseTime, now)
	hop.Config, hop.FromAddr = f.entry.Board.ConfigAdvertisement(now), f.entry.Board.Self.PeerAddr
	hop.Evacuation = f.entry.Board.EvacuationHopAdvertisement()
	hop.Offer = f.entry.offers.Add(1)
	header.Set(hopHeader, encodeHop(hop))
	matcher := &hopMatcher{request: &hop}
	sentAt := f.entry.Board.ConfigRequestSentAt()
	var acceptTimedOut atomic.Bool
	acceptTimer := time.AfterFunc(acceptTimeout, func() {
		acceptTimedOut.Store(true)
		cancel()
	})
	var paceBody func(int)
	if c.BodyBytes > 0 {
		paceBody = f.paceUpload
	}
	response, err := f.entry.Peers.Do(ctx, endpoint.Record.PeerAddr, &h1.ClientRequest{
		Method: c.Method, Target: c.Target, Host: c.Host, Header: header, Body: c.Body,
		ExpectContinue: true, PaceBody: paceBody, MaxIdleTime: peerMaxIdle, OnInterimResponse: func(status int) {
			switch status {
			case statusQueued:
				// An executor that is cut off now would otherwise hold the call until its
				// deadline, although the body has not been sent.
				acceptTimer.Reset(max(acceptTimeout, time.Until(c.Objective)))
				return
			case statusSlow:
				notifySlow()
			}
			acceptTimer.Stop()
		},
		OnFirstResponse: func(elapsed time.Duration) {
			f.entry.Board.DomainLatencies.Add(endpoint.Record.FailureDomain, elapsed, time.Now())
		},
		AcceptResponse: matcher.accept, IdentifiesNone: matcher.identifiesNone,
	})
	acceptTimer.Stop()
	if err != nil {
		canceled := ctx.Err() != nil && !acceptTimedOut.Load()
		cancel()
		return f.classifyPeerError(endpoint, err, acceptTimedOut.Load(), canceled)
	}
	result := f.readPeerResponse(response, matcher, endpoint, sentAt)
	result.Body = onClose(result.Body, cancel)
	return result
}

// classifyPeerError returns the result of an offer that got no response. A
// canceled offer does not count against the executor.
func (f *forwarder) classifyPeerError(endpoint *board.MeshEndpoint, err error, acceptTimedOut, canceled bool) *Result {
	var h1Err *h1.Error
	reason := board.ReasonExecutorLost
	unidentified := errors.As(err, &h1Err) && h1Err.Unidentified
	switch {
	case canceled && time.Now().Before(f.call.Deadline):
		reason = board.ReasonCanceledByCaller
	case canceled:
		reason = board.ReasonDeadlineExceeded
	case acceptTimedOut:
		reason = board.ReasonExecutorSilent
	case unidentified:
		// The node responds, but not with a result, for example after a panic.
		reason = board.ReasonMalformedAnswer
	}
	if !canceled && !unidentified {
		endpoint.Reachability.RecordFailure()
		f.entry.Peers.CloseIdleConns(endpoint.Record.PeerAddr)
		f.entry.Log.Info().Str("event", "executor_lost").Str("id", f.call.ID).Str("executor", string(endpoint.Record.Instance)).
			Str("reason", string(reason)).Err(err).Send()
	}
	if h1Err != nil && !h1Err.RequestSent {
		return notSent(reason)
	}
	return unknown(reason)
}

// readPeerResponse reads the response of an executor on another node to a request
// that was sent at a time of ConfigRequestSentAt.
func (f *forwarder) readPeerResponse(response *h1.ClientResponse, matcher *hopMatcher, endpoint *board.MeshEndpoint, sentAt time.Duration) *Result {
	response.Header.Del(hopHeader)
	reply := matcher.response
	if matcher.err != nil {
		_ = response.Body.Close()
		return unknown(board.ReasonMalformedAnswer)
	}
	f.entry.Board.ReceiveEvacuation(reply.Evacuation, endpoint.Record.PeerAddr)
	f.entry.Board.ReceiveConfigAdvertisement(reply.Config, endpoint.Record.PeerAddr, time.Now())
	f.entry.Board.ReceiveConfigProof(reply.Config, sentAt)
	result := &Result{
		Outcome: reply.Outcome, Reason: reply.Reason, Load: &reply.Load,
		ServiceTime: time.Duration(reply.ServiceTimeMicros) * time.Microsecond, QueueWait: time.Duration(reply.QueueWaitMicros) * time.Microsecond,
	}
	if reply.Executor != "" && reply.Executor != endpoint.Record.Instance {
		endpoint.Reachability.MarkReplaced()
		result.Load = nil
		f.entry.Log.Info().Str("event", "node_replaced").Str("id", f.call.ID).Str("node", string(endpoint.Record.Instance)).
			Str("by", string(reply.Executor)).Send()
	}
	if result.Outcome != Answered {
		_ = response.Body.Close()
		return result
	}
	result.Status, result.Header, result.Body, result.Length = response.Status, response.Header, response.Body, response.ContentLength
	if result.Length < 0 || result.Length > entryBufferLimit {
		return result
	}
	if result.bufferBody(entryBufferLimit) != nil {
		return &Result{Outcome: Unknown, Reason: board.ReasonResponseIncomplete, Load: result.Load}
	}
	return result
}

// entryBufferLimit is the size in bytes up to which the entry buffers a
// whole response before it passes it on. If a longer response is truncated,
// the caller's connection is closed, and with it all its pending pipelined
// responses.
const entryBufferLimit = 64 << 10
