package call

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/atmostonce"
	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/wire"
)

// beginAtMostOnce records that a non-idempotent call starts to run, or refuses
// it. The returned context ends at the deadline of ctx, but not if the entry
// cancels the call, so the outcome is recorded even if the entry crashes. For
// an idempotent call it returns the arguments unchanged and a nil execution.
func (x *Executor) beginAtMostOnce(
	ctx context.Context, cancel context.CancelFunc, message *wire.Call,
) (context.Context, context.CancelFunc, *atmostonce.Execution, *Result) {
	if message.Idempotent {
		return ctx, cancel, nil, nil
	}
	execution, refusal := x.AtMostOnce.BeginExecution(ctx, message)
	switch {
	case refusal == nil:
		ctx, cancel = detachFromCancel(ctx, cancel)
		return ctx, cancel, execution, nil
	case refusal.Outcome == board.OutcomeUnknown:
		return ctx, cancel, nil, UnknownResult(refusal.Reason)
	}
	return ctx, cancel, nil, NotRunResult(refusal.Reason)
}

// detachFromCancel returns a context with the deadline of ctx that is not
// canceled with ctx. The returned function cancels both.
func detachFromCancel(ctx context.Context, cancel context.CancelFunc) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithoutCancel(ctx), cancel
	}
	detached, cancelDetached := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	return detached, func() {
		cancelDetached()
		cancel()
	}
}

// responseEpoch returns the epoch of the service to send with the response to a
// call, or 0 for an idempotent call.
func (x *Executor) responseEpoch(message *wire.Call) uint64 {
	if message.Idempotent {
		return 0
	}
	return x.AtMostOnce.EpochNumber(message.Service)
}

// recordOutcome records the outcome of an execution before the response is sent,
// and returns the result to send. If execution is nil, the call is idempotent and
// nothing is recorded.
func recordOutcome(execution *atmostonce.Execution, result *Result) *Result {
	switch {
	case execution == nil:
	case result.Outcome == board.OutcomeNotRun:
		execution.RecordNotRun()
	case result.Outcome == board.OutcomeUnknown:
		execution.RecordOutcome(board.OutcomeUnknown, result.Reason, nil)
	default:
		return recordResponse(execution, result)
	}
	return result
}

// sealRefusedGrant seals the grant of a non-idempotent call that did not run,
// so that a late copy of the call is refused.
func (x *Executor) sealRefusedGrant(message *wire.Call, result *Result) {
	if !message.Idempotent && result.Outcome == board.OutcomeNotRun {
		x.AtMostOnce.SealRefusedCall(message)
	}
}

// recordResponse buffers and records a response that is small enough to be
// stored. A larger one is streamed to the entry, and at its end it is recorded
// without its body.
func recordResponse(execution *atmostonce.Execution, result *Result) *Result {
	response := &board.KeyResponse{Status: uint16(result.Status), Header: result.Header}
	maxBody := atmostonce.MaxStoredResponseBytes - headerSize(result.Header)
	if result.Body == nil {
		response.BodyStored = maxBody >= 0
		execution.RecordOutcome(result.Outcome, result.Reason, response)
		return result
	}
	data, err := io.ReadAll(io.LimitReader(result.Body, int64(max(maxBody, 0))+1))
	switch {
	case err != nil:
		closeBody(result.Body)
		execution.RecordOutcome(board.OutcomeUnknown, board.ReasonResponseIncomplete, nil)
		return UnknownResult(board.ReasonResponseIncomplete)
	case len(data) <= maxBody:
		response.Body, response.BodyStored = data, true
		execution.RecordOutcome(result.Outcome, result.Reason, response)
		result.Body = bufferedBody{bytes.NewReader(data), result.Body}
		result.ContentLength = int64(len(data))
		return result
	}
	response.Header = nil
	result.Body = &recordingBody{
		reader: io.MultiReader(bytes.NewReader(data), result.Body), closer: result.Body,
		execution: execution, result: result, response: response, digest: sha256.New(),
	}
	return result
}

// headerSize returns the size of the names and values of a header in bytes.
func headerSize(h map[string][]string) int {
	size := 0
	for name, values := range h {
		size += len(name)
		for _, v := range values {
			size += len(v)
		}
	}
	return size
}

// bufferedBody reads from a buffer. Close closes the body that was buffered.
type bufferedBody struct {
	*bytes.Reader
	io.Closer
}

// recordingBody streams a large response body and, at its end, records the
// status of the response and the digest of the body.
type recordingBody struct {
	reader    io.Reader
	closer    io.Closer
	execution *atmostonce.Execution
	result    *Result
	response  *board.KeyResponse
	digest    hash.Hash
	recorded  bool
}

func (b *recordingBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	b.digest.Write(p[:n])
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		b.response.BodyDigest = hex.EncodeToString(b.digest.Sum(nil))
		b.recordOutcome(b.result.Outcome, b.result.Reason)
	} else {
		b.recordOutcome(board.OutcomeUnknown, board.ReasonResponseIncomplete)
	}
	return n, err
}

// Close records the status without a digest if the body was not read to its
// end: the backend server has executed the call and sent a response.
func (b *recordingBody) Close() error {
	b.recordOutcome(b.result.Outcome, b.result.Reason)
	return b.closer.Close()
}

func (b *recordingBody) recordOutcome(outcome board.Outcome, reason board.Reason) {
	if b.recorded {
		return
	}
	b.recorded = true
	b.execution.RecordOutcome(outcome, reason, b.response)
}

// handOverTimeout limits the transfer of key records to other nodes on a
// graceful shutdown.
const handOverTimeout = 10 * time.Second

// HandOverKeyRecords waits until the key records of this node are stored on
// other nodes, for at most handOverTimeout. The node calls it on shutdown, after
// its calls have ended and while it still responds to its peers.
func (x *Executor) HandOverKeyRecords(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if !x.AtMostOnce.AwaitHandOver(ctx) {
		x.Log.Warn().Msg("node stops before its key records are stored on other nodes")
	}
}
