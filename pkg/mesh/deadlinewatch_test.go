package mesh

import (
	"bytes"
	"context"
	"io"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/pacing"
)

// useOneProcessor makes the test use one processor, because the race detector of Go 1.26
// crashes when two threads run timers of one synctest bubble at the same time.
func useOneProcessor(t *testing.T) {
	before := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(before) })
}

// partsReader is a body of parts that arrive at an interval. It ends with the context.
type partsReader struct {
	ctx      context.Context
	parts    int
	size     int
	interval time.Duration
	// stopAfter is the number of parts after which nothing more arrives, -1 for none.
	stopAfter int
	pending   bytes.Buffer
}

func (r *partsReader) Read(p []byte) (int, error) {
	if r.pending.Len() > 0 {
		return r.pending.Read(p)
	}
	if r.parts == 0 {
		return 0, io.EOF
	}
	arrives := time.After(r.interval)
	if r.stopAfter == 0 {
		arrives = nil
	}
	select {
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	case <-arrives:
	}
	r.parts--
	r.stopAfter--
	r.pending.Write(make([]byte, r.size))
	return r.pending.Read(p)
}

func (r *partsReader) Close() error { return nil }

// Guards against a response that has stopped and ends later than half a second after
// its timeout, or never (review/9), against one that trickles for ever, and against one
// that flows, is paced or has a slow caller, and is ended.
func TestDeadlineWatch(t *testing.T) {
	useOneProcessor(t)
	const timeout, allowed = 1500 * time.Millisecond, 500 * time.Millisecond
	for name, c := range map[string]struct {
		body partsReader
		// linkRate paces the body, readerPause is the time that the caller takes for
		// each piece.
		linkRate    float64
		readerPause time.Duration
		whole       bool
	}{
		"stops at once":                {body: partsReader{parts: 9, size: 9, stopAfter: 0}},
		"stops long before":            {body: partsReader{parts: 99, size: 4096, interval: 10 * time.Millisecond, stopAfter: 20}},
		"stops just before":            {body: partsReader{parts: 999, size: 4096, interval: 10 * time.Millisecond, stopAfter: 149}},
		"trickles, 10 kB/s":            {body: partsReader{parts: 9999, size: 1000, interval: 100 * time.Millisecond, stopAfter: -1}},
		"trickles, in bursts":          {body: partsReader{parts: 999, size: 10_000, interval: time.Second, stopAfter: -1}},
		"flows":                        {body: partsReader{parts: 600, size: 4096, interval: 10 * time.Millisecond, stopAfter: -1}, whole: true},
		"flows, 40 on 10 Mbit/s":       {body: partsReader{parts: 132, size: 4096, interval: 138 * time.Millisecond, stopAfter: -1}, whole: true},
		"flows, a packet lost each 8K": {body: partsReader{parts: 66, size: 8192, interval: 220 * time.Millisecond, stopAfter: -1}, whole: true},
		"paced":                        {body: partsReader{parts: 66, size: 8192, interval: time.Millisecond, stopAfter: -1}, linkRate: 20_000, whole: true},
		"slow caller":                  {body: partsReader{parts: 66, size: 8192, interval: time.Millisecond, stopAfter: -1}, readerPause: 400 * time.Millisecond, whole: true},
		"ends in time":                 {body: partsReader{parts: 10, size: 4096, interval: 10 * time.Millisecond, stopAfter: -1}, whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				log := zerolog.Nop()
				start := time.Now()
				watch := (&deadlineWatch{cancel: cancel, call: &Call{}, deadline: start.Add(timeout), log: &log}).start()
				c.body.ctx = ctx
				link := board.NewLinkPacer(c.linkRate)
				body := paceBody(link, watch.follow(&c.body), -1)

				var err error
				for buf := make([]byte, pacing.ChunkBytes); err == nil; {

					_, err = body.Read(buf)

					time.Sleep(c.readerPause)
				}
				took := time.Since(start)
				require.NoError(t, body.Close())
				if c.whole {
					require.ErrorIs(t, err, io.EOF)
					return
				}
				require.ErrorIs(t, err, context.Canceled)
				require.GreaterOrEqual(t, took, timeout)
				require.LessOrEqual(t, took, timeout+allowed)
			})
		})
	}
}

// Guards against a timer that ends a connection after the response was read, when
// another call may use it.
func TestDeadlineWatchEndsWithItsBody(t *testing.T) {
	useOneProcessor(t)
	synctest.Test(t, func(t *testing.T) {
		canceled := false
		log := zerolog.Nop()
		watch := (&deadlineWatch{cancel: func() { canceled = true }, call: &Call{}, deadline: time.Now().Add(time.Second), log: &log}).start()
		body := watch.follow(io.NopCloser(&bytes.Buffer{}))
		time.Sleep(1500 * time.Millisecond)
		require.NoError(t, body.Close())
		time.Sleep(10 * time.Second)
		require.False(t, canceled)
	})
}
