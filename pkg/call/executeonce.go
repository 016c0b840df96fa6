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

// beginOnce records the run of a non-idempotent call. The context that it
// returns outlives the entry, so that the outcome is recorded even when the
// entry dies; it ends at the deadline of ctx. For an idempotent call it changes
// nothing and returns no run.
func (x *Executor) beginOnce(
	ctx context.Context, cancel context.CancelFunc, message *wire.Call,
) (context.Context, context.CancelFunc, *atmostonce.Execution, *Result) {
	if message.Idempotent {
		return ctx, cancel, nil, nil
	}
	run, refusal := x.AtMostOnce.BeginExecution(ctx, message)
	switch {
	case refusal == nil:
		ctx, cancel = detach(ctx, cancel)
		return ctx, cancel, run, nil
	case refusal.Outcome == board.OutcomeUnknown:
		return ctx, cancel, nil, Unknown(refusal.Reason)
	}
	return ctx, cancel, nil, NotRunResult(refusal.Reason)
}

// detach returns a context that keeps the deadline of ctx but not its cause to
// end early. The cancel function ends both.
func detach(ctx context.Context, cancel context.CancelFunc) (context.Context, context.CancelFunc) {
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

// epochOf returns the epoch to tell with the response of a call.
func (x *Executor) epochOf(message *wire.Call) uint64 {
	if message.Idempotent {
		return 0
	}
	return x.AtMostOnce.EpochNumber(message.Service)
}

// finishOnce records the outcome of a run before the response leaves.
func finishOnce(run *atmostonce.Execution, result *Result) *Result {
	switch {
	case run == nil:
	case result.Outcome == board.OutcomeNotRun:
		run.RecordNotRun()
	case result.Outcome == board.OutcomeUnknown:
		run.RecordOutcome(board.OutcomeUnknown, result.Reason, nil)
	default:
		return recordResponse(run, result)
	}
	return result
}

// rejectOnce seals the grant of a call that was refused before its run.
func (x *Executor) rejectOnce(message *wire.Call, result *Result) {
	if !message.Idempotent && result.Outcome == board.OutcomeNotRun {
		x.AtMostOnce.SealRefusedCall(message)
	}
}

// recordResponse reads a response up to the size that is kept. A larger one
// is passed on while it is read and recorded without its body at its end.
func recordResponse(run *atmostonce.Execution, result *Result) *Result {
	response := &board.KeyResponse{Status: uint16(result.Status), Header: result.Header}
	room := atmostonce.MaxStoredResponseBytes - headerSize(result.Header)
	if result.Body == nil {
		response.BodyStored = room >= 0
		run.RecordOutcome(result.Outcome, result.Reason, response)
		return result
	}
	head, err := io.ReadAll(io.LimitReader(result.Body, int64(max(room, 0))+1))
	switch {
	case err != nil:
		closeBody(result.Body)
		run.RecordOutcome(board.OutcomeUnknown, board.ReasonResponseIncomplete, nil)
		return Unknown(board.ReasonResponseIncomplete)
	case len(head) <= room:
		response.Body, response.BodyStored = head, true
		run.RecordOutcome(result.Outcome, result.Reason, response)
		result.Body = bufferedBody{bytes.NewReader(head), result.Body}
		result.ContentLength = int64(len(head))
		return result
	}
	response.Header = nil
	result.Body = &recordedBody{
		reader: io.MultiReader(bytes.NewReader(head), result.Body), closer: result.Body,
		run: run, result: result, response: response, digest: sha256.New(),
	}
	return result
}

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

// bufferedBody reads a buffer and closes the body that it came from.
type bufferedBody struct {
	*bytes.Reader
	io.Closer
}

// recordedBody passes a large response on and records its status and digest
// once it has ended.
type recordedBody struct {
	reader   io.Reader
	closer   io.Closer
	run      *atmostonce.Execution
	result   *Result
	response *board.KeyResponse
	digest   hash.Hash
	recorded bool
}

func (b *recordedBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	b.digest.Write(p[:n])
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		b.response.BodyDigest = hex.EncodeToString(b.digest.Sum(nil))
		b.record(b.result.Outcome, b.result.Reason)
	} else {
		b.record(board.OutcomeUnknown, board.ReasonResponseIncomplete)
	}
	return n, err
}

// Close records the status without a digest when the reader stopped early: the
// backend server has run the call and answered it.
func (b *recordedBody) Close() error {
	b.record(b.result.Outcome, b.result.Reason)
	return b.closer.Close()
}

func (b *recordedBody) record(outcome board.Outcome, reason board.Reason) {
	if b.recorded {
		return
	}
	b.recorded = true
	b.run.RecordOutcome(outcome, reason, b.response)
}

// stopTimeout bounds the hand-over of key records on a graceful stop.
const stopTimeout = 10 * time.Second

// HandOverKeyRecords waits until the key records of this node are safe on others, at
// most for some seconds. The node calls it on stop, after its calls have ended
// and while it still answers its peers.
func (x *Executor) HandOverKeyRecords(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if !x.AtMostOnce.AwaitHandOver(ctx) {
		x.Log.Warn().Msg("node stops before its key records are handed over")
	}
}
