// Package fairshare decides on the order of waiting calls of different customers
// within a rank: the customer that received the least service lately goes first.
// Service is time on slots of the backend server. All functions are pure; times
// are on a monotonic clock that begins with the process.
package fairshare

import (
	"math"
	"time"
)

const (
	// ServiceDecay is the time constant with which received service loses its
	// weight. It is several times a usual objective, so that a customer that was
	// refused is still ahead when its callers retry, and short enough that a
	// customer with a past peak is soon served as any other.
	ServiceDecay = 3 * time.Second
	// ClassDecay is the time constant of the service of all calls without a
	// customer. It is shorter than an objective: after a time with such calls only,
	// they must not wait for long while their share falls.
	ClassDecay = 250 * time.Millisecond
	// tick is the resolution of the times in an account.
	tick = 10 * time.Millisecond
	// maxDisorder bounds the ticks by which changes are applied out of order. An
	// account that seems to have changed later than that is an old one, as the
	// ticks begin anew after 497 days.
	maxDisorder = 1000
)

// Account is the service that somebody received lately. The zero value is an
// account without service. It fits into one atomic word, see Pack.
type Account struct {
	// seconds is the service at the time of the last change, which is in ticks.
	seconds float32
	changed uint32
}

// Received returns the service at a time.
func (a Account) Received(now, decay time.Duration) time.Duration {
	return time.Duration(float64(a.at(toTicks(now), decay).seconds) * float64(time.Second))
}

// Add returns the account after it received service. A negative amount takes back
// what was added in advance; the service never becomes negative.
func (a Account) Add(service, now, decay time.Duration) Account {
	a = a.at(toTicks(now), decay)
	a.seconds = float32(max(0, float64(a.seconds)+service.Seconds()))
	return a
}

// at returns the account at a time, or the account itself if its last change is
// later: concurrent changes may arrive out of order.
func (a Account) at(ticks uint32, decay time.Duration) Account {
	age := ticks - a.changed
	switch {
	case a.seconds == 0:
		return Account{changed: ticks}
	case age == 0 || -age <= maxDisorder:
		return a
	}
	elapsed := time.Duration(age) * tick
	return Account{seconds: float32(float64(a.seconds) * math.Exp(-float64(elapsed)/float64(decay))), changed: ticks}
}

func toTicks(now time.Duration) uint32 { return uint32(now / tick) }

// Pack returns the account as one word.
func (a Account) Pack() uint64 { return uint64(math.Float32bits(a.seconds))<<32 | uint64(a.changed) }

// Unpack returns the account in a word.
func Unpack(word uint64) Account {
	return Account{seconds: math.Float32frombits(uint32(word >> 32)), changed: uint32(word)}
}

// Customer identifies a customer by a hash of its name, 0 for a call without one.
type Customer uint64

// The accounts of customers are a count-min sketch: a customer has one cell in each
// row, shared with others, and its service is the least of them. The size is fixed
// however many customers there are. A result is never too low, and exceeds the
// service by more than e/SketchColumns of that of all customers with a probability
// of at most exp(-SketchRows).
const (
	SketchRows    = 4
	SketchColumns = 1 << 10
)

// Cells returns the column of a customer in each row.
func Cells(c Customer) [SketchRows]int {
	var cells [SketchRows]int
	for row := range cells {
		cells[row] = int((c >> (16 * row)) % SketchColumns)
	}
	return cells
}

// maxKeylessShare is the share of the recent service up to which calls without a
// customer go before those of customers. Above it they go last, so that customers
// get a quarter of the capacity when they ask for it.
const maxKeylessShare = 0.75

// KeylessFirst reports whether calls without a customer go before customers' calls,
// from the service that calls of both kinds received lately.
func KeylessFirst(keyless, customers time.Duration) bool {
	return float64(keyless) <= maxKeylessShare*float64(keyless+customers)
}

// Standing is the place of a waiting call among the calls of other customers. The
// zero value is that of all calls in a deployment without customers.
type Standing struct {
	// Class is compared before the ranks of the call.
	Class Class
	// Customer is set for the calls of customers.
	Customer bool
	// Service is what the customer received lately and what it will have received
	// once its calls that go before this one have run.
	Service time.Duration
}

// Class separates calls that are served first from those that wait for all others.
type Class uint8

// Classes of calls.
const (
	// Regular calls are ordered by their ranks.
	Regular Class = iota
	// Deferred calls are those without a customer while they have more than their
	// share of the service.
	Deferred
)

// Compare orders two calls of equal class and ranks. It returns -1 if a goes first,
// 1 if b does, and 0 if neither does. Calls without a customer go before those of
// customers: they are nested calls, for whose parents a slot is already taken.
func Compare(a, b Standing) int {
	switch {
	case a.Customer != b.Customer:
		if b.Customer {
			return -1
		}
		return 1
	case a.Service < b.Service:
		return -1
	case a.Service > b.Service:
		return 1
	}
	return 0
}
