package logging

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the number of lines that can wait for a slow writer.
	maxQueuedLines = 2048
	// flushInterval is how long lines are collected into one batch, so that a
	// busy node makes few writes.
	flushInterval = 20 * time.Millisecond
	// flushBytes is the batch size at which a batch is written early.
	flushBytes = 32 << 10
)

// AsyncWriter writes log lines to an underlying writer in batches on a goroutine
// of its own. Write never blocks: if the queue is full, the line is dropped, and
// the number of dropped lines is logged with a later batch.
type AsyncWriter struct {
	queue   chan []byte
	dropped atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
}

// NewAsyncWriter starts the goroutine that writes to w. Close ends it.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{queue: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go a.run(w)
	return a
}

// Write queues a copy of one line, or drops it if the queue is full. It never
// returns an error.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.queue <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops the goroutine.
func (a *AsyncWriter) Close() error {
	close(a.stop)
	<-a.done
	return nil
}

func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.done)
	var buf []byte
	for {
		select {
		case line := <-a.queue:
			buf = a.collectBatch(append(buf[:0], line...))
			a.flush(w, buf)
		case <-a.stop:
			a.flush(w, a.drainQueue(buf[:0]))
			return
		}
	}
}

// collectBatch appends lines to buf until flushInterval has passed, the batch
// has reached flushBytes or the writer is closed.
func (a *AsyncWriter) collectBatch(buf []byte) []byte {
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	for len(buf) < flushBytes {
		select {
		case line := <-a.queue:
			buf = append(buf, line...)
		case <-timer.C:
			return buf
		case <-a.stop:
			return buf
		}
	}
	return buf
}

func (a *AsyncWriter) drainQueue(buf []byte) []byte {
	for {
		select {
		case line := <-a.queue:
			buf = append(buf, line...)
		default:
			return buf
		}
	}
}

func (a *AsyncWriter) flush(w io.Writer, buf []byte) {
	if n := a.dropped.Swap(0); n > 0 {
		buf = append(buf, `{"level":"warn","event":"log_lines_dropped","count":`+strconv.FormatUint(n, 10)+"}\n"...)
	}
	// There is nowhere to report that the log itself cannot be written.
	_, _ = w.Write(buf)
}
