package relay

import (
	"time"

	"github.com/juju/errors"
)

// Rule changes the packets on the way between two ends. An end is the name of
// a node, the name of a failure domain, or * for any.
type Rule struct {
	From string `json:"from"`
	To   string `json:"to"`
	// Bidirectional applies the rule in the other direction as well.
	Bidirectional bool `json:"both"`
	// DropAll drops every packet.
	DropAll bool `json:"cut"`
	// Drop, Duplicate and Reorder are probabilities between 0 and 1.
	Drop      float64 `json:"drop"`
	Duplicate float64 `json:"duplicate"`
	Reorder   float64 `json:"reorder"`
	// ExtraDelayMS is added to the delay of the table, in milliseconds.
	ExtraDelayMS float64 `json:"extra_delay_ms"`
}

// maxExtraDelayMS keeps a mistyped delay from holding packets for hours.
const maxExtraDelayMS = 60_000

// effect is what happens to a packet of one flow.
type effect struct {
	Drop, Duplicate, Reorder float64
	delay                    time.Duration
}

// effectOn sums the delay table and the rules in force for a flow.
func (r *Relay) effectOn(from, to *port) effect {
	e := effect{delay: r.config.delay(from.domain, to.domain)}
	for _, rule := range *r.rules.Load() {
		if !rule.matches(from, to) {
			continue
		}
		if rule.DropAll {
			e.Drop = 1
		}
		e.Drop = max(e.Drop, rule.Drop)
		e.Duplicate = max(e.Duplicate, rule.Duplicate)
		e.Reorder = max(e.Reorder, rule.Reorder)
		e.delay += time.Duration(rule.ExtraDelayMS * float64(time.Millisecond))
	}
	return e
}

func (rule *Rule) matches(from, to *port) bool {
	if isEnd(rule.From, from) && isEnd(rule.To, to) {
		return true
	}
	return rule.Bidirectional && isEnd(rule.From, to) && isEnd(rule.To, from)
}

func isEnd(name string, p *port) bool {
	return name == "*" || name == p.node.Name || name == p.domain
}

// SetRules checks and replaces the rules in force.
func (r *Relay) SetRules(rules []Rule) error {
	for i, rule := range rules {
		if err := r.check(&rule); err != nil {
			return errors.Annotatef(err, "rule %d", i+1)
		}
	}
	r.rules.Store(&rules)
	return nil
}

func (r *Relay) check(rule *Rule) error {
	for _, end := range []string{rule.From, rule.To} {
		if !r.knows(end) {
			return errors.Errorf("%q is no node and no failure domain", end)
		}
	}
	for _, p := range []float64{rule.Drop, rule.Duplicate, rule.Reorder} {
		if p < 0 || p > 1 {
			return errors.Errorf("probability %v: expected 0 to 1", p)
		}
	}
	if rule.ExtraDelayMS < 0 || rule.ExtraDelayMS > maxExtraDelayMS {
		return errors.Errorf("extra_delay_ms %v: expected 0 to %d", rule.ExtraDelayMS, maxExtraDelayMS)
	}
	return nil
}

func (r *Relay) knows(end string) bool {
	for _, p := range r.ports {
		if isEnd(end, p) {
			return true
		}
	}
	return false
}
