package call

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"time"

	"mangostand.example/mangostand/pkg/atmostonce"
	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/keyhome"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/wire"
)

// Headers of a recorded response whose body was too large to be kept.
const (
	HeaderRecorded       = "Mangostand-Recorded"
	HeaderResponseDigest = "Mangostand-Response-Digest"
)

// onceCall is the state of a non-idempotent call at its entry.
type onceCall struct {
	entry  *Entry
	req    *Request
	route  *dynconf.Route
	record *board.RequestRecord
	digest string
	cell   *board.Endpoint
	result *Result
}

// serveOnce carries a call that must run at most once.
func (e *Entry) serveOnce(ctx context.Context, req *Request, route *dynconf.Route, record *board.RequestRecord) *Result {
	fresh := req.Key == ""
	if fresh {
		req.Key = newKey()
	}
	o := &onceCall{entry: e, req: req, route: route, record: record, digest: bindingDigest(req)}
	record.Advance(board.RequestRouted)
	verdict := e.AtMostOnce.Invoke(ctx, &atmostonce.Call{
		ID:            board.KeyID{Service: req.Service, Caller: req.Caller, Key: req.Key},
		RequestDigest: o.digest, RequestID: req.ID, KeyGenerated: fresh,
		MaxAttempts: maxAttempts, AllowRetry: o.retry, PickExecutor: o.pick, Send: o.send,
	})
	return o.resultOf(verdict)
}

// refuse returns the result of a call that the entry refuses before it is
// claimed. When the caller brought a key, an earlier call with it may have run,
// so the home of the key is asked before not-run is told.
func (e *Entry) refuse(ctx context.Context, req *Request, reason board.Reason) *Result {
	if req.Key == "" || dynconf.IsSafeMethod(req.Method) {
		return NotRunResult(reason)
	}
	if e.Board.Config.Load().Version == 0 {
		// A node that has just started knows nothing of the services.
		return Unknown(board.ReasonKeyHomeUnavailable)
	}
	if e.AtMostOnce.EpochNumber(req.Service) == 0 {
		return NotRunResult(reason)
	}
	ctx, cancel := context.WithTimeout(ctx, refusalLookup)
	defer cancel()
	o := &onceCall{entry: e, req: req}
	verdict := e.AtMostOnce.Invoke(ctx, &atmostonce.Call{
		ID: board.KeyID{Service: req.Service, Caller: req.Caller, Key: req.Key}, RequestDigest: bindingDigest(req),
		RequestID: req.ID, PickExecutor: noExecutor, Send: sendNothing,
	})
	if verdict.Outcome == board.OutcomeNotRun {
		return NotRunResult(reason)
	}
	return o.resultOf(verdict)
}

// refusalLookup bounds the lookup of the key of a refused call.
const refusalLookup = 2 * time.Second

// noExecutor offers no executor, which turns a claim into a lookup.
func noExecutor([]board.InstanceID) (board.InstanceID, uint64, bool) { return "", 0, false }

func sendNothing(context.Context, uint64, uint64, int) (board.Outcome, board.Reason) {
	return board.OutcomeNotRun, board.ReasonNoServer
}

// retry pays for an attempt after one that is proven not to have run.
func (o *onceCall) retry() bool {
	return o.result == nil || o.entry.takeAttempt(o.req, false, o.result)
}

func newKey() string {
	var random [10]byte
	// Read of crypto/rand never fails.
	_, _ = rand.Read(random[:])
	return keyhome.NewKey(time.Now(), random)
}

// bindingDigest binds a key to the content of its request: method, path, query and
// body.
func bindingDigest(req *Request) string {
	h := sha256.New()
	for _, part := range []string{req.Method, req.Path, req.Query} {
		sum := sha256.Sum256([]byte(part))
		h.Write(sum[:])
	}
	h.Write(req.Body)
	return hex.EncodeToString(h.Sum(nil))
}

func (o *onceCall) pick(exclude []board.InstanceID) (board.InstanceID, uint64, bool) {
	o.cell = o.entry.pick(o.req.Service, exclude)
	if o.cell == nil {
		return "", 0, false
	}
	return o.cell.Member.Instance, o.cell.Member.Incarnation, true
}

// send runs one attempt under a grant at the executor that was picked last.
func (o *onceCall) send(ctx context.Context, epoch, grant uint64, number int) (board.Outcome, board.Reason) {
	if o.result != nil {
		closeBody(o.result.Body)
		o.record.Advance(board.RequestRouted)
	}
	o.record.Advance(board.RequestClaimed)
	attempt := &Attempt{
		Request: o.req, Route: o.route, Number: number, Executor: o.cell.Member,
		Grant: Grant{Key: o.req.Key, Digest: o.digest, Epoch: epoch, Number: grant},
	}
	o.result = o.entry.send(ctx, attempt, o.cell, o.record)
	o.entry.AtMostOnce.ForwardEpochNotice(wire.EpochNotice{
		Service: o.req.Service, EpochNumber: o.result.Epoch, SourceAddr: o.cell.Member.PeerAddr,
	})
	return o.result.Outcome, o.result.Reason
}

// resultOf turns a verdict into the result for the caller.
func (o *onceCall) resultOf(v atmostonce.Result) *Result {
	if v.ResponseReceived {
		return o.result
	}
	var result *Result
	switch {
	case v.Record != nil:
		result = recordedResult(v.Record)
	case v.Outcome == board.OutcomeNotRun:
		result = NotRunResult(v.Reason)
	default:
		result = Unknown(v.Reason)
	}
	if o.result != nil {
		result.Attempts, result.Load = o.result.Attempts, o.result.Load
	}
	return result
}

// recordedResult returns the recorded answer of an earlier run of a key.
func recordedResult(record *board.KeyRecord) *Result {
	response := record.Response
	if response == nil || record.Outcome == board.OutcomeUnknown {
		result := Unknown(record.Reason)
		result.Instance = record.Executor
		return result
	}
	result := &Result{
		Outcome: record.Outcome, Reason: record.Reason, Status: int(response.Status), Header: http.Header{},
		Instance: record.Executor, ContentLength: int64(len(response.Body)),
	}
	for name, values := range response.Header {
		result.Header[name] = values
	}
	result.Header.Set(HeaderRecorded, "response")
	if !response.BodyStored {
		result.Header = http.Header{}
		result.Header.Set(HeaderRecorded, "status")
		result.Header.Set(HeaderResponseDigest, response.BodyDigest)
		result.Reason = board.ReasonResponseNotKept
		return result
	}
	result.Body = io.NopCloser(bytes.NewReader(response.Body))
	return result
}
