package dynconf

import "crypto/sha256"

// Customer is a customer of the deployment, who sends requests with API keys.
type Customer struct {
	// Name is unique in a table. Backend servers learn it with each request.
	Name string
	// PriorityRank orders the calls of customers, 0 being the highest. It goes before
	// the rank of the rule.
	PriorityRank int
	// Quota limits the requests of the customer over all nodes together.
	Quota RequestQuota
}

// RequestQuota is a limit on requests per time.
type RequestQuota struct {
	// Rate is the number of requests per second, 0 for no limit.
	Rate float64
	// Burst is the number of requests that may come at once above the rate.
	Burst float64
}

// Limited reports whether the quota sets a limit.
func (q RequestQuota) Limited() bool { return q.Rate > 0 }

// APIKeyDigest identifies an API key. Tables hold digests only, so that a dump of the
// configuration shows no key and a comparison takes the same time for all keys.
type APIKeyDigest [sha256.Size]byte

// DigestAPIKey returns the digest of an API key.
func DigestAPIKey(key string) APIKeyDigest { return sha256.Sum256([]byte(key)) }

// CustomerIndex holds the customers of a table. It is immutable once the table is
// published. The nil index has no customers.
type CustomerIndex struct {
	byKey  map[APIKeyDigest]*Customer
	byName map[string]*Customer
}

// NewCustomerIndex returns an index without customers.
func NewCustomerIndex() *CustomerIndex {
	return &CustomerIndex{byKey: map[APIKeyDigest]*Customer{}, byName: map[string]*Customer{}}
}

// AddCustomer adds a customer. It returns false if one of that name exists.
func (x *CustomerIndex) AddCustomer(c *Customer) bool {
	if x.byName[c.Name] != nil {
		return false
	}
	x.byName[c.Name] = c
	return true
}

// AddKey assigns a key to a customer. It returns false if another customer, or the
// same one, has the key already.
func (x *CustomerIndex) AddKey(key string, c *Customer) bool {
	digest := DigestAPIKey(key)
	if x.byKey[digest] != nil {
		return false
	}
	x.byKey[digest] = c
	return true
}

// Len returns the number of customers. If there are none, requests need no key.
func (x *CustomerIndex) Len() int {
	if x == nil {
		return 0
	}
	return len(x.byName)
}

// ByKey returns the customer that holds a key, or nil.
func (x *CustomerIndex) ByKey(key string) *Customer {
	if x.Len() == 0 {
		return nil
	}
	return x.byKey[DigestAPIKey(key)]
}

// ByName returns the customer with a name, or nil.
func (x *CustomerIndex) ByName(name string) *Customer {
	if x == nil {
		return nil
	}
	return x.byName[name]
}

// All calls yield with each customer, in no particular order, until it returns false.
func (x *CustomerIndex) All(yield func(*Customer) bool) {
	if x == nil {
		return
	}
	for _, c := range x.byName {
		if !yield(c) {
			return
		}
	}
}
