package h1

import (
	"io"
	"sync"

	"github.com/juju/errors"
)

// ObserveEnd returns a body that calls onEnd once with the error that ends it, io.EOF
// for a complete one. A body that is closed before its end does not call it.
func ObserveEnd(body io.ReadCloser, onEnd func(error)) io.ReadCloser {
	return &observedBody{ReadCloser: body, onEnd: onEnd}
}

type observedBody struct {
	io.ReadCloser
	once  sync.Once
	onEnd func(error)
}

// Read implements io.Reader.
func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once.Do(func() { b.onEnd(err) })
	}
	return n, err
}

// IsConnLost reports whether a response could not be read because its connection ended,
// as when the process of the server ends. Other errors are about what the server sent.
func IsConnLost(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || isConnClosed(err)
}
