// Package probe asks executors for their load when no recent call response has
// reported it. Each probe is charged to the sender's budget and to the
// receiver's, so that neither exceeds its configured rate in any second.
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
	// scanInterval is the time between two scans for instances of unknown load.
	scanInterval = 50 * time.Millisecond
	// probeTimeout bounds a probe; a later report would be out of date.
	probeTimeout = 250 * time.Millisecond
	// maxOutstanding bounds the probes in flight.
	maxOutstanding = 4
	// minProbeInterval is the shortest time between two probes of one instance, so
	// that a receiver that refuses a probe is not probed again at once.
	minProbeInterval = 500 * time.Millisecond
)

// Exchanger sends a control message to a node and reads the response.
// peer.Transport implements it.
type Exchanger interface {
	Exchange(ctx context.Context, addr string, requestType wire.MessageType, message any, responseType wire.MessageType, response any) error
}

// Controller sends probes. It writes no section: the load reports are stored in
// the endpoints.
type Controller struct {
	board   *board.Board
	peers   Exchanger
	traffic *metrics.TrafficMetrics

	// allowance is the number of probes that may still be sent. It grows with the
	// number of calls sent.
	allowance float64
	// callsSent is the number of calls sent per service as of the last scan.
	callsSent  map[string]uint64
	lastProbed map[board.InstanceID]time.Time
	// outstanding is a semaphore that holds one element per probe in flight.
	outstanding chan struct{}
}

// New returns the controller of a node.
func New(b *board.Board, peers Exchanger, traffic *metrics.TrafficMetrics) *Controller {
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

// probeUnknownLoads probes the instances whose load is not known, of services
// that were called since the last scan.
func (c *Controller) probeUnknownLoads(ctx context.Context, now time.Time) {
	active := c.accrueAllowance()
	maps.DeleteFunc(c.lastProbed, func(_ board.InstanceID, at time.Time) bool { return now.Sub(at) >= minProbeInterval })
	self := c.board.Members.Load().Self
	for id, endpoint := range c.board.Endpoints.Load().ByInstance {
		if c.allowance < 1 {
			return
		}
		if id == self || !active[endpoint.Member.Service] || !c.needsProbe(endpoint, now) {
			continue
		}
		c.startProbe(ctx, endpoint, now)
	}
}

// accrueAllowance raises the allowance for the calls sent since the last scan and
// returns the services that were called.
func (c *Controller) accrueAllowance() map[string]bool {
	sent := map[string]uint64{}
	for _, endpoint := range c.board.Endpoints.Load().ByInstance {
		sent[endpoint.Member.Service] += endpoint.Sent()
	}
	active := map[string]bool{}
	for service, n := range sent {
		// The sum falls when an instance leaves or restarts.
		if last := c.callsSent[service]; n > last {
			active[service] = true
			c.allowance = budget.ProbeAllowance(c.allowance, n-last)
		}
	}
	c.callsSent = sent
	return active
}

// needsProbe reports whether to probe an instance: it serves, its breaker is
// closed, its load is unknown and it was not probed within minProbeInterval.
func (c *Controller) needsProbe(endpoint *board.Endpoint, now time.Time) bool {
	m := endpoint.Member
	if m.State != board.MemberServing || now.Sub(c.lastProbed[m.Instance]) < minProbeInterval {
		return false
	}
	if c.board.Breakers.Load().State(m.Instance) != board.BreakerClosed {
		return false
	}
	report := endpoint.LatestLoadReport()
	if report == nil {
		return budget.NeedsProbe(false, 0, endpoint.OwnInFlight())
	}
	return budget.NeedsProbe(true, now.Sub(report.ReceivedAt), endpoint.OwnInFlight())
}

// startProbe sends a probe unless maxOutstanding probes are in flight or the
// budget is spent.
func (c *Controller) startProbe(ctx context.Context, endpoint *board.Endpoint, now time.Time) {
	select {
	case c.outstanding <- struct{}{}:
	default:
		return
	}
	if !c.board.Budgets.Load().OutgoingProbes.Take(now, wire.ProbeCostBytes) {
		<-c.outstanding
		return
	}
	c.allowance--
	c.lastProbed[endpoint.Member.Instance] = now
	c.traffic.ProbesSent.Inc(1)
	c.traffic.ProbeBytes.Inc(wire.ProbeCostBytes)
	go func() {
		defer func() { <-c.outstanding }()
		c.probe(ctx, endpoint)
	}()
}

// probe sends a probe and stores the load report of the response. A response of
// another incarnation counts as a failure.
func (c *Controller) probe(ctx context.Context, endpoint *board.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	m := endpoint.Member
	var response wire.ProbeResponse
	err := c.peers.Exchange(ctx, m.PeerAddr, wire.TypeProbe, wire.Probe{Instance: m.Instance}, wire.TypeProbeResponse, &response)
	if err != nil || response.Instance != m.Instance || response.Incarnation != m.Incarnation {
		c.traffic.ProbesFailed.Inc(1)
		return
	}
	response.LoadReport.ReceivedAt = time.Now()
	endpoint.UpdateLoadReport(response.LoadReport)
}

// ErrBudgetExceeded is returned for a probe that would exceed the receiver's
// budget.
const ErrBudgetExceeded = errors.ConstError("probe exceeds the budget of this node")

// Responder responds to probes of other nodes.
type Responder struct {
	Board       *board.Board
	Instance    board.InstanceID
	Incarnation uint64
	// Load returns the current load of the executor.
	Load    func() board.LoadReport
	Peers   *peer.Transport
	Traffic *metrics.TrafficMetrics
}

// Handle implements peer.Handler.
func (r *Responder) Handle(_ context.Context, frame wire.Frame, stream *peer.Stream) error {
	r.Peers.CountReceived(frame)
	response, err := r.Respond(frame, time.Now())
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(r.Peers.Respond(stream, wire.TypeProbeResponse, response))
}

// Respond charges a probe to the budget and returns the response. It returns
// ErrBudgetExceeded when the budget is spent.
func (r *Responder) Respond(frame wire.Frame, now time.Time) (*wire.ProbeResponse, error) {
	var message wire.Probe
	if err := frame.Decode(&message); err != nil {
		return nil, errors.Trace(err)
	}
	if message.Instance != r.Instance {
		return nil, errors.Errorf("probe is for instance %s", message.Instance)
	}
	if !r.Board.Budgets.Load().IncomingProbes.Take(now, wire.ProbeCostBytes) {
		r.Traffic.ProbesRefused.Inc(1)
		return nil, errors.Trace(ErrBudgetExceeded)
	}
	r.Traffic.ProbesAnswered.Inc(1)
	r.Traffic.ProbeBytes.Inc(wire.ProbeCostBytes)
	return &wire.ProbeResponse{Instance: r.Instance, Incarnation: r.Incarnation, LoadReport: r.Load()}, nil
}
