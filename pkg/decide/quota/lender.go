package quota

import (
	"math"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
)

// Report is what a node tells the lender of a group.
type Report struct {
	From board.InstanceID
	// Incarnation differs between the processes of a node. Sequence rises with each
	// report of a process to any lender of the group.
	Incarnation uint32
	Sequence    uint64
	// LenderIncarnation and Stamp are those of the last reply of this lender if the
	// node gives it its part, else 0.
	LenderIncarnation uint32
	Stamp             time.Duration
	// Validity is for how long the part counts from the stamp, and the grants from the
	// report.
	Validity time.Duration
	// Release is set if the node takes its part back.
	Release bool
	// FleetSize is the largest fleet size that the node knows, see FleetSizes.
	FleetSize int
	Usage     []Usage
	// WithHistory is set in the reports up to the first reply of the lender that has the
	// part. Age is then the age of the process, and History its requests.
	WithHistory bool
	Age         time.Duration
	History     []PastUsage
}

// PastUsage holds the requests of a customer that a node admitted in the last window, by
// their age in parts of the window.
type PastUsage struct {
	Customer string
	Counts   []float64
}

// Usage is the state of a customer at a node.
type Usage struct {
	Customer string
	// Granted and Used are the numbers of requests that were granted to the process and
	// that it has admitted. Grants of replies that did not arrive are not in Granted,
	// and the node ignores them if they arrive later.
	Granted, Used int64
	// Waiting is the number of requests that wait for a grant.
	Waiting int64
	// Demand is the number of requests per second at the node.
	Demand float64
}

// Reply is the response of a lender.
type Reply struct {
	LenderIncarnation uint32
	Stamp             time.Duration
	// Part is the part of the quotas that the lender may lend.
	Part float64
	// Stale is set if the lender has ignored the report because a later one had arrived.
	Stale  bool
	Grants []Grant
}

// Grant is the reply for one customer.
type Grant struct {
	Customer string
	Requests int64
	// Limited is set if the customer is near its quota. If not all waiting requests were
	// granted, the node refuses requests for Backoff and names RetryAfter to callers.
	Limited             bool
	Backoff, RetryAfter time.Duration
}

// Lender holds the accounts of the customers of one group. It starts with empty
// accounts and no parts. It must not be used concurrently.
type Lender struct {
	incarnation uint32
	limits      Limits
	// fleetSize is the largest fleet size that this node knows, see FleetSizes.
	fleetSize int
	nodes     map[board.InstanceID]*borrower
	accounts  map[string]*account
	// configured is set once the lender has a configuration.
	configured bool
	// removedAt holds when customers were removed within the last window.
	removedAt map[string]time.Duration
	// credit is the integral of the part over time in seconds, up to advancedAt.
	credit     float64
	part       float64
	advancedAt time.Duration
	// grownAt is when the part became larger.
	grownAt time.Duration
}

// growthTime is the time after a node has given its part during which denied nodes ask
// again soon: those of other nodes arrive then, and the account may hold requests.
const growthTime = 500 * time.Millisecond

// advanceInterval is the least time after which a report moves the lender on. Doing so
// visits all nodes, and each of them sends several reports per second.
const advanceInterval = 20 * time.Millisecond

// borrower is a node that has reported to the lender.
type borrower struct {
	incarnation uint32
	sequence    uint64
	reportedAt  time.Duration
	validity    time.Duration
	// partUntil is until when the lender has the part of the node.
	partUntil time.Duration
	// known is set while the lender has the usage of the node in the last window.
	known     bool
	fleetSize int
	customers map[string]*holding
}

// holding is what a node holds of an account.
type holding struct {
	granted, used int64
	demand        float64
}

func (h *holding) unused() float64 { return float64(max(0, h.granted-h.used)) }

