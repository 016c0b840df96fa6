package mesh

import (
	"io"
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/pacing"
)

// paced is the body of an answer that leaves the machine piece by piece, at the
// pace of its link. Short answers and messages go out in between.
type paced struct {
	io.ReadCloser
	link *board.LinkPacer
	// left is what is still owed.
	left atomic.Int64
}

// pace accounts for an answer on the link and paces a large one. A negative
// length is not known.
func pace(link *board.LinkPacer, body io.ReadCloser, length int64) io.ReadCloser {
	if body == nil || link.Rate <= 0 {
		return body
	}
	if length >= 0 && length < pacing.MinPacedBytes {
		link.Reserve(int(length), time.Now())
		return body
	}
	p := &paced{ReadCloser: body, link: link}
	p.left.Store(max(0, length))
	link.AddPending(p.left.Load())
	return p
}

// Read returns at most a piece, when it may go out.
func (p *paced) Read(b []byte) (int, error) {
	n, err := p.ReadCloser.Read(b[:min(len(b), pacing.ChunkBytes)])
	if n <= 0 {
		return n, err
	}
	p.settle(int64(n))
	if wait := p.link.Reserve(n, time.Now()); wait >= pacing.MinWait {
		time.Sleep(wait)
	}
	return n, err
}

// settle removes bytes from what is owed.
func (p *paced) settle(n int64) {
	for {
		left := p.left.Load()
		paid := min(left, n)
		if p.left.CompareAndSwap(left, left-paid) {
			p.link.AddPending(-paid)
			return
		}
	}
}

// Close ends the answer.
func (p *paced) Close() error {
	p.settle(p.left.Load())
	return p.ReadCloser.Close()
}
