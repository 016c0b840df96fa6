package mesh

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/bootclock"
	"mangostand.example/mangostand/pkg/decide/customer"
	"mangostand.example/mangostand/pkg/decide/queueing"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/h1"
)

// unconfirmedKeyRetryAfter is the Retry-After while the age of the configuration does
// not allow API keys. A node in contact with others confirms it every 250 ms.
const unconfirmedKeyRetryAfter = 300 * time.Millisecond

// identifyCustomer takes the API key from the header of a request and returns its
// holder. Credentials stay in the header on nodes that know of no API keys.
func (e *Entry) identifyCustomer(table *dynconf.RouteTable, rule *dynconf.RouteRule, header http.Header) customer.Decision {
	use := e.keyUse(table)
	if use == customer.NoKeys {
		return customer.Decision{}
	}
	credential := e.Codec.TakeAPIKey(header)
	if credential.Key == "" {
		return customer.Check(table.Customers, use, rule.Public, credential, customer.Confirmation{})
	}
	return customer.Check(table.Customers, use, rule.Public, credential, e.confirmation(table.Version))
}

// keyUse returns what API keys mean under a configuration. A deployment that bounds the
// time of a revocation has keys, also if this node has never seen a version with them.
func (e *Entry) keyUse(table *dynconf.RouteTable) customer.KeyUse {
	switch {
	case table.RequiresKeys:
		return customer.KeysRequired
	case table.KeysWithdrawn, e.RevocationTime > 0:
		return customer.KeysVoid
	}
	return customer.NoKeys
}

// confirmation returns what is known about the age of a version.
func (e *Entry) confirmation(version uint64) customer.Confirmation {
	if e.RevocationTime == 0 {
		return customer.Confirmation{}
	}
	return customer.Confirmation{Strict: true, Age: e.Board.ConfigProven.Age(version, bootclock.Now()), RevocationTime: e.RevocationTime}
}

// refuseCredential returns the response to a request whose API key is not accepted, or
// nil.
func (e *Entry) refuseCredential(version uint64, id string, decision customer.Decision) *h1.Response {
	switch decision.Result {
	case customer.UnknownKey:
		return e.refuse(version, id, http.StatusUnauthorized, board.ReasonUnknownAPIKey, 0)
	case customer.Unconfirmed:
		return e.refuseCustomer(version, decision.Customer.Name, id, http.StatusServiceUnavailable, board.ReasonAPIKeyUnconfirmed, queueing.Spread(unconfirmedKeyRetryAfter, rand.Float64()))
	}
	return nil
}

// withCustomer adds the customer of a call to a log line, if it has one.
func withCustomer(event *zerolog.Event, name string) *zerolog.Event {
	if name == "" {
		return event
	}
	return event.Str("customer", name)
}

// withRefusedCustomer adds to the log line of a customer's call that got no slot what
// the order is based on: the service that the customer received lately, and the
// version of the configuration.
func (x *Executor) withRefusedCustomer(event *zerolog.Event, c *Call, result *Result) *zerolog.Event {
	if c.Customer == "" || result.Outcome != NotSent {
		return event
	}
	received := x.Board.CustomerService.Received(x.Board.CustomerService.ID(c.Customer), time.Now())
	return event.Dur("customer_service", received).Uint64("config_version", c.ConfigVersion)
}

// recordSlotTime counts how long a call held its slot.
func (x *Executor) recordSlotTime(c *Call, held time.Duration) {
	if x.hasCustomers() {
		x.Metrics.RecordCustomerSlotTime(x.Board.LargestCustomers.Load().Label(c.Customer), held)
	}
}

// recordRefusal counts a call of a customer that was refused.
func (e *Entry) recordRefusal(name string, reason board.Reason) {
	if name != "" {
		e.Metrics.RecordCustomerRefusal(e.Board.LargestCustomers.Load().Label(name), string(reason))
	}
}
