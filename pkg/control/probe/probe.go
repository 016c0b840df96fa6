// Package probe asks executors for their load where no answer of a call has
// told it lately. Each probe is paid from the sender's budget and from the
// receiver's, so that neither sends or answers more than agreed in any second.
package probe

import (
	"context"
	"maps"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/control"
	"mangostand.example/mangostand/pkg/decide/budget"
	"mangostand.example/mangostand/pkg/metrics"
	"mangostand.example/mangostand/pkg/peer"
	"mangostand.example/mangostand/pkg/wire"
)

const (
	// scanInterval is the time between two searches for gaps.
	scanInterval = 50 * time.Millisecond
	// probeTimeout bounds a probe; a later answer would be of no use.
	probeTimeout = 250 * time.Millisecond
	// maxOutstanding bounds the probes that wait for an answer.
	maxOutstanding = 4
	// minProbeInterval is the shortest time between two probes of one instance, so that a
	// receiver that refuses is not asked again at once.
	minProbeInterval = 500 * time.Millisecond
)

// Exchanger sends a control message and reads the answer; peer.Transport is
// one.
type Exchanger interface {
	Exchange(ctx context.Context, addr string, send wire.Type, message any, receive wire.Type, answer any) error
}

// Controller sends probes. It writes no section: answers go to the cells.
type Controller struct {
	board   *board.Board
	peers   Exchanger
	traffic *metrics.Traffic

	allowance   float64
	callsSent   map[string]uint64
	lastProbed  map[board.InstanceID]time.Time
	outstanding chan struct{}
}

// New returns the controller of a node.
func New(b *board.Board, peers Exchanger, traffic *metrics.Traffic) *Controller {
	return &Controller{
		board: b, peers: peers, traffic: traffic, callsSent: map[string]uint64{},
		lastProbed: map[board.InstanceID]time.Time{}, outstanding: make(chan struct{}, maxOutstanding),
	}
}

// Name implements control.Controller.
func (c *Controller) Name() string { return "probe" }

// Run implements control.Controller.
func (c *Controller) Run(ctx context.Context) {
	control.Every(ctx, scanInterval, func(now time.Time) { c.probeUnknownLoads(ctx, now) })
}

// probeUnknownLoads probes the instances of services in use whose load is not known.
func (c *Controller) probeUnknownLoads(ctx context.Context, now time.Time) {
	active := c.accrueAllowance()
	maps.DeleteFunc(c.lastProbed, func(_ board.InstanceID, at time.Time) bool { return now.Sub(at) >= minProbeInterval })
	self := c.board.Members.Load().Self
	for id, cell := range c.board.Endpoints.Load().ByInstance {
		if c.allowance < 1 {
			return
		}
		if id == self || !active[cell.Member.Service] || !c.needsProbe(cell, now) {
			continue
		}
		c.startProbe(ctx, cell, now)
	}
}

// accrueAllowance adds the calls since the last search to the allowance and
// returns the services that had any.
func (c *Controller) accrueAllowance() map[string]bool {
	sent := map[string]uint64{}
	for _, cell := range c.board.Endpoints.Load().ByInstance {
		sent[cell.Member.Service] += cell.Sent()
	}
	active := map[string]bool{}
	for service, n := range sent {
		// The sum falls when an instance goes or starts a new incarnation.
		if last := c.callsSent[service]; n > last {
			active[service] = true
			c.allowance = budget.ProbeAllowance(c.allowance, n-last)
		}
	}
	c.callsSent = sent
	return active
}

func (c *Controller) needsProbe(cell *board.Endpoint, now time.Time) bool {
	m := cell.Member
	if m.State != board.MemberServing || now.Sub(c.lastProbed[m.Instance]) < minProbeInterval {
		return false
	}
	if c.board.Breakers.Load().State(m.Instance) != board.BreakerClosed {
		return false
	}
	r := cell.LatestLoadReport()
	if r == nil {
		return budget.NeedsProbe(false, 0, cell.OwnInFlight())
	}
	return budget.NeedsProbe(true, now.Sub(r.ReceivedAt), cell.OwnInFlight())
}

// startProbe sends a probe when a slot and the budget allow it.
func (c *Controller) startProbe(ctx context.Context, cell *board.Endpoint, now time.Time) {
	select {
	case c.outstanding <- struct{}{}:
	default:
		return
	}
	if !c.board.Budgets.Load().OutgoingProbes.Take(now, wire.ProbeCost) {
		<-c.outstanding
		return
	}
	c.allowance--
	c.lastProbed[cell.Member.Instance] = now
	c.traffic.ProbesSent.Inc(1)
	c.traffic.ProbeBytes.Inc(wire.ProbeCost)
	go func() {
		defer func() { <-c.outstanding }()
		c.probe(ctx, cell)
	}()
}

func (c *Controller) probe(ctx context.Context, cell *board.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	m := cell.Member
	var answer wire.ProbeAnswer
	err := c.peers.Exchange(ctx, m.PeerAddr, wire.TypeProbe, wire.Probe{Instance: m.Instance}, wire.TypeProbeAnswer, &answer)
	if err != nil || answer.Instance != m.Instance || answer.Incarnation != m.Incarnation {
		c.traffic.ProbesFailed.Inc(1)
		return
	}
	answer.Load.ReceivedAt = time.Now()
	cell.UpdateLoadReport(answer.Load)
}

// ErrBudgetExceeded refuses a probe that would exceed the receiver's budget.
const ErrBudgetExceeded = errors.ConstError("probe exceeds the budget of this node")

// Responder answers probes of other nodes.
type Responder struct {
	Board       *board.Board
	Instance    board.InstanceID
	Incarnation uint64
	// Load returns the present load of the executor.
	Load    func() board.LoadReport
	Peers   *peer.Transport
	Traffic *metrics.Traffic
}

// Handle implements peer.Handler.
func (a *Responder) Handle(_ context.Context, frame wire.Frame, stream *peer.Stream) error {
	a.Peers.CountReceived(frame)
	answer, err := a.Respond(frame, time.Now())
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(a.Peers.Answer(stream, wire.TypeProbeAnswer, answer))
}

// Respond checks a probe against the budget and returns its answer. It returns
// ErrOverBudget when the budget is spent.
func (a *Responder) Respond(frame wire.Frame, now time.Time) (*wire.ProbeAnswer, error) {
	var message wire.Probe
	if err := frame.Decode(&message); err != nil {
		return nil, errors.Trace(err)
	}
	if message.Instance != a.Instance {
		return nil, errors.Errorf("probe is for instance %s", message.Instance)
	}
	if !a.Board.Budgets.Load().IncomingProbes.Take(now, wire.ProbeCost) {
		a.Traffic.ProbesRefused.Inc(1)
		return nil, errors.Trace(ErrBudgetExceeded)
	}
	a.Traffic.ProbesAnswered.Inc(1)
	a.Traffic.ProbeBytes.Inc(wire.ProbeCost)
	return &wire.ProbeAnswer{Instance: a.Instance, Incarnation: a.Incarnation, Load: a.Load()}, nil
}