// account is the token bucket of a customer. Available may be negative after requests
// that were not granted here.
type account struct {
	quota     dynconf.RequestQuota
	capacity  float64
	available float64
	// creditAt is the credit up to which the account was filled.
	creditAt float64
	// held and demand are the sums over all nodes.
	held, demand float64
	// history holds the requests of all nodes that have given the lender their part.
	history *History
	// assumed holds the part of the history that stands for the unknown usage of the
	// earlier processes of young nodes.
	assumed *History
}

// NewLender returns a lender without customers.
func NewLender(incarnation uint32, limits Limits, now time.Duration) *Lender {
	return &Lender{incarnation: incarnation, limits: limits, nodes: map[board.InstanceID]*borrower{}, accounts: map[string]*account{}, removedAt: map[string]time.Duration{}, advancedAt: now}
}

// Configure sets the quotas of the customers of the group. The account of a customer
// that is new in a later configuration is full, as far as the lender has the parts of
// nodes. The first configuration of a lender tells nothing about what others have lent.
func (l *Lender) Configure(quotas map[string]dynconf.RequestQuota, now time.Duration) {
	l.advance(now)
	for name, at := range l.removedAt {
		if now-at > l.limits.Window {
			delete(l.removedAt, name)
		}
	}
	for name := range l.accounts {
		if _, ok := quotas[name]; !ok {
			l.removedAt[name] = now
			delete(l.accounts, name)
			for _, node := range l.nodes {
				delete(node.customers, name)
			}
		}
	}
	for name, q := range quotas {
		a := l.accounts[name]
		if a == nil {
			a = &account{creditAt: l.credit, history: NewHistory(l.limits.Window), assumed: NewHistory(l.limits.Window)}
			l.accounts[name] = a
			if _, removed := l.removedAt[name]; l.configured && !removed {
				a.available = l.limits.Capacity(q) * l.part
			}
		}
		if a.capacity > 0 {
			l.fill(a)
		}
		a.quota, a.capacity = q, l.limits.Capacity(q)
		l.fill(a)
	}
	l.configured = true
}

// SetFleetSize sets the largest size that the fleet may have.
func (l *Lender) SetFleetSize(size int) { l.fleetSize = size }

// Status is the state of a lender for metrics.
type Status struct {
	Part      float64
	Nodes     int
	FleetSize int
}

// Status returns the state at a time.
func (l *Lender) Status(now time.Duration) Status {
	l.advance(now)
	parts, size := l.countParts(now)
	return Status{Part: l.part, Nodes: parts, FleetSize: size}
}

// countParts returns how many nodes have given the lender their part, and the largest
// fleet size that these or this node know.
func (l *Lender) countParts(now time.Duration) (parts, fleetSize int) {
	fleetSize = max(1, l.fleetSize)
	for _, node := range l.nodes {
		if now < node.partUntil {
			parts++
			fleetSize = max(fleetSize, node.fleetSize)
		}
	}
	return parts, max(fleetSize, parts)
}

// advance moves the lender to a time: it drops what nodes that no longer report hold,
// and determines its part of the quotas.
func (l *Lender) advance(now time.Duration) {
	if now <= l.advancedAt {
		return
	}
	previous := l.advancedAt
	l.advancedAt = now
	for id, node := range l.nodes {
		if now >= node.partUntil {
			node.known = false
		}
		if now-node.reportedAt > node.validity {
			// The grants have expired at the node. They may have been used, so they do not
			// return to the account.
			l.dropHoldings(node, now)
			if now-node.reportedAt > FleetSizeMemory {
				delete(l.nodes, id)
			}
		}
	}
	// A part that expired within the interval counts up to its expiry.
	parts, fleetSize := l.countParts(now)
	expired := 0.0
	for _, node := range l.nodes {
		if node.partUntil > previous && node.partUntil <= now {
			expired += (node.partUntil - previous).Seconds()
		}
	}
	l.credit += (float64(parts)*(now-previous).Seconds() + expired) / float64(fleetSize)
	l.setPart(float64(parts)/float64(fleetSize), now)
}

