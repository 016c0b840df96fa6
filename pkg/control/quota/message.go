package quota

import (
	"math"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/quota"
)

// Message is the report of a node to the lender of a group of customers.
type Message struct {
	From  board.InstanceID `cbor:"1,keyasint"`
	Group int              `cbor:"2,keyasint"`
	// Incarnation, Sequence, LenderIncarnation, Release and FleetSize
	// are those of quota.Report.
	Incarnation       uint32 `cbor:"3,keyasint"`
	Sequence          uint64 `cbor:"4,keyasint"`
	LenderIncarnation uint32 `cbor:"5,keyasint,omitempty"`
	// StampMillis is the stamp of the last reply.
	StampMillis    int64   `cbor:"6,keyasint,omitempty"`
	Release        bool    `cbor:"7,keyasint,omitempty"`
	FleetSize      int     `cbor:"8,keyasint"`
	ValidityMillis uint32  `cbor:"10,keyasint"`
	Carried        []Carry `cbor:"11,keyasint,omitempty"`
	Usage          []Usage `cbor:"9,keyasint,omitempty"`
}

// Carry is a part of an account that is handed over, see quota.Carry.
type Carry struct {
	Customer      string `cbor:"1,keyasint"`
	RequestsMilli uint64 `cbor:"2,keyasint"`
}

// Usage is the state of a customer at the node, see quota.Usage.
type Usage struct {
	Customer string `cbor:"1,keyasint"`
	Granted  int64  `cbor:"2,keyasint,omitempty"`
	// Unused is Granted less the admitted requests.
	Unused  int64 `cbor:"3,keyasint,omitempty"`
	Waiting int64 `cbor:"4,keyasint,omitempty"`
	// DemandMilli is the demand in requests per 1,000 s.
	DemandMilli uint32 `cbor:"5,keyasint,omitempty"`
}

// Response is the reply of the lender.
type Response struct {
	From              board.InstanceID `cbor:"1,keyasint"`
	LenderIncarnation uint32           `cbor:"2,keyasint"`
	// StampMillis is the time on the lender's clock, rounded down.
	StampMillis int64 `cbor:"3,keyasint"`
	// PartMilli is the part of the quotas that the lender may lend, in thousandths.
	PartMilli uint32  `cbor:"4,keyasint,omitempty"`
	Stale     bool    `cbor:"5,keyasint,omitempty"`
	Grants    []Grant `cbor:"6,keyasint,omitempty"`
	Carried   []Carry `cbor:"7,keyasint,omitempty"`
	// NotReady is set by a node that has no configuration yet, and does not lend.
	NotReady bool `cbor:"8,keyasint,omitempty"`
}

// Grant is the reply for one customer, see quota.Grant.
type Grant struct {
	Customer string `cbor:"1,keyasint"`
	Requests int64  `cbor:"2,keyasint,omitempty"`
	Limited  bool   `cbor:"3,keyasint,omitempty"`
	// BackoffMillis and RetryAfterMillis are set if waiting requests were denied.
	BackoffMillis    uint32 `cbor:"4,keyasint,omitempty"`
	RetryAfterMillis uint32 `cbor:"5,keyasint,omitempty"`
}

func encodeReport(group int, r *quota.Report) *Message {
	m := &Message{
		From: r.From, Group: group, Incarnation: r.Incarnation, Sequence: r.Sequence, LenderIncarnation: r.LenderIncarnation,
		StampMillis: r.Stamp.Milliseconds(), Release: r.Release, FleetSize: r.FleetSize, ValidityMillis: uint32(r.Validity.Milliseconds()),
	}
	for _, u := range r.Usage {
		m.Usage = append(m.Usage, Usage{
			Customer: u.Customer, Granted: u.Granted, Unused: u.Granted - u.Used, Waiting: u.Waiting,
			DemandMilli: uint32(min(math.MaxUint32, math.Round(1000*u.Demand))),
		})
	}
	m.Carried = encodeCarried(r.Carried)
	return m
}

func decodeReport(m *Message) *quota.Report {
	r := &quota.Report{
		From: m.From, Incarnation: m.Incarnation, Sequence: m.Sequence, LenderIncarnation: m.LenderIncarnation,
		Stamp: time.Duration(m.StampMillis) * time.Millisecond, Release: m.Release, FleetSize: m.FleetSize, Validity: time.Duration(m.ValidityMillis) * time.Millisecond,
	}
	for _, u := range m.Usage {
		r.Usage = append(r.Usage, quota.Usage{
			Customer: u.Customer, Granted: u.Granted, Used: u.Granted - u.Unused, Waiting: max(0, u.Waiting), Demand: float64(u.DemandMilli) / 1000,
		})
	}
	r.Carried = decodeCarried(m.Carried)
	return r
}

func encodeCarried(carried []quota.Carry) []Carry {
	var out []Carry
	for _, c := range carried {
		if milli := uint64(1000 * c.Requests); milli > 0 {
			out = append(out, Carry{c.Customer, milli})
		}
	}
	return out
}

func decodeCarried(carried []Carry) []quota.Carry {
	var out []quota.Carry
	for _, c := range carried {
		out = append(out, quota.Carry{Customer: c.Customer, Requests: float64(c.RequestsMilli) / 1000})
	}
	return out
}

func encodeReply(from board.InstanceID, r *quota.Reply) *Response {
	m := &Response{
		From: from, LenderIncarnation: r.LenderIncarnation, StampMillis: r.Stamp.Milliseconds(), PartMilli: uint32(1000 * r.Part), Stale: r.Stale,
		Carried: encodeCarried(r.Carried),
	}
	for _, g := range r.Grants {
		m.Grants = append(m.Grants, Grant{
			Customer: g.Customer, Requests: g.Requests, Limited: g.Limited,
			BackoffMillis: uint32(g.Backoff.Milliseconds()), RetryAfterMillis: uint32(g.RetryAfter.Milliseconds()),
		})
	}
	return m
}
