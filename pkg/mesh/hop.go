package mesh

import (
	"encoding/base64"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/board"
)

// headerHop carries what one node tells another about a call and its answer, in
// CBOR and base64. It is never passed on.
const headerHop = "Mangostand-Hop"

// hop is what the entry tells the executor. Times are relative, since the
// clocks of two instances differ.
type hop struct {
	ID              string `cbor:"1,keyasint"`
	Service         string `cbor:"2,keyasint"`
	ServerID        string `cbor:"3,keyasint"`
	CallerService   string `cbor:"4,keyasint"`
	Rule            string `cbor:"5,keyasint"`
	Rank            int    `cbor:"6,keyasint"`
	Idempotent      bool   `cbor:"7,keyasint"`
	LeftMicros      int64  `cbor:"8,keyasint"`
	ObjectiveMicros int64  `cbor:"9,keyasint"`
	// PatienceMicros is the longest expected time that the entry accepts, 0 for
	// any.
	PatienceMicros int64  `cbor:"10,keyasint"`
	Version        uint64 `cbor:"11,keyasint"`
	// Config is what the entry knows of the configuration, From its address.
	Config board.ConfigAdvertisement `cbor:"13,keyasint"`
	From   string                    `cbor:"14,keyasint"`
}

// hopAnswer is what the executor tells the entry besides the answer.
type hopAnswer struct {
	Outcome    Outcome          `cbor:"1,keyasint"`
	Reason     board.Reason     `cbor:"2,keyasint"`
	Load       board.LoadReport `cbor:"3,keyasint"`
	WorkMicros int64            `cbor:"4,keyasint"`
	WaitMicros int64            `cbor:"5,keyasint"`
	// Config is what the executor knows of the configuration.
	Config board.ConfigAdvertisement `cbor:"6,keyasint"`
	// Executor is the node that answers, which may be another one than that
	// which had the address before; "" from nodes of earlier versions.
	Executor board.InstanceID `cbor:"7,keyasint"`
}

func encodeHop(v any) string {
	data, err := cbor.Marshal(v)
	if err != nil {
		// Only the two types above are encoded, neither of which can fail.
		panic("mesh: " + err.Error())
	}
	return base64.RawStdEncoding.EncodeToString(data)
}

func decodeHop(text string, target any) error {
	data, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return errors.Annotate(err, "hop header")
	}
	return errors.Annotate(cbor.Unmarshal(data, target), "hop header")
}

func hopOf(c *Call, serverID string, patience time.Duration, now time.Time) hop {
	return hop{
		ID: c.ID, Service: c.Service, ServerID: serverID, CallerService: c.CallerService, Rule: c.Rule,
		Rank: c.Rank, Idempotent: c.Idempotent, LeftMicros: c.Deadline.Sub(now).Microseconds(),
		ObjectiveMicros: c.Objective.Sub(now).Microseconds(), PatienceMicros: patience.Microseconds(),
		Version: c.Version,
	}
}

func (h hop) call(now time.Time) *Call {
	return &Call{
		ID: h.ID, Service: h.Service, CallerService: h.CallerService, Rule: h.Rule, Rank: h.Rank,
		Idempotent: h.Idempotent, Version: h.Version, Received: now,
		Deadline:  now.Add(time.Duration(h.LeftMicros) * time.Microsecond),
		Objective: now.Add(time.Duration(h.ObjectiveMicros) * time.Microsecond),
	}
}

// takeHopAnswer removes the header of a hop from an answer and reads it.
func takeHopAnswer(header http.Header) (*hopAnswer, error) {
	text := header.Get(headerHop)
	header.Del(headerHop)
	var h hopAnswer
	if err := decodeHop(text, &h); err != nil {
		return nil, err
	}
	return &h, nil
}
