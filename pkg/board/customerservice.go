package board

import (
	"hash/maphash"
	"slices"
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/decide/fairshare"
)

// CustomerService holds the time on slots of the local backend server that
// customers received lately. Its size does not depend on the number of customers.
// The executor changes it with atomic operations.
type CustomerService struct {
	seed    maphash.Seed
	started time.Time
	cells   [fairshare.SketchRows][fairshare.SketchColumns]atomic.Uint64
	// keyless and customers are the service of all calls without and with a
	// customer.
	keyless, customers atomic.Uint64
}

// NewCustomerService returns the service of customers that received none yet.
func NewCustomerService(now time.Time) *CustomerService {
	return &CustomerService{seed: maphash.MakeSeed(), started: now}
}

// ID returns the identifier of a customer in this process, 0 for "".
func (s *CustomerService) ID(name string) fairshare.Customer {
	if name == "" {
		return 0
	}
	return fairshare.Customer(max(1, maphash.String(s.seed, name)))
}

// Add adds service to a customer, or to the calls without one. A negative amount
// takes back what was added in advance.
func (s *CustomerService) Add(c fairshare.Customer, service time.Duration, now time.Time) {
	elapsed := now.Sub(s.started)
	if c == 0 {
		addService(&s.keyless, service, elapsed, fairshare.ClassDecay)
		return
	}
	addService(&s.customers, service, elapsed, fairshare.ClassDecay)
	for row, column := range fairshare.Cells(c) {
		addService(&s.cells[row][column], service, elapsed, fairshare.ServiceDecay)
	}
}

func addService(target *atomic.Uint64, service, now, decay time.Duration) {
	for {
		old := target.Load()
		if target.CompareAndSwap(old, fairshare.Unpack(old).Add(service, now, decay).Pack()) {
			return
		}
	}
}

// Received returns the recent service of a customer. It may include that of others
// that share its cells, but is never too low.
func (s *CustomerService) Received(c fairshare.Customer, now time.Time) time.Duration {
	elapsed := now.Sub(s.started)
	var least time.Duration
	for row, column := range fairshare.Cells(c) {
		received := fairshare.Unpack(s.cells[row][column].Load()).Received(elapsed, fairshare.ServiceDecay)
		if row == 0 || received < least {
			least = received
		}
	}
	return least
}

// ByClass returns the recent service of all calls without and with a customer.
func (s *CustomerService) ByClass(now time.Time) (keyless, customers time.Duration) {
	elapsed := now.Sub(s.started)
	return fairshare.Unpack(s.keyless.Load()).Received(elapsed, fairshare.ClassDecay),
		fairshare.Unpack(s.customers.Load()).Received(elapsed, fairshare.ClassDecay)
}

// OtherCustomers is the label of customers that are not counted by name.
const OtherCustomers = "other"

// LargestCustomers are the customers that counters name.
type LargestCustomers struct{ Names []string }

// Label returns the label of a customer in counters: its name if it is one of the
// largest, "other" if not, and "" for calls without a customer.
func (l *LargestCustomers) Label(name string) string {
	if name == "" || slices.Contains(l.Names, name) {
		return name
	}
	return OtherCustomers
}
