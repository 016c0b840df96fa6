package mesh

import (
	"io"
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/pacing"
)

// pacedBody is a response body that is sent in chunks at the rate of the
// instance's network link, so that short responses and messages can be sent in
// between.
type pacedBody struct {
	io.ReadCloser
	link *board.LinkPacer
	// pending is the number of bytes still to be sent.
	pending atomic.Int64
}

// paceBody accounts for a response on the link and paces a large one. A
// negative length means that the length is unknown.
func paceBody(link *board.LinkPacer, body io.ReadCloser, length int64) io.ReadCloser {
	if body == nil || link.Rate <= 0 {
		return body
	}
	if length >= 0 && length < pacing.MinPacedBytes {
		link.Reserve(int(length), time.Now())
		return body
	}
	p := &pacedBody{ReadCloser: body, link: link}
	p.pending.Store(max(0, length))
	link.AddPending(p.pending.Load())
	return p
}

// Read returns at most one chunk and sleeps until the link is free for it.
func (p *pacedBody) Read(b []byte) (int, error) {
	n, err := p.ReadCloser.Read(b[:min(len(b), pacing.ChunkBytes)])
	if n <= 0 {
		return n, err
	}
	p.release(int64(n))
	if wait := p.link.Reserve(n, time.Now()); wait >= pacing.MinWait {
		time.Sleep(wait)
	}
	return n, err
}

// release removes up to n bytes from the pending bytes of the body and of
// the link.
func (p *pacedBody) release(n int64) {
	for {
		pending := p.pending.Load()
		sent := min(pending, n)
		if p.pending.CompareAndSwap(pending, pending-sent) {
			p.link.AddPending(-sent)
			return
		}
	}
}

// Close releases the bytes that were not sent and closes the body.
func (p *pacedBody) Close() error {
	p.release(p.pending.Load())
	return p.ReadCloser.Close()
}
