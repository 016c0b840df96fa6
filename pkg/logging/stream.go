package logging

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// streamQueue is the number of lines that wait for a slow reader.
	streamQueue = 2048
	// flushInterval collects lines, so that a busy node makes few writes.
	flushInterval = 20 * time.Millisecond
	// flushSize ends the collection early, in bytes.
	flushSize = 32 << 10
)

// Stream passes log lines to a writer on a goroutine of its own. It never
// blocks: when the writer is too slow, lines are dropped and counted in a later
// line.
type Stream struct {
	lines   chan []byte
	dropped atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
}

// NewAsyncWriter starts to write to w.
func NewAsyncWriter(w io.Writer) *Stream {
	s := &Stream{lines: make(chan []byte, streamQueue), stop: make(chan struct{}), done: make(chan struct{})}
	go s.run(w)
	return s
}

// Write queues one line.
func (s *Stream) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and ends the stream.
func (s *Stream) Close() error {
	close(s.stop)
	<-s.done
	return nil
}

func (s *Stream) run(w io.Writer) {
	defer close(s.done)
	var buf []byte
	for {
		select {
		case line := <-s.lines:
			buf = s.collect(append(buf[:0], line...))
			s.flush(w, buf)
		case <-s.stop:
			s.flush(w, s.drain(buf[:0]))
			return
		}
	}
}

// collect adds the lines of the next moments.
func (s *Stream) collect(buf []byte) []byte {
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	for len(buf) < flushSize {
		select {
		case line := <-s.lines:
			buf = append(buf, line...)
		case <-timer.C:
			return buf
		case <-s.stop:
			return buf
		}
	}
	return buf
}

func (s *Stream) drain(buf []byte) []byte {
	for {
		select {
		case line := <-s.lines:
			buf = append(buf, line...)
		default:
			return buf
		}
	}
}

func (s *Stream) flush(w io.Writer, buf []byte) {
	if n := s.dropped.Swap(0); n > 0 {
		buf = append(buf, `{"level":"warn","event":"log_lines_dropped","count":`+strconv.FormatUint(n, 10)+"}\n"...)
	}
	// A log that cannot be written has no other place to be told.
	_, _ = w.Write(buf)
}
