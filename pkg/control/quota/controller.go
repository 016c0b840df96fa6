// Package quota applies the quotas of customers over all nodes. Its controller reports
// the requests of this node to the lenders of the groups of customers, answers the
// reports of other nodes as a lender, and writes the Quotas section. It does nothing
// while no customer of the configuration in force has a limit.
package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/bootclock"
	"mangostand.example/mangostand/pkg/decide/quota"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/guard"
	"mangostand.example/mangostand/pkg/metrics"
)

const (
	// firstTimeout bounds the first two attempts of a report; each further one has twice
	// the time. A reply takes about 10 ms between failure domains, and requests wait for
	// it.
	firstTimeout = 100 * time.Millisecond
	// maxTimeout is the longest time limit of a report.
	maxTimeout = firstTimeout << (failuresToSwitch - 2)
	// failuresToSwitch is the number of reports without a reply after which a node
	// reports to another lender. A busy lender may miss some.
	failuresToSwitch = 4
	// retryDelay is the time between two attempts without a lender.
	retryDelay = 100 * time.Millisecond
	// avoidTime is how long a node does not report to a lender that did not reply, and
	// unsupportedTime to one that does not know reports, as during an upgrade.
	avoidTime = 3 * time.Second
	// notReadyTime is how long a node does not report to a lender that has no
	// configuration yet. A starting node gets it within a second.
	notReadyTime    = time.Second
	unsupportedTime = 30 * time.Second
	// fleetStartTime is the time after its start for which a node waits for a lender that
	// has not started or has no configuration yet, and notReadyDelay the time between two attempts.
	fleetStartTime = time.Second
	notReadyDelay  = 50 * time.Millisecond
	// targetReuse is how long the choice of a lender is used without another look at the
	// fleet, while its replies arrive.
	targetReuse = 500 * time.Millisecond
	// publishInterval is the time between two updates of the metrics.
	publishInterval = time.Second
)

// ErrEnded says that no process listens at the address of a lender, so that it no
// longer lends.
var ErrEnded = errors.New("lender has ended")

// ErrInvalidResponse says that a node responded, but not as a lender does.
var ErrInvalidResponse = errors.New("invalid response of lender")

// SendFunc sends a message to a node and returns its response. Its error is ErrEnded if
// the connection was refused, and ErrInvalidResponse if the response was invalid.
type SendFunc func(ctx context.Context, addr string, m *Message) (*Response, error)

// Controller reports the requests of the node and writes the Quotas section.
type Controller struct {
	board       *board.MeshBoard
	limits      quota.Limits
	incarnation uint32
	send        SendFunc
	metrics     *metrics.MeshMetrics
	log         zerolog.Logger
	writer      *board.Writer[*board.Quotas]
	now         func() time.Duration
	random      func() float64

	groups     [quota.Groups]*group
	startedAt  time.Duration
	fleetSizes *quota.FleetSizes
	// observedFleet is the last view of the fleet, in which stayingNodes do not leave.
	observedFleet *board.Fleet
	stayingNodes  int
	// fleetSize is the largest size that the fleet may have, see quota.FleetSizes.
	fleetSize atomic.Int64
	// fallbackSize is the fleet size for which the fallbacks were set, and fallbackRank
	// the rank of this node in that fleet.
	fallbackSize, fallbackRank int
	done                       chan result
	statistics                 statistics

	lendersMu sync.Mutex
	lenders   [quota.Groups]struct {
		lender        *quota.Lender
		configVersion uint64
	}
}

// group is what the node knows of a group of customers.
type group struct {
	state      *board.QuotaGroup
	delegation quota.Delegation
	sequence   uint64
	customers  map[string]*customerState
	// inFlight is set while a report is under way. dueAt is when the next one is due.
	inFlight bool
	dueAt    time.Duration
	// historyAt is the lender that knows the earlier requests of this node.
	historyAt lenderProcess
	// repliedAt is when the last reply arrived.
	repliedAt time.Duration
	// target is the lender chosen at chosenAt from a view of the fleet.
	target   board.InstanceID
	chosenAt time.Duration
	fleet    *board.Fleet
	// loggedTarget is the lender in the last log line.
	loggedTarget board.InstanceID
	failures     int
	avoid        map[board.InstanceID]time.Duration
}