// setPart changes the part of the quotas. It takes effect on all accounts at once: the
// requests of the last window determine the level of an account, since a node that
// leaves takes its part of the account to another lender, and one that arrives brings it.
func (l *Lender) setPart(part float64, now time.Duration) {
	if part == l.part {
		return
	}
	larger := part > l.part
	l.part = part
	if larger {
		l.grownAt = now
	}
	for _, a := range l.accounts {
		l.fill(a)
		level := max(-a.capacity, a.capacity*part-max(0, a.held)-a.history.excess(l.limits.SustainedRate(a.quota)*part, now))
		if larger {
			a.available = max(a.available, level)
		} else {
			a.available = min(a.available, level)
		}
		l.fill(a)
	}
}

// learn enters the history of a node that gives the lender its part. The usage of the
// earlier process of a young node is not known: apart from a starting credit, its part
// of the accounts was empty when it started. The part of a node that sends no history
// begins empty.
func (l *Lender) learn(r *Report, now time.Duration) {
	for i := range r.History {
		if a := l.accounts[r.History[i].Customer]; a != nil {
			a.history.addAged(r.History[i].Counts, now)
		}
	}
	age := max(0, r.Age)
	if !r.WithHistory {
		age = 0
	}
	if age >= l.limits.Window {
		return
	}
	_, fleetSize := l.countParts(now)
	part := 1 / float64(max(fleetSize, r.FleetSize))
	startedAt := make([]float64, int(age*historyBuckets/l.limits.Window)+1)
	for _, a := range l.accounts {
		used := a.capacity
		if r.WithHistory {
			used -= l.limits.StartCredit(a.quota)
		}
		startedAt[len(startedAt)-1] = used * part
		a.history.addAged(startedAt, now)
		a.assumed.addAged(startedAt, now)
	}
}

// dropHoldings forgets what a node holds, without returning it to the accounts.
func (l *Lender) dropHoldings(node *borrower, now time.Duration) {
	for name, h := range node.customers {
		if a := l.accounts[name]; a != nil {
			a.held -= h.unused()
			a.demand -= h.demand
			a.history.Add(h.unused(), node.reportedAt, now)
		}
	}
	clear(node.customers)
}

// fill adds what has become available since the last time.
func (l *Lender) fill(a *account) {
	a.available += l.limits.SustainedRate(a.quota) * (l.credit - a.creditAt)
	a.creditAt = l.credit
	room := a.capacity*l.part - max(0, a.held)
	if l.part > 0 {
		// A lender of few nodes lends single requests, at its part of the rate.
		room = max(room, 1)
	}
	a.available = min(a.available, max(0, room))
	// The account fills at the rate that each window allows. It starts full, so that the
	// first window would allow more without this.
	used := a.history.Sum(l.advancedAt) - a.assumed.Sum(l.advancedAt)
	a.available = min(a.available, l.limits.WindowLimit(a.quota)*l.part-used-max(0, a.held))
}

// Answer processes a report and returns the reply. The spread is a random number from 0
// to 1.
func (l *Lender) Answer(r *Report, now time.Duration, spread float64) *Reply {
	if now-l.advancedAt >= advanceInterval {
		l.advance(now)
	}
	reply := &Reply{LenderIncarnation: l.incarnation, Stamp: now}
	node := l.nodes[r.From]
	if node != nil && node.incarnation == r.Incarnation && r.Sequence <= node.sequence {
		reply.Stale = true
		return reply
	}
	if node != nil && node.incarnation != r.Incarnation {
		l.dropHoldings(node, now)
		node.incarnation = r.Incarnation
	}
	if node == nil {
		node = &borrower{incarnation: r.Incarnation, reportedAt: now, customers: map[string]*holding{}}
		l.nodes[r.From] = node
	}
	partUntil := node.partUntil
	switch {
	case r.Release:
		partUntil = 0
	case r.LenderIncarnation == l.incarnation:
		partUntil = max(partUntil, min(r.Stamp, now)+min(r.Validity, maxValidity))
	}
	if partUntil > now && !node.known {
		node.known = true
		l.learn(r, now)
	}
	if (partUntil > now) != (node.partUntil > l.advancedAt) || r.FleetSize != node.fleetSize {
		l.advance(now)
		node.partUntil, node.fleetSize = partUntil, r.FleetSize
		parts, fleetSize := l.countParts(now)
		l.setPart(float64(parts)/float64(fleetSize), now)
	}
	for i := range r.Usage {
		if a := l.accounts[r.Usage[i].Customer]; a != nil {
			l.settle(a, node, &r.Usage[i], now)
		}
	}
	node.partUntil, node.sequence, node.reportedAt, node.validity = partUntil, r.Sequence, now, min(r.Validity, maxValidity)
	reply.Part = l.part
	if r.Release {
		l.dropHoldings(node, now)
		node.known = false
		return reply
	}
	for i := range r.Usage {
		u := &r.Usage[i]
		if a := l.accounts[u.Customer]; a != nil {
			if g := l.grant(a, node.customers[u.Customer], u, now, spread); g != nil {
				reply.Grants = append(reply.Grants, *g)
			}
		}
	}
	return reply
}

