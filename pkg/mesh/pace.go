package mesh

import (
	"io"
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/pacing"
)

// pacedBody is the body of an answer that leaves the machine piece by piece, at the
// pace of its link. Short answers and messages go out in between.
type pacedBody struct {
	io.ReadCloser
	link *board.LinkPacer
	// pending is what is still owed.
	pending atomic.Int64
}

// paceBody accounts for an answer on the link and paces a large one. A negative
// length is not known.
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

// Read returns at most a piece, when it may go out.
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

// release removes bytes from what is owed.
func (p *pacedBody) release(n int64) {
	for {
		left := p.pending.Load()
		paid := min(left, n)
		if p.pending.CompareAndSwap(left, left-paid) {
			p.link.AddPending(-paid)
			return
		}
	}
}

// Close ends the answer.
func (p *pacedBody) Close() error {
	p.release(p.pending.Load())
	return p.ReadCloser.Close()
}