// lenderProcess identifies a process of a lender.
type lenderProcess struct {
	id          board.InstanceID
	incarnation uint32
}

// customerState is what the node reports of a customer.
type customerState struct {
	counter *board.QuotaCounter
	quota   dynconf.RequestQuota
	// granted is the number of requests granted to this process.
	granted int64
	demand  float64
	// reportedDemand is the demand in the last report.
	reportedDemand float64
	// counted is the number of requests in demand, up to countedAt.
	counted   int64
	countedAt time.Duration
	// history holds the requests that were admitted in the last window, of which admitted
	// up to countedAt since the start.
	history  *quota.History
	admitted int64
	// changed is set if the lender may not know the state in the last report.
	changed bool
}

// requests returns the number of requests since the start.
func (s *customerState) requests() int64 {
	return s.granted - s.counter.Balance() + s.counter.Refused() + s.counter.FallbackAdmitted()
}

// recordAdmitted enters the requests that were admitted since countedAt in the history.
func (s *customerState) recordAdmitted(now time.Duration) {
	admitted := s.granted - s.counter.Balance() + s.counter.FallbackAdmitted()
	if admitted != s.admitted {
		s.history.Add(float64(admitted-s.admitted), s.countedAt, now)
		s.admitted = admitted
	}
}

// result is the end of a report.
type result struct {
	report *outgoing
	reply  *Response
	err    error
}

// outgoing is a report under way.
type outgoing struct {
	group   *group
	target  board.InstanceID
	addr    string
	message *Message
	sentAt  time.Duration
	timeout time.Duration
	// validity is for how long the grants of the reply are valid.
	validity time.Duration
}

// New claims the Quotas section. The incarnation must differ between the processes of
// the node.
func New(b *board.MeshBoard, limits quota.Limits, incarnation uint32, send SendFunc, m *metrics.MeshMetrics, log zerolog.Logger) *Controller {
	c := &Controller{
		board: b, limits: limits, incarnation: incarnation, send: send, metrics: m, log: log, writer: b.Quotas.Claim("quota"),
		now: bootclock.Now, random: rand.Float64, done: make(chan result, quota.Groups),
		fleetSizes: quota.NewFleetSizes(limits.FleetSizeMemory()),
	}
	for i := range c.groups {
		c.groups[i] = &group{
			state: board.NewQuotaGroup(i, b.QuotaReports), customers: map[string]*customerState{}, avoid: map[board.InstanceID]time.Duration{},
		}
	}
	return c
}

// Name returns the name of the controller.
func (c *Controller) Name() string { return "quota" }

// Run reports until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	routes, fleets, stores := c.board.Routes.Subscribe(), c.board.Fleet.Subscribe(), c.board.Store.Subscribe()
	c.start(c.now())
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		var due <-chan time.Time
		if c.configure(c.now()) {
			timer.Reset(c.runDue(ctx))
			due = timer.C
		}
		select {
		case <-ctx.Done():
			return
		case <-routes:
		case <-fleets:
			c.fleetChanged(c.now())
		case <-stores:
			c.fleetChanged(c.now())
		case <-due:
		case number := <-c.board.QuotaReports.Events():
			c.groups[number].dueAt = 0
		case r := <-c.done:
			c.finish(r, c.now())
		}
	}
}

// start begins the wait for the part that the earlier process may have given away, and
// spreads the reports of the nodes.
func (c *Controller) start(now time.Duration) {
	c.startedAt = now
	for _, g := range c.groups {
		g.delegation = quota.NewDelegation(now)
		g.state.SetTimes(0, g.delegation.Until)
		g.dueAt = now
	}
}

// runDue starts the reports that are due and returns the time until the next one.
func (c *Controller) runDue(ctx context.Context) time.Duration {
	now := c.now()
	reports, next := c.collectDue(now)
	for _, report := range reports {
		go c.deliver(ctx, report)
	}
	c.statistics.publish(c, now)
	return next
}

