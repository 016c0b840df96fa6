// Package customer decides whether a request may use the API key that it carries.
// All functions are pure.
//
// It answers the load of callers whose keys are withdrawn while they are connected,
// on nodes that may have lost contact with the platform's store.
package customer

import (
	"time"

	"mangostand.example/mangostand/pkg/dynconf"
)

// Credential is the API key of a request.
type Credential struct {
	// Key is "" if the request carries none.
	Key string
	// Malformed is set if the request carries a credential that is no API key:
	// another scheme, more than one, or one that is too long.
	Malformed bool
}

// Result is the outcome of a check.
type Result uint8

// Results of a check.
const (
	// Allowed means that the request may be forwarded.
	Allowed Result = iota
	// UnknownKey means that no customer holds the key, or that the key is missing.
	UnknownKey
	// Unconfirmed means that the key may have been withdrawn since the node last
	// learned that its configuration is the newest one.
	Unconfirmed
)

// KeyUse says what API keys mean under a configuration.
type KeyUse uint8

// Uses of API keys.
const (
	// NoKeys means that the deployment has no API keys, as far as the node knows.
	NoKeys KeyUse = iota
	// KeysRequired means that a request needs a valid key, except to public rules. The
	// configuration may have no customer, and then no key is valid.
	KeysRequired
	// KeysVoid means that requests need no key, and that a key can only be one that was
	// withdrawn or that never was valid.
	KeysVoid
)

// Decision is the decision on a request.
type Decision struct {
	Result Result
	// Customer is the holder of the key, nil for a public request without a key.
	Customer *dynconf.Customer
}

// Confirmation is what a node knows about the age of its configuration.
type Confirmation struct {
	// Strict is set if withdrawn keys have to be void within a time limit on every
	// node, in contact with the store or not.
	Strict bool
	// Age is the time since the configuration was provably the newest one.
	Age time.Duration
	// RevocationTime is the time limit.
	RevocationTime time.Duration
}

// revocationMargin is the part of the time limit that is left unused. It covers the
// time between the check and the arrival of the call at its backend server.
const revocationMargin = 250 * time.Millisecond

// Expired reports whether keys can no longer be accepted. A configuration that was
// the newest one at some moment lacks no withdrawal that was acknowledged before it,
// so keys are void in time if they are refused from then on.
func (c Confirmation) Expired() bool {
	return c.Strict && c.Age > c.RevocationTime-revocationMargin
}

// RefreshDue reports whether a node should confirm its configuration with the store
// itself, since other nodes have not confirmed it for half of the time limit.
func (c Confirmation) RefreshDue() bool { return c.Strict && c.Age > c.RevocationTime/2 }

// Check decides on a request to a rule. A public rule needs no key. A key that no
// customer holds is ignored there.
func Check(customers *dynconf.CustomerIndex, use KeyUse, public bool, credential Credential, confirmation Confirmation) Decision {
	needsNoKey := public || use == NoKeys || use == KeysVoid && credential.Key == ""
	var holder *dynconf.Customer
	if credential.Key != "" && !credential.Malformed {
		holder = customers.ByKey(credential.Key)
	}
	switch {
	case needsNoKey && holder == nil:
		return Decision{}
	case holder == nil:
		return Decision{Result: UnknownKey}
	case confirmation.Expired():
		return Decision{Result: Unconfirmed, Customer: holder}
	}
	return Decision{Customer: holder}
}
