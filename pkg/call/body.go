package call

import (
	"context"
	"io"
	"sync"
)

// closeHook calls a function once when a body is closed.
type closeHook struct {
	io.ReadCloser
	once sync.Once
	hook func()
}

func (c *closeHook) Close() error {
	err := c.ReadCloser.Close()
	c.once.Do(c.hook)
	return err
}

// onClose runs hook when the body is closed, at once when there is no body.
func onClose(body io.ReadCloser, hook func()) io.ReadCloser {
	if body == nil {
		hook()
		return nil
	}
	return &closeHook{ReadCloser: body, hook: hook}
}

// cancelOnClose keeps a context alive until the body has been read.
func cancelOnClose(body io.ReadCloser, cancel context.CancelFunc) io.ReadCloser {
	return onClose(body, cancel)
}
