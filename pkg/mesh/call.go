// Package mesh carries calls that have no idempotency key from the node of
// their caller (the entry) to the node beside a backend server (the executor).
// A call that may run once only is sent once unless every layer proves that the
// earlier send did not run. The package reads sections of the board; it knows
// neither the names of headers nor the formats of the platform, see Codec.
package mesh

import (
	"io"
	"net/http"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
)

// Call is one attempt of a caller.
type Call struct {
	ID     string
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Received is when the entry or the executor read the call.
	Received time.Time
	// Deadline is when the final answer is due, Objective when the answer loses
	// most of its value.
	Deadline  time.Time
	Objective time.Time
	// Rule names the rule of the call; Rank, Idempotent and MaxAttempts are its
	// properties.
	Rule        string
	Rank        int
	Idempotent  bool
	MaxAttempts int
	Service     string
	// CallerService is the service beside which the call began.
	CallerService string
	// Version is that of the configuration that routed the call.
	Version uint64

	// digest is that of contentDigest, "" before it is needed.
	digest string
}

func newCall(id string, rule *dynconf.Rule, service string) *Call {
	return &Call{
		ID: id, Rule: rule.Name, Rank: rule.Rank, Idempotent: rule.Idempotent,
		MaxAttempts: rule.MaxAttempts, Service: service,
	}
}

// Outcome says what is known about a send.
type Outcome uint8

// Outcomes of a send.
const (
	// Answered means that the backend server gave a whole answer.
	Answered Outcome = iota
	// NotSent means that no backend server got the call.
	NotSent
	// Rejected means that a backend server got the call and says that it did not
	// run it.
	Rejected
	// Unknown means that the call may have run.
	Unknown
)

var outcomeNames = [...]string{"answered", "not_sent", "rejected", "unknown"}

// String returns the word used in logs.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "invalid"
}

// Answer is what a send or a call came to.
type Answer struct {
	Outcome Outcome
	Reason  board.Reason
	// Status, Header, Body and Length are the backend server's answer when the
	// outcome is Answered. Body must be closed.
	Status int
	Header http.Header
	Body   io.ReadCloser
	Length int64
	// Load is the executor's load, nil when it told none.
	Load *board.LoadReport
	// Work is the usual time of calls of the rule as the executor measured it.
	Work time.Duration
	// Wait is how long the executor expects a new call to wait.
	Wait time.Duration

	// whole is true when Body is in memory.
	whole bool
}

func notSent(reason board.Reason) *Answer { return &Answer{Outcome: NotSent, Reason: reason} }

func unknown(reason board.Reason) *Answer { return &Answer{Outcome: Unknown, Reason: reason} }

// lost reports whether the connection to the backend server broke while it ran
// the call.
func (a *Answer) lost() bool { return a.Outcome == Unknown && a.Reason == board.ReasonConnectionLost }

func (a *Answer) close() {
	if a != nil && a.Body != nil {
		_ = a.Body.Close()
	}
}

// RequestMetadata is what a backend server is told besides the call itself.
type RequestMetadata struct {
	ID       string
	ServerID string
	// CallerService is the service beside which the call began.
	CallerService string
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
}

// ResponseMetadata is what the head of a backend server's answer says.
type ResponseMetadata struct {
	// Signed is true when the backend server made the answer.
	Signed bool
	// NotExecuted is true when it says that it did not run the call.
	NotExecuted bool
	// Misdirected is true when another backend server has the address.
	Misdirected bool
	// ServerID names the backend server in health answers.
	ServerID string
	// Load is its load, nil when it told none.
	Load *board.ServerLoadReport
}

// Codec translates between calls and the headers of callers and backend
// servers.
type Codec interface {
	// CallOf reads the id and the deadline that a caller sent.
	CallOf(header http.Header, received time.Time) (id string, deadline time.Time)
	// Outgoing sets the headers of a request to a backend server.
	Outgoing(header http.Header, out RequestMetadata)
	// Mine reports whether an answer belongs to the request.
	Mine(header http.Header, id string) bool
	// Reading reads the head of an answer.
	Reading(status int, header http.Header) ResponseMetadata
	// Refusal sets the headers of an answer of our own.
	Refusal(header http.Header, id string, retryAfter time.Duration)
}
