package relay

import (
	"time"

	"github.com/juju/errors"
)

// Rule impairs the packets from one set of nodes to another. From and To are
// selectors: the name of a node, the name of a failure domain, or * for any node.
type Rule struct {
	From string `json:"from"`
	To   string `json:"to"`
	// Bidirectional applies the rule in the opposite direction as well.
	Bidirectional bool `json:"both"`
	// DropAll drops every packet, as a network partition does.
	DropAll bool `json:"cut"`
	// DropProbability, DuplicateProbability and ReorderProbability apply to each
	// packet and lie between 0 and 1.
	DropProbability      float64 `json:"drop"`
	DuplicateProbability float64 `json:"duplicate"`
	ReorderProbability   float64 `json:"reorder"`
	// ExtraDelayMS is added to the configured one-way delay, in milliseconds.
	ExtraDelayMS float64 `json:"extra_delay_ms"`
}

// maxExtraDelayMS keeps a mistyped value from delaying packets for hours.
const maxExtraDelayMS = 60_000

// impairments are the combined effects of the configuration and all matching rules
// on the packets of a flow.
type impairments struct {
	dropProbability, duplicateProbability, reorderProbability float64
	delay                                                     time.Duration
}

// impairmentsFor returns the impairments of a flow: the configured delay plus all
// extra delays, and the highest of each probability.
func (r *Relay) impairmentsFor(from, to *nodeSocket) impairments {
	total := impairments{delay: r.config.delayBetween(from.domain, to.domain)}
	for _, rule := range *r.rules.Load() {
		if !rule.matches(from, to) {
			continue
		}
		if rule.DropAll {
			total.dropProbability = 1
		}
		total.dropProbability = max(total.dropProbability, rule.DropProbability)
		total.duplicateProbability = max(total.duplicateProbability, rule.DuplicateProbability)
		total.reorderProbability = max(total.reorderProbability, rule.ReorderProbability)
		total.delay += time.Duration(rule.ExtraDelayMS * float64(time.Millisecond))
	}
	return total
}

func (rule *Rule) matches(from, to *nodeSocket) bool {
	if matchesSelector(rule.From, from) && matchesSelector(rule.To, to) {
		return true
	}
	return rule.Bidirectional && matchesSelector(rule.From, to) && matchesSelector(rule.To, from)
}

// matchesSelector reports whether a selector of a Rule includes the node of a
// socket.
func matchesSelector(selector string, s *nodeSocket) bool {
	return selector == "*" || selector == s.node.Name || selector == s.domain
}

// SetRules validates the rules and replaces the current ones. If a rule is invalid,
// the current rules stay in force.
func (r *Relay) SetRules(rules []Rule) error {
	for i, rule := range rules {
		if err := r.validateRule(&rule); err != nil {
			return errors.Annotatef(err, "rule %d", i+1)
		}
	}
	r.rules.Store(&rules)
	return nil
}

func (r *Relay) validateRule(rule *Rule) error {
	for _, selector := range []string{rule.From, rule.To} {
		if !r.selectorExists(selector) {
			return errors.Errorf("%q is neither a node nor a failure domain", selector)
		}
	}
	for _, p := range []float64{rule.DropProbability, rule.DuplicateProbability, rule.ReorderProbability} {
		if p < 0 || p > 1 {
			return errors.Errorf("probability %v: expected 0 to 1", p)
		}
	}
	if rule.ExtraDelayMS < 0 || rule.ExtraDelayMS > maxExtraDelayMS {
		return errors.Errorf("extra_delay_ms %v: expected 0 to %d", rule.ExtraDelayMS, maxExtraDelayMS)
	}
	return nil
}

func (r *Relay) selectorExists(selector string) bool {
	for _, s := range r.sockets {
		if matchesSelector(selector, s) {
			return true
		}
	}
	return false
}
