package quota

import (
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/quota"
)

// begin makes the report of a group that is due, nil if there is no lender.
func (c *Controller) begin(g *group, now time.Duration) *outgoing {
	g.state.ClearAsked()
	c.observeFleet(now)
	if now >= g.state.GrantsUntil() {
		for _, s := range g.customers {
			s.granted -= s.counter.Remove(s.counter.Balance())
		}
	}
	fleet := c.board.Fleet.Load()
	c.chooseTarget(g, fleet, now)
	target := g.target
	if g.delegation.Inherited {
		previous := g.delegation
		g.delegation = previous.Started(c.startedAt, fleet.Size, target != "" && c.listingMerged(fleet), now)
		if g.delegation != previous {
			g.setFallbackFrom(now + maxTimeout)
		}
	}
	if target == c.board.Self.Instance && c.fleetSize.Load() == 1 && g.delegation.Lender == "" {
		// No other node can have the part of the only one.
		g.delegation = g.delegation.Released("", now)
	}
	release := g.delegation.Lender != "" && g.delegation.HeldByOther(target, now) && c.reachable(g, fleet, g.delegation.Lender, now)
	if release {
		target = g.delegation.Lender
	}
	size := int(c.fleetSize.Load())
	g.dueAt = now + quota.ReportInterval(size)
	if target == "" {
		g.state.SetSilent(true)
		g.state.NotifyReplied()
		g.dueAt = now + retryDelay
		return nil
	}
	g.sequence++
	report := &quota.Report{
		From: c.board.Self.Instance, Incarnation: c.incarnation, Sequence: g.sequence, Release: release,
		FleetSize: size, Validity: quota.Validity(size), Usage: g.usage(now),
	}
	if g.delegation.Lender == target && !release {
		report.LenderIncarnation, report.Stamp, report.Validity = g.delegation.Incarnation, g.delegation.Stamp, g.delegation.Validity
		if g.historyAt != (lenderProcess{target, g.delegation.Incarnation}) {
			report.WithHistory, report.Age, report.History = true, now-c.startedAt, g.history(now)
		}
	}
	out := &outgoing{group: g, target: target, message: encodeReport(g.state.Number, report), sentAt: now, timeout: firstTimeout << max(0, g.failures-1), validity: report.Validity}
	if endpoint := fleet.ByInstance[target]; endpoint != nil {
		out.addr = endpoint.Record.PeerAddr
	}
	g.inFlight = true
	return out
}

// usage returns the state of the customers of a group for which it has changed, or that
// have grants, which a report renews.
func (g *group) usage(now time.Duration) []quota.Usage {
	var usage []quota.Usage
	for name, s := range g.customers {
		requests, waiting := s.requests(), s.counter.Waiting()
		arrived := max(0, requests-s.counted)
		s.recordAdmitted(now)
		if arrived == 0 && s.demand == 0 {
			s.countedAt = now
		}
		s.demand = quota.UpdateDemand(s.demand, arrived, now-s.countedAt)
		s.counted, s.countedAt = max(s.counted, requests), now
		if arrived == 0 && waiting == 0 && s.counter.Balance() == 0 && !s.changed && !quota.DemandChanged(s.reportedDemand, s.demand) {
			continue
		}
		s.granted -= s.counter.Remove(quota.Surplus(s.counter.Balance(), s.demand))
		s.counter.SetLowWater(quota.LowWater(s.demand))
		s.changed, s.reportedDemand = false, s.demand
		usage = append(usage, quota.Usage{
			Customer: name, Granted: s.granted, Used: s.granted - s.counter.Balance(), Waiting: waiting, Demand: s.demand,
		})
	}
	return usage
}

// history returns the requests of the last window.
func (g *group) history(now time.Duration) []quota.PastUsage {
	var history []quota.PastUsage
	for name, s := range g.customers {
		if counts := s.history.Counts(now); len(counts) > 0 {
			history = append(history, quota.PastUsage{Customer: name, Counts: counts})
		}
	}
	return history
}

