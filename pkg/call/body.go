package call

import (
	"context"
	"io"
	"sync"
)

// closeHook is a body that calls a function when it is closed for the first
// time.
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

// onClose runs hook when the body is closed, or immediately if the body is nil.
func onClose(body io.ReadCloser, hook func()) io.ReadCloser {
	if body == nil {
		hook()
		return nil
	}
	return &closeHook{ReadCloser: body, hook: hook}
}

// cancelOnClose cancels a context when the body is closed, or immediately if
// the body is nil.
func cancelOnClose(body io.ReadCloser, cancel context.CancelFunc) io.ReadCloser {
	return onClose(body, cancel)
}
