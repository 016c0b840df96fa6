// Package mesh forwards calls that have no idempotency key. The node that
// receives a call from its caller (the entry) offers it to a node that runs
// beside a backend server (the executor). A non-idempotent call is sent to a
// second backend server only if the first one is proven not to have executed
// it. The package reads sections of the board. It knows neither the header
// names nor the wire formats of the platform; a Codec translates those.
package mesh

import (
	"io"
	"net/http"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/customer"
	"mangostand.example/mangostand/pkg/dynconf"
)

// Call is one request of a caller, as the entry or the executor handles it.
type Call struct {
	ID     string
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Received is when the entry or the executor received the request.
	Received time.Time
	// Deadline is when the final response is due. Objective is the latency
	// objective as a point in time; a later response has lost most of its
	// value.
	Deadline  time.Time
	Objective time.Time
	// Rule is the name of the routing rule that matched. Rank, Idempotent and
	// MaxAttempts are properties of that rule. Rank is its priority, 0 being the
	// highest.
	Rule        string
	Rank        int
	Idempotent  bool
	MaxAttempts int
	// BodyBytes is the size of a large body that the entry sends to the executor when
	// its link has room, 0 for other bodies.
	BodyBytes int64
	Service   string
	// Customer is the customer whose API key the caller used, "" for none. CustomerRank
	// is its priority, which goes before Rank.
	Customer     string
	CustomerRank int
	// Retry is set if the customer's caller was refused before and tries again.
	Retry bool
	// LargeRequest is set if the rule has large request bodies. HoldsCallerSlot is set
	// if the caller is known to wait in a slot of the backend server beside the entry.
	LargeRequest    bool
	HoldsCallerSlot bool
	// CallerService is the service of the backend server beside the entry.
	CallerService string
	// ConfigVersion is the version of the configuration that routed the call.
	ConfigVersion uint64

	// EndBy is when the node of the entry ends, zero unless it stops. EntryAddr is the
	// peer address of the entry, "" for this node.
	EndBy     time.Time
	EntryAddr string

	// quota is the counter that admitted the call under a grant, nil for none.
	quota *board.QuotaCounter

	// digest caches the result of contentDigest; "" means not computed yet.
	digest string
}

func newCall(id string, rule *dynconf.RouteRule, service string) *Call {
	return &Call{
		ID: id, Rule: rule.Name, Rank: rule.PriorityRank, Idempotent: rule.Idempotent,
		MaxAttempts: rule.MaxAttempts, Service: service, LargeRequest: rule.LargeRequests,
	}
}

// Outcome says what is known about the execution of a call after it was
// sent.
type Outcome uint8

// Outcomes of a call.
const (
	// Answered means that the backend server responded.
	Answered Outcome = iota
	// NotSent means that no backend server received the call.
	NotSent
	// Rejected means that a backend server received the call and states that it
	// did not execute it.
	Rejected
	// Unknown means that the call may have been executed.
	Unknown
)

var outcomeNames = [...]string{"answered", "not_sent", "rejected", "unknown"}

// String returns the name used in logs and metrics.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "invalid"
}

// Result is the result of a call or of one attempt to send it.
type Result struct {
	Outcome Outcome
	Reason  board.Reason
	// Status, Header, Body and Length hold the backend server's response if the
	// outcome is Answered. Body must be closed.
	Status int
	Header http.Header
	Body   io.ReadCloser
	Length int64
	// Load is the executor's load report, nil if there is none.
	Load *board.LoadReport
	// ServiceTime is the executor's average service time for calls of the rule,
	// without the slowdown of its host.
	ServiceTime time.Duration
	// QueueWait is how long the executor expects a new call to wait for a slot.
	QueueWait time.Duration

	// buffered is true if Body is held in memory.
	buffered bool
	// endsWithConn is true if the body ends with the connection to the backend server.
	endsWithConn bool
}

func notSent(reason board.Reason) *Result { return &Result{Outcome: NotSent, Reason: reason} }

func unknown(reason board.Reason) *Result { return &Result{Outcome: Unknown, Reason: reason} }

func (r *Result) closeBody() {
	if r != nil && r.Body != nil {
		_ = r.Body.Close()
	}
}

// RequestMetadata holds what the mesh adds to the header of a request to a
// backend server.
type RequestMetadata struct {
	ID       string
	ServerID string
	// CallerService is the service of the backend server beside the entry.
	CallerService string
	// Customer is the customer whose API key the caller used, "" for none.
	Customer string
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
}

// ResponseMetadata is what the status and the header of a backend server's
// response say.
type ResponseMetadata struct {
	// Signed is true if the response carries the backend server's signature.
	// Without it another component may have made the response.
	Signed bool
	// NotExecuted is true if the backend server states that it did not execute
	// the call.
	NotExecuted bool
	// Misdirected is true if a backend server other than the expected one
	// responded at the address.
	Misdirected bool
	// ServerID identifies the backend server in health check responses.
	ServerID string
	// Warmup is how long the backend server stays cold, nil if it does not say.
	Warmup *time.Duration
	// Load is the backend server's load report, nil if there is none.
	Load *board.ServerLoadReport
}

// Codec translates between calls and the headers of callers and backend
// servers.
type Codec interface {
	// ParseCallerHeader returns the request ID and the deadline from a caller's
	// header. The deadline is zero if the caller sent no valid one.
	ParseCallerHeader(header http.Header, received time.Time) (id string, deadline time.Time)
	// TakeAPIKey removes the API key and the name of the customer from a caller's
	// header and returns the key.
	TakeAPIKey(header http.Header) customer.Credential
	// SetRequestHeader sets the headers of a request to a backend server.
	SetRequestHeader(header http.Header, metadata RequestMetadata)
	// MatchesRequest reports whether a response names the request with the ID.
	MatchesRequest(header http.Header, id string) bool
	// IdentifiesNone reports whether a response names no request.
	IdentifiesNone(header http.Header) bool
	// ParseResponse returns the metadata in the status and the header of a
	// backend server's response.
	ParseResponse(status int, header http.Header) ResponseMetadata
	// SetLocalReplyHeader sets the headers of a local reply, that is, a response
	// that this node generates itself. A retryAfter of 0 sets no Retry-After.
	SetLocalReplyHeader(header http.Header, id string, retryAfter time.Duration)
}