// finish processes the end of a report.
func (c *Controller) finish(r result, now time.Duration) {
	g := r.report.group
	g.inFlight = false
	defer g.state.NotifyReplied()
	if r.err != nil {
		c.reportFailed(g, r, now)
		return
	}
	g.failures = 0
	if g.delegation.Incarnation != r.reply.LenderIncarnation {
		// An earlier process of the lender has ended.
		g.delegation = g.delegation.Released(r.report.target, now)
	}
	if r.reply.NotReady {
		if now-c.startedAt < fleetStartTime {
			// The whole fleet may have started; a change of the lender would split it.
			g.dueAt = now + notReadyDelay
			return
		}
		g.avoid[r.report.target], g.target = now+notReadyTime, ""
		g.setFallbackFrom(now + maxTimeout)
		g.dueAt = now
		return
	}
	if r.report.message.Release {
		g.delegation = g.delegation.Released(r.report.target, now)
		g.setFallbackFrom(now + maxTimeout)
		g.historyAt = lenderProcess{}
		g.dueAt = now
		return
	}
	if r.reply.Stale {
		g.dueAt = now
		return
	}
	repliedBefore := g.repliedAt
	stamp := time.Duration(r.reply.StampMillis) * time.Millisecond
	g.delegation = g.delegation.Replied(r.report.target, r.reply.LenderIncarnation, stamp, quota.Validity(int(c.fleetSize.Load())), now)
	g.repliedAt = now
	switch {
	case g.delegation.Lender != r.report.target:
	case r.report.message.WithHistory && g.delegation.Incarnation == r.report.message.LenderIncarnation:
		g.historyAt = lenderProcess{r.report.target, g.delegation.Incarnation}
	case now-repliedBefore > r.report.validity:
		// The lender has dropped what it knew of this node.
		g.historyAt = lenderProcess{}
	}
	grantsUntil := r.report.sentAt + r.report.validity
	// A node that a lender serves does not use its fallback, even if an earlier lender
	// has its part.
	g.state.SetTimes(grantsUntil, max(grantsUntil, g.delegation.Until))
	if g.delegation.Lender == r.report.target && r.report.message.LenderIncarnation != g.delegation.Incarnation {
		// The lender gets the part of this node with the next report.
		g.dueAt = now
	}
	g.state.SetSilent(false)
	g.applyGrants(r, now)
}

// setFallbackFrom sets when the fallback begins, but not before the part of the node is
// free.
func (g *group) setFallbackFrom(from time.Duration) {
	g.state.SetTimes(g.state.GrantsUntil(), max(from, g.delegation.Until))
}

// applyGrants adds what a lender granted.
func (g *group) applyGrants(r result, now time.Duration) {
	grants := map[string]*Grant{}
	for i := range r.reply.Grants {
		grants[r.reply.Grants[i].Customer] = &r.reply.Grants[i]
	}
	for _, u := range r.report.message.Usage {
		s := g.customers[u.Customer]
		grant := grants[u.Customer]
		switch {
		case grant != nil:
			s.granted += grant.Requests
			s.counter.AddGrants(grant.Requests)
			s.counter.SetDenial(nil)
			if grant.BackoffMillis > 0 {
				s.counter.SetDenial(&board.QuotaDenial{
					RefuseUntil: now + time.Duration(grant.BackoffMillis)*time.Millisecond,
					RetryAt:     now + time.Duration(grant.RetryAfterMillis)*time.Millisecond,
				})
			}
		case u.Waiting > 0:
			// The lender does not know the customer yet.
			s.counter.SetDenial(&board.QuotaDenial{RefuseUntil: now + retryDelay, RetryAt: now + 2*retryDelay})
		}
	}
}

