package mesh

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/decide/progress"
	"mangostand.example/mangostand/pkg/metrics"
)

// deadlineWatch ends a call at its deadline unless its response is passed on by then.
// Such a response goes on while it flows, and ends when it makes no progress, see
// package progress. One timer serves the whole call.
type deadlineWatch struct {
	cancel   context.CancelFunc
	call     *Call
	deadline time.Time
	// role is that of this node in the call, for logs and metrics.
	role    string
	log     *zerolog.Logger
	metrics *metrics.MeshMetrics
	timer   *time.Timer
	// body is nil until the response is passed on.
	body atomic.Pointer[watchedBody]

	// mu guards the fields below, which only the timer uses.
	mu        sync.Mutex
	meter     progress.Meter
	checkedAt time.Time
	received  int64
}

// start starts the watch.
func (w *deadlineWatch) start() *deadlineWatch {
	// The timer may fire before the assignment, but uses it only with a body.
	w.timer = time.AfterFunc(time.Until(w.deadline), w.check)
	return w
}

// stop ends the watch.
func (w *deadlineWatch) stop() { w.timer.Stop() }

// follow watches the progress of a response from now on and returns its body, whose
// Close ends the watch.
func (w *deadlineWatch) follow(body io.ReadCloser) io.ReadCloser {
	watched := &watchedBody{ReadCloser: body}
	w.mu.Lock()
	w.checkedAt = time.Now()
	w.mu.Unlock()
	w.body.Store(watched)
	w.timer.Reset(max(0, time.Until(w.deadline)-progress.FirstCheck()))
	return onClose(watched, w.stop)
}

// check is called by the timer.
func (w *deadlineWatch) check() {
	body := w.body.Load()
	if body == nil {
		w.cancel()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now, received := time.Now(), body.received.Load()
	if body.closed.Load() {
		return
	}
	w.meter = w.meter.Observe(now.Sub(w.checkedAt), received-w.received, body.waiting.Load())
	w.checkedAt, w.received = now, received
	if w.meter.Stalled() && !now.Before(w.deadline) {
		w.log.Warn().Str("event", "response_stalled").Str("id", w.call.ID).Str("rule", w.call.Rule).Str("role", w.role).
			Int64("received", received).Dur("after_deadline", now.Sub(w.deadline)).Send()
		w.metrics.IncrementCounter("responses_stalled", map[string]string{"role": w.role})
		w.cancel()
		return
	}
	w.timer.Reset(progress.CheckInterval)
}

// watchedBody counts the bytes that are read and records whether its reader waits.
type watchedBody struct {
	io.ReadCloser
	received atomic.Int64
	waiting  atomic.Bool
	closed   atomic.Bool
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	b.waiting.Store(true)
	n, err := b.ReadCloser.Read(p)
	b.waiting.Store(false)
	b.received.Add(int64(n))
	return n, err
}

// Close implements io.Closer.
func (b *watchedBody) Close() error {
	b.closed.Store(true)
	return b.ReadCloser.Close()
}
