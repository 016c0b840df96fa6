package logging

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the number of lines that wait for a slow reader.
	maxQueuedLines = 2048
	// flushInterval collects lines, so that a busy node makes few writes.
	flushInterval = 20 * time.Millisecond
	// flushBytes ends the collection early, in bytes.
	flushBytes = 32 << 10
)

// AsyncWriter passes log lines to a writer on a goroutine of its own. It never
// blocks: when the writer is too slow, lines are dropped and counted in a later
// line.
type AsyncWriter struct {
	queue   chan []byte
	dropped atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
}

// NewAsyncWriter starts to write to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{queue: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go a.run(w)
	return a
}

// Write queues one line.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.queue <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and ends the stream.
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

// collectBatch adds the lines of the next moments.
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
	// A log that cannot be written has no other place to be told.
	_, _ = w.Write(buf)
}
