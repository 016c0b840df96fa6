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
	StampMillis    int64  `cbor:"6,keyasint,omitempty"`
	Release        bool   `cbor:"7,keyasint,omitempty"`
	FleetSize      int    `cbor:"8,keyasint"`
	ValidityMillis uint32 `cbor:"10,keyasint"`
	// WithHistory, the age of the process and History are those of quota.Report. Field 11
	// had another meaning in earlier releases.
	WithHistory bool        `cbor:"12,keyasint,omitempty"`
	AgeMillis   int64       `cbor:"13,keyasint,omitempty"`
	History     []PastUsage `cbor:"14,keyasint,omitempty"`
	Usage       []Usage     `cbor:"9,keyasint,omitempty"`
}

// PastUsage holds the earlier requests of a customer, see quota.PastUsage.
type PastUsage struct {
	Customer string `cbor:"1,keyasint"`
	// CountsMilli are the counts in thousandths of a request.
	CountsMilli []uint64 `cbor:"2,keyasint"`
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
	m.WithHistory, m.AgeMillis, m.History = r.WithHistory, r.Age.Milliseconds(), encodeHistory(r.History)
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
	r.WithHistory, r.Age, r.History = m.WithHistory, time.Duration(max(0, m.AgeMillis))*time.Millisecond, decodeHistory(m.History)
	return r
}

func encodeHistory(history []quota.PastUsage) []PastUsage {
	var out []PastUsage
	for _, u := range history {
		p := PastUsage{Customer: u.Customer}
		for _, n := range u.Counts {
			p.CountsMilli = append(p.CountsMilli, uint64(math.Ceil(1000*max(0, n))))
		}
		out = append(out, p)
	}
	return out
}

func decodeHistory(history []PastUsage) []quota.PastUsage {
	var out []quota.PastUsage
	for _, u := range history {
		p := quota.PastUsage{Customer: u.Customer}
		for _, milli := range u.CountsMilli {
			p.Counts = append(p.Counts, float64(milli)/1000)
		}
		out = append(out, p)
	}
	return out
}

func encodeReply(from board.InstanceID, r *quota.Reply) *Response {
	m := &Response{
		From: from, LenderIncarnation: r.LenderIncarnation, StampMillis: r.Stamp.Milliseconds(), PartMilli: uint32(1000 * r.Part), Stale: r.Stale,
	}
	for _, g := range r.Grants {
		m.Grants = append(m.Grants, Grant{
			Customer: g.Customer, Requests: g.Requests, Limited: g.Limited,
			BackoffMillis: uint32(g.Backoff.Milliseconds()), RetryAfterMillis: uint32(g.RetryAfter.Milliseconds()),
		})
	}
	return m
}
