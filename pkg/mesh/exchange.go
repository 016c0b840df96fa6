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

// send makes one exchange with the executor on another node.
func (p *passage) send(ctx context.Context, cell *board.MeshEndpoint, patience time.Duration, slow func()) *Answer {
	c := p.call
	ctx, cancel := context.WithCancel(ctx)
	header := c.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	now := time.Now()
	h := hopOf(c, cell.Record.ServerID, patience, now)
	h.Config, h.From = p.entry.Board.ConfigAdvertisement(now), p.entry.Board.Self.PeerAddr
	header.Set(headerHop, encodeHop(h))
	var silent atomic.Bool
	accept := time.AfterFunc(acceptTimeout, func() {
		silent.Store(true)
		cancel()
	})
	got, err := p.entry.Peers.Do(ctx, cell.Record.PeerAddr, &h1.Call{
		Method: c.Method, Target: c.Target, Host: c.Host, Header: header, Body: c.Body,
		Hold: true, MaxIdle: peerMaxIdle, Interim: func(status int) {
			accept.Stop()
			if status == statusSlow {
				slow()
			}
		},
	})
	accept.Stop()
	if err != nil {
		canceled := ctx.Err() != nil && !silent.Load()
		cancel()
		return p.sendFailed(cell, err, silent.Load(), canceled)
	}
	answer := p.answerOf(got, cell)
	answer.Body = onClose(answer.Body, cancel)
	return answer
}

// sendFailed classifies an exchange without an answer. A call that was canceled
// says nothing about the executor.
func (p *passage) sendFailed(cell *board.MeshEndpoint, err error, silent, canceled bool) *Answer {
	var failed *h1.Error
	reason := board.ReasonExecutorLost
	switch {
	case canceled && time.Now().Before(p.call.Deadline):
		reason = board.ReasonCanceledByCaller
	case canceled:
		reason = board.ReasonDeadlineExceeded
	case silent:
		reason = board.ReasonExecutorSilent
	}
	if !canceled {
		cell.Reachability.RecordFailure()
		p.entry.Peers.Forget(cell.Record.PeerAddr)
		p.entry.Log.Info().Str("event", "executor_lost").Str("id", p.call.ID).Str("executor", string(cell.Record.Instance)).
			Str("reason", string(reason)).Err(err).Send()
	}
	if errors.As(err, &failed) && !failed.Sent {
		return notSent(reason)
	}
	return unknown(reason)
}

// answerOf reads the answer of an executor.
func (p *passage) answerOf(got *h1.Answer, cell *board.MeshEndpoint) *Answer {
	told, err := takeHopAnswer(got.Header)
	if err != nil {
		_ = got.Body.Close()
		return unknown(board.ReasonMalformedAnswer)
	}
	p.entry.Board.ReceiveConfigAdvertisement(told.Config, cell.Record.PeerAddr, time.Now())
	a := &Answer{
		Outcome: told.Outcome, Reason: told.Reason, Load: &told.Load,
		Work: time.Duration(told.WorkMicros) * time.Microsecond, Wait: time.Duration(told.WaitMicros) * time.Microsecond,
	}
	if told.Executor != "" && told.Executor != cell.Record.Instance {
		cell.Reachability.MarkReplaced()
		a.Load = nil
		p.entry.Log.Info().Str("event", "node_replaced").Str("id", p.call.ID).Str("node", string(cell.Record.Instance)).
			Str("by", string(told.Executor)).Send()
	}
	if a.Outcome != Answered {
		_ = got.Body.Close()
		return a
	}
	a.Status, a.Header, a.Body, a.Length = got.Status, got.Header, got.Body, got.Length
	if a.Length < 0 || a.Length > shortAnswer {
		return a
	}
	if a.readWhole(shortAnswer) != nil {
		return &Answer{Outcome: Unknown, Reason: board.ReasonResponseIncomplete, Load: a.Load}
	}
	return a
}

// shortAnswer is the size in bytes up to which the entry reads an answer whole
// before it passes it on. A longer one that breaks off ends the caller's
// connection, with all answers that are due on it.
const shortAnswer = 64 << 10
