package quota

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
)

const (
	// namedCustomers is the number of customers with counters of their own, those with
	// the largest quotas. maxNames bounds the names over all configurations.
	namedCustomers = 8
	maxNames       = 32
	// limitedLogInterval is the least time between two log lines on refused requests.
	limitedLogInterval = 5 * time.Second
)

// statistics publishes counters, gauges and log lines.
type statistics struct {
	publishedAt time.Duration
	loggedAt    time.Duration
	// names maps customers to their label; all others are counted as board.OtherCustomers.
	names map[string]bool
	// named holds all names that ever had a label.
	named  map[string]bool
	counts map[string]counts
	// refusedSinceLog counts refused requests by label since the last log line.
	refusedSinceLog map[string]int64
}

// counts are the counts of a customer that were published.
type counts struct{ admitted, fallback, refused int64 }

// configure chooses the customers with counters of their own.
func (s *statistics) configure(quotas *board.Quotas, table *dynconf.RouteTable) {
	if s.named == nil {
		s.named, s.counts, s.refusedSinceLog = map[string]bool{}, map[string]counts{}, map[string]int64{}
	}
	var customers []*dynconf.Customer
	for name := range quotas.ByCustomer {
		customers = append(customers, table.Customers.ByName(name))
	}
	slices.SortFunc(customers, func(a, b *dynconf.Customer) int {
		return cmp.Or(cmp.Compare(b.Quota.Rate, a.Quota.Rate), cmp.Compare(a.Name, b.Name))
	})
	s.names = map[string]bool{}
	for _, customer := range customers[:min(len(customers), namedCustomers)] {
		if s.named[customer.Name] || len(s.named) < maxNames {
			s.named[customer.Name], s.names[customer.Name] = true, true
		}
	}
}

// publish publishes the state at most once per publishInterval.
func (s *statistics) publish(c *Controller, now time.Duration) {
	if now-s.publishedAt < publishInterval {
		return
	}
	s.publishedAt = now
	for _, g := range c.groups {
		for name, state := range g.customers {
			s.count(c, name, state)
		}
		tags := map[string]string{"group": strconv.Itoa(g.state.Number)}
		c.metrics.SetGauge("quota_fallback", tags, boolGauge(now >= g.state.FallbackFrom()))
		c.metrics.SetGauge("quota_reply_age_seconds", tags, (now - g.repliedAt).Seconds())
		status, leads := c.lenderStatus(g.state.Number, now)
		c.metrics.SetGauge("quota_lender", tags, boolGauge(leads))
		c.metrics.SetGauge("quota_lender_part", tags, status.Part)
		c.metrics.SetGauge("quota_lender_nodes", tags, float64(status.Nodes))
	}
	c.metrics.SetGauge("quota_fleet_size", nil, float64(c.fleetSize.Load()))
	c.metrics.SetGauge("quota_config_version", nil, float64(c.writer.Load().ConfigVersion))
	if len(s.refusedSinceLog) > 0 && now-s.loggedAt >= limitedLogInterval {
		s.loggedAt = now
		event := c.log.Info().Str("event", "quota_refused").Uint64("config_version", c.writer.Load().ConfigVersion).Int64("fleet_size", c.fleetSize.Load())
		for _, g := range c.groups {
			event = event.Dur("reply_age_"+strconv.Itoa(g.state.Number), now-g.repliedAt)
		}
		event.Interface("refused", s.refusedSinceLog).Send()
		s.refusedSinceLog = map[string]int64{}
	}
}

// count publishes the requests of a customer since the last time.
func (s *statistics) count(c *Controller, name string, state *customerState) {
	label := board.OtherCustomers
	if s.names[name] {
		label = name
	}
	last := s.counts[name]
	next := counts{
		admitted: max(last.admitted, state.granted-state.counter.Balance()), fallback: state.counter.FallbackAdmitted(), refused: state.counter.Refused(),
	}
	if next == last {
		return
	}
	s.counts[name] = next
	for result, n := range map[string]int64{
		"granted": next.admitted - last.admitted, "fallback": next.fallback - last.fallback, "refused": next.refused - last.refused,
	} {
		if n > 0 {
			c.metrics.AddToCounter("quota_requests", map[string]string{"customer": label, "result": result}, n)
		}
	}
	if next.refused > last.refused {
		s.refusedSinceLog[label] += next.refused - last.refused
	}
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
