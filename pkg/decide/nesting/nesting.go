// Package nesting decides which calls are nested, that is, made by a backend server
// while it runs another call, and how they are admitted. All functions are pure.
//
// It answers the load of a chain of services in which the last one is short of servers:
// each parent holds a slot while it waits for its nested calls, and its work is lost if
// one of them fails.
package nesting

import (
	"math"
	"time"
)

// Origins says from which nodes the calls of a rule came.
type Origins struct {
	// Same is the number of recent calls that came from nodes beside servers of one
	// service, Other the number of those from all other nodes.
	Same, Other int64
	// Share is the share of all nodes that run beside servers of that service.
	Share float64
}

const (
	// chance is the probability with which calls of callers, who use all nodes alike,
	// may be taken for nested calls.
	chance = 1e-4
	// maxOtherShare is the share of calls from other nodes that nested calls may have:
	// operators and tests send some.
	maxOtherShare = 0.02
)

// MadeByServers reports whether the calls of a rule are made by backend servers. Nested
// calls enter at the nodes beside the servers of their parent's service, calls of
// callers at all nodes. Rules that both use, and services that call themselves in a
// deployment of one service, are not recognised.
func MadeByServers(o Origins) bool {
	if o.Share <= 0 || o.Share >= 1 || float64(o.Other) > maxOtherShare*float64(o.Same) {
		return false
	}
	return float64(o.Same)*math.Log(o.Share) <= math.Log(chance)
}

// Objective returns the time by which a nested call has to be answered. Its parent
// waits until the deadline, and fails without the response, so a response after the
// objective of the rule is worth as much as one before it.
func Objective(nested bool, objective, deadline time.Time) time.Time {
	if nested && deadline.After(objective) {
		return deadline
	}
	return objective
}
