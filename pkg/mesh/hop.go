package mesh

import (
	"encoding/base64"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/board"
)

// hopHeader carries the hop metadata of requests and responses between
// nodes, as CBOR in base64. It is removed before a message leaves the mesh.
const hopHeader = "Mangostand-Hop"

// hopRequest is the metadata that the entry sends to the executor. Times are
// relative, since the clocks of two instances differ.
type hopRequest struct {
	ID                    string `cbor:"1,keyasint"`
	Service               string `cbor:"2,keyasint"`
	ServerID              string `cbor:"3,keyasint"`
	CallerService         string `cbor:"4,keyasint"`
	Rule                  string `cbor:"5,keyasint"`
	Rank                  int    `cbor:"6,keyasint"`
	Idempotent            bool   `cbor:"7,keyasint"`
	TimeToDeadlineMicros  int64  `cbor:"8,keyasint"`
	TimeToObjectiveMicros int64  `cbor:"9,keyasint"`
	// MaxResponseTimeMicros is the longest expected response time that the
	// entry accepts, 0 for any.
	MaxResponseTimeMicros int64  `cbor:"10,keyasint"`
	ConfigVersion         uint64 `cbor:"11,keyasint"`
	// Config is what the entry knows about the configuration. FromAddr is the
	// entry's peer address.
	Config   board.ConfigAdvertisement `cbor:"13,keyasint"`
	FromAddr string                    `cbor:"14,keyasint"`
	// Customer is the customer whose API key the caller used, "" for none.
	Customer     string `cbor:"15,keyasint,omitempty"`
	CustomerRank int    `cbor:"16,keyasint,omitempty"`
	// BodyBytes is the size of a large body, 0 for other bodies.
	BodyBytes int64 `cbor:"17,keyasint,omitempty"`
	// Retry is set if the customer's caller tries again after a refusal. Nodes of
	// earlier versions do not send it.
	Retry bool `cbor:"23,keyasint,omitempty"`
	// Evacuation is what the entry knows of evacuated failure domains, nil while there
	// are none.
	Evacuation *board.Evacuation `cbor:"20,keyasint,omitempty"`
	// Offer numbers the offers of the entry. One call can be offered to an executor
	// twice, so the ID alone does not tell the responses apart.
	Offer uint64 `cbor:"24,keyasint,omitempty"`
	// BodySize is the size of the body in bytes, for which the executor reserves memory.
	// Nodes of earlier versions do not send it.
	BodySize int64 `cbor:"25,keyasint,omitempty"`
	// TimeToEndMicros is the time until the process of the entry ends, 0 unless it stops.
	TimeToEndMicros int64 `cbor:"26,keyasint,omitempty"`
}

// hopResponse is the metadata that the executor returns in addition to the
// response.
type hopResponse struct {
	Outcome           Outcome          `cbor:"1,keyasint"`
	Reason            board.Reason     `cbor:"2,keyasint"`
	Load              board.LoadReport `cbor:"3,keyasint"`
	ServiceTimeMicros int64            `cbor:"4,keyasint"`
	QueueWaitMicros   int64            `cbor:"5,keyasint"`
	// Config is what the executor knows about the configuration.
	Config board.ConfigAdvertisement `cbor:"6,keyasint"`
	// Executor is the node that responds. It may have replaced the node that
	// had the address before. Nodes of earlier versions send "".
	Executor board.InstanceID `cbor:"7,keyasint"`
	// ID and Offer are those of the hopRequest. Nodes of earlier versions send none.
	ID    string `cbor:"8,keyasint,omitempty"`
	Offer uint64 `cbor:"9,keyasint,omitempty"`
	// Evacuation is what the executor knows of evacuated failure domains, nil while
	// there are none.
	Evacuation *board.Evacuation `cbor:"20,keyasint,omitempty"`
}

func encodeHop(v any) string {
	data, err := cbor.Marshal(v)
	if err != nil {
		// Only the two types above are encoded, and neither can fail.
		panic("mesh: " + err.Error())
	}
	return base64.RawStdEncoding.EncodeToString(data)
}

func decodeHop(text string, target any) error {
	data, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return errors.Annotate(err, "hop header")
	}
	return errors.Annotate(hopDecoder.Unmarshal(data, target), "hop header")
}

// hopDecoder accepts text that is not valid UTF-8, since callers may send such an ID.
var hopDecoder = newHopDecoder()

func newHopDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic("mesh: " + err.Error())
	}
	return mode
}

func newHopRequest(c *Call, serverID string, maxResponseTime time.Duration, now time.Time) hopRequest {
	timeToEnd := int64(0)
	if !c.EndBy.IsZero() {
		timeToEnd = max(1, c.EndBy.Sub(now).Microseconds())
	}
	return hopRequest{
		ID: c.ID, Service: c.Service, ServerID: serverID, CallerService: c.CallerService, Rule: c.Rule,
		Rank: c.Rank, Idempotent: c.Idempotent, TimeToDeadlineMicros: c.Deadline.Sub(now).Microseconds(),
		TimeToObjectiveMicros: c.Objective.Sub(now).Microseconds(), MaxResponseTimeMicros: maxResponseTime.Microseconds(),
		ConfigVersion: c.ConfigVersion, Customer: c.Customer, CustomerRank: c.CustomerRank, BodyBytes: c.BodyBytes, Retry: c.Retry,
		BodySize: int64(len(c.Body)), TimeToEndMicros: timeToEnd,
	}
}

func (h hopRequest) toCall(now time.Time) *Call {
	var endBy time.Time
	if h.TimeToEndMicros > 0 {
		endBy = now.Add(time.Duration(h.TimeToEndMicros) * time.Microsecond)
	}
	return &Call{
		ID: h.ID, Service: h.Service, CallerService: h.CallerService, Rule: h.Rule, Rank: h.Rank,
		Idempotent: h.Idempotent, ConfigVersion: h.ConfigVersion, Received: now,
		Customer: h.Customer, CustomerRank: h.CustomerRank, BodyBytes: h.BodyBytes, Retry: h.Retry,
		EntryAddr: h.FromAddr, EndBy: endBy,
		Deadline:  now.Add(time.Duration(h.TimeToDeadlineMicros) * time.Microsecond),
		Objective: now.Add(time.Duration(h.TimeToObjectiveMicros) * time.Microsecond),
	}
}

// hopMatcher finds the response to a hop request and keeps its metadata. It belongs to
// one goroutine.
type hopMatcher struct {
	request *hopRequest
	// response is the metadata of the latest response, err why there is none.
	response *hopResponse
	err      error
}

// accept implements h1.ClientRequest.AcceptResponse.
func (m *hopMatcher) accept(header http.Header) bool {
	m.response = &hopResponse{}
	m.err = decodeHop(header.Get(hopHeader), m.response)
	return m.err == nil && m.response.ID == m.request.ID && m.response.Offer == m.request.Offer
}

// identifiesNone implements h1.ClientRequest.IdentifiesNone for the header that accept
// was called with last. A header that cannot be decoded names no request.
func (m *hopMatcher) identifiesNone(http.Header) bool { return m.err != nil || m.response.ID == "" }