// collectDue returns the reports that are due and the time until the next one.
func (c *Controller) collectDue(now time.Duration) (reports []*outgoing, next time.Duration) {
	next = publishInterval
	for _, g := range c.groups {
		if g.inFlight {
			continue
		}
		if g.dueAt <= now {
			if report := c.begin(g, now); report != nil {
				reports = append(reports, report)
				continue
			}
		}
		next = min(next, max(0, g.dueAt-now))
	}
	return reports, next
}

// deliver sends a report and passes its result to the controller.
func (c *Controller) deliver(ctx context.Context, report *outgoing) {
	r := result{report: report, err: errors.New("report failed")}
	defer func() {
		select {
		case c.done <- r:
		case <-ctx.Done():
		}
	}()
	defer guard.Recover(c.log, "quota report", nil)
	if report.target == c.board.Self.Instance {
		r.reply, r.err = c.Respond(report.message)
		return
	}
	sendCtx, cancel := context.WithTimeout(ctx, report.timeout)
	defer cancel()
	r.reply, r.err = c.send(sendCtx, report.addr, report.message)
	if r.err == nil && r.reply.From != report.target {
		r.err = errors.Errorf("node %s responded at the address of %s", r.reply.From, report.target)
	}
}

// configure takes over the quotas of the configuration in force and reports whether any
// customer has a limit.
func (c *Controller) configure(now time.Duration) bool {
	table, current := c.board.Routes.Load(), c.writer.Load()
	if table.Version == current.ConfigVersion {
		return len(current.ByCustomer) > 0
	}
	next := &board.Quotas{ConfigVersion: table.Version, ByCustomer: map[string]*board.QuotaCounter{}}
	table.Customers.All(func(customer *dynconf.Customer) bool {
		if !customer.Quota.Limited() {
			return true
		}
		g := c.groups[quota.Group(customer.Name)]
		s := g.customers[customer.Name]
		if s == nil {
			s = &customerState{counter: &board.QuotaCounter{Customer: customer.Name, Group: g.state}, countedAt: now, history: quota.NewHistory(c.limits.Window)}
			g.customers[customer.Name] = s
		}
		if s.quota != customer.Quota {
			// What was granted under the earlier limit is given back.
			s.granted -= s.counter.Remove(s.counter.Balance())
			s.quota = customer.Quota
			s.changed = true
			c.setFallback(s)
		}
		next.ByCustomer[customer.Name] = s.counter
		return true
	})
	if len(next.ByCustomer) > 0 || len(current.ByCustomer) > 0 {
		c.log.Info().Str("event", "quotas").Uint64("config_version", table.Version).Int("customers", len(next.ByCustomer)).Send()
	}
	c.statistics.configure(next, table)
	c.writer.Publish(next)
	return len(next.ByCustomer) > 0
}

// fleetChanged takes over a new view of the fleet, so that no member that leaves is missed,
// and lets a node that has just started look for a lender again.
func (c *Controller) fleetChanged(now time.Duration) {
	c.observeFleet(now)
	for _, g := range c.groups {
		if g.delegation.Inherited {
			g.dueAt = min(g.dueAt, now)
		}
	}
}

// observeFleet updates the largest fleet size, and the fallbacks that depend on it.
func (c *Controller) observeFleet(now time.Duration) {
	fleet := c.board.Fleet.Load()
	if fleet != c.observedFleet {
		c.observedFleet, c.stayingNodes = fleet, c.fleetSizes.ObserveMembers(fleet, now)
	}
	size := c.fleetSizes.Observe(c.stayingNodes, now)
	c.fleetSize.Store(int64(size))
	if size == c.fallbackSize {
		return
	}
	c.fallbackSize, c.fallbackRank = size, 0
	for id := range fleet.ByInstance {
		if id < c.board.Self.Instance {
			c.fallbackRank++
		}
	}
	for _, g := range c.groups {
		for _, s := range g.customers {
			c.setFallback(s)
		}
	}
}

func (c *Controller) setFallback(s *customerState) {
	size := max(1, c.fallbackSize)
	f := quota.NewFallback(s.quota.Rate, c.limits.Capacity(s.quota), size)
	s.counter.Fallback.Store(&board.QuotaFallback{
		Interval: f.Interval, Lifetime: f.Lifetime, Phase: f.Phase(c.fallbackRank, size, s.counter.Customer),
	})
}