// reportFailed decides how the node goes on after a report without a reply.
func (c *Controller) reportFailed(g *group, r result, now time.Duration) {
	g.failures++
	for _, u := range r.report.message.Usage {
		g.customers[u.Customer].changed = true
	}
	// Requests wait for three attempts, but not longer.
	silent := g.failures > 2
	ended := errors.Is(r.err, ErrEnded)
	if ended {
		g.delegation = g.delegation.Released(r.report.target, now)
		g.setFallbackFrom(now + maxTimeout)
	}
	if ended && now-c.startedAt < fleetStartTime {
		// The lender may be starting like this node.
		g.failures = 0
		g.dueAt = now + notReadyDelay
		return
	}
	unsupported := errors.Is(r.err, ErrInvalidResponse)
	if ended || unsupported || g.failures >= failuresToSwitch {
		g.avoid[r.report.target] = now + avoidTime
		g.failures = 0
		g.target = ""
		if unsupported {
			g.avoid[r.report.target] = now + unsupportedTime
		} else if endpoint := c.board.Fleet.Load().ByInstance[r.report.target]; endpoint != nil {
			// The directory contacts the node until it responds.
			endpoint.Reachability.RecordFailure()
		}
	}
	g.state.SetSilent(silent)
	g.dueAt = now
	if !ended {
		// A node that fails at once, such as one of an earlier release, is not asked in
		// rapid succession.
		g.dueAt = max(now, r.report.sentAt+firstTimeout)
	}
	c.log.Debug().Err(r.err).Str("event", "quota_report_failed").Int("group", g.state.Number).Str("lender", string(r.report.target)).Send()
	c.metrics.IncrementCounter("quota_reports_failed", nil)
}

// reachable reports whether a node may be the lender of a group as far as this node
// knows.
func (c *Controller) reachable(g *group, fleet *board.Fleet, id board.InstanceID, now time.Duration) bool {
	if id == c.board.Self.Instance {
		return true
	}
	endpoint := fleet.ByInstance[id]
	if endpoint == nil || now < g.avoid[id] || endpoint.Reachability.Replaced() {
		return false
	}
	// A lender that replies is kept, whatever other exchanges with it say.
	return !endpoint.Reachability.Suspected() || id == g.delegation.Lender && g.failures == 0
}

// chooseTarget chooses the lender of a group, "" if this node has contact to no other
// one, or does not know the fleet yet.
func (c *Controller) chooseTarget(g *group, fleet *board.Fleet, now time.Duration) {
	if g.target != "" && fleet == g.fleet && now-g.chosenAt < targetReuse && c.reachable(g, fleet, g.target, now) {
		return
	}
	defer c.logTarget(g)
	g.target, g.fleet, g.chosenAt = "", fleet, now
	for id, until := range g.avoid {
		if now >= until {
			delete(g.avoid, id)
		}
	}
	if fleet.Size <= 1 && !c.listingMerged(fleet) {
		return
	}
	self := c.board.Self.Instance
	var candidates []board.InstanceID
	for id, endpoint := range fleet.ByInstance {
		if id != self && !endpoint.Record.Leaving && c.reachable(g, fleet, id, now) {
			candidates = append(candidates, id)
		}
	}
	switch {
	case len(candidates) == 0 && c.fleetSize.Load() > 1:
		// A node without contact uses its part itself, see quota.Fallback.
		return
	case len(candidates) == 0 || !c.board.Shutdown.Load().Requested:
		candidates = append(candidates, self)
	}
	g.target = quota.ChooseLender(g.state.Number, candidates)
}

// listingMerged reports whether the fleet has all nodes of a listing of the store.
func (c *Controller) listingMerged(fleet *board.Fleet) bool {
	store := c.board.Store.Load()
	if store.ListingRequestedAt.IsZero() {
		return false
	}
	for id := range store.ListedRecords {
		if id != c.board.Self.Instance && fleet.ByInstance[id] == nil {
			return false
		}
	}
	return true
}

// logTarget logs a change of the lender of a group; none means that this node uses its
// part itself.
func (c *Controller) logTarget(g *group) {
	if g.target == g.loggedTarget {
		return
	}
	c.log.Info().Str("event", "quota_lender").Int("group", g.state.Number).Str("lender", string(g.target)).
		Str("previous", string(g.loggedTarget)).Int("fleet_size", int(c.fleetSize.Load())).Send()
	g.loggedTarget = g.target
}