// settle enters the usage of a node into an account.
func (l *Lender) settle(a *account, node *borrower, u *Usage, now time.Duration) {
	h := node.customers[u.Customer]
	if h == nil {
		// What the node holds was granted by an earlier lender.
		h = &holding{granted: u.Granted, used: u.Granted}
		node.customers[u.Customer] = h
	} else {
		a.history.Add(float64(u.Used-h.used), node.reportedAt, now)
	}
	a.held += float64(max(0, u.Granted-u.Used)) - h.unused()
	a.demand = max(0, a.demand+u.Demand-h.demand)
	// Positive: grants that were given back or did not arrive. Negative: grants of
	// another lender.
	a.available = max(a.available+float64(h.granted-u.Granted), -a.capacity)
	h.granted, h.used, h.demand = u.Granted, u.Used, u.Demand
	l.fill(a)
}

const (
	// openLevel is the part of its capacity above which an account lends all that a node
	// asks for. Below it, a node gets its share of the rate.
	openLevel = 0.25
	// maxHeldLevel is the part of the capacity that nodes may hold in advance.
	maxHeldLevel = 0.4
	// reserveLevel is the part of the capacity that is kept for waiting requests.
	reserveLevel = 0.4
)

// grant lends requests to a node, nil if it neither needs nor gets any.
func (l *Lender) grant(a *account, h *holding, u *Usage, now time.Duration, spread float64) *Grant {
	rate, capacity := l.limits.SustainedRate(a.quota)*l.part, a.capacity*l.part
	advance := min(float64(Hold(u.Demand))-h.unused(), maxHeldLevel*capacity-a.held, a.available-float64(u.Waiting)-reserveLevel*capacity)
	want := float64(u.Waiting) + math.Floor(max(0, advance))
	backoff := Backoff(a.available, rate, capacity, a.demand, u.Demand)
	growing := l.grownAt > 0 && now-l.grownAt < growthTime
	if growing {
		backoff = minBackoff
	}
	limited := !growing && a.available < openLevel*capacity-a.held
	if limited && a.demand > 0 {
		share := math.Ceil(rate * u.Demand / a.demand * backoff.Seconds())
		want = min(want, max(1, share))
	}
	amount := math.Floor(min(want, a.available))
	if amount < 0 || l.part == 0 {
		amount = 0
	}
	if amount == 0 && u.Waiting == 0 {
		return nil
	}
	// Waiting requests use their grants at once. If they counted as held until the next
	// report, a large demand on a small capacity would find no room in the account.
	used := min(amount, float64(u.Waiting))
	a.available -= amount
	a.held += amount - used
	h.granted += int64(amount)
	h.used += int64(used)
	a.history.Add(used, now, now)
	g := &Grant{Customer: u.Customer, Requests: int64(amount), Limited: limited}
	if int64(amount) < u.Waiting {
		g.Limited, g.Backoff, g.RetryAfter = true, backoff, RetryAfter(a.available, rate, a.demand, spread)
	}
	return g
}
