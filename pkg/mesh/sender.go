package mesh

import (
	"context"
	"net/http"
	"time"

	"mangostand.example/mangostand/pkg/h1"
)

// bodyTimeout bounds the wait for the body of an accepted call.
const bodyTimeout = 500 * time.Millisecond

// statusSlow is the informational status by which an executor tells the
// entry that it expects to miss the objective.
const statusSlow = http.StatusEarlyHints

// statusQueued is the informational status by which an executor tells the entry that
// it will take the body of the call later.
const statusQueued = http.StatusProcessing

// sender is the entry from which the executor received a call.
type sender interface {
	// Accept tells the sender that the call is accepted and returns its body.
	// Another node holds the body back until then, so a call whose body was not
	// sent has not been executed.
	// The body is expected within a timeout.
	Accept(ctx context.Context, timeout time.Duration) ([]byte, error)
	// NotifyQueued tells the sender that the call waits for its turn.
	NotifyQueued()
	// NotifySlow tells the sender that the call is expected to miss its
	// objective.
	NotifySlow()
}

// localSender is the entry of the same node.
type localSender struct{ notifySlow func() }

// Accept returns no body, since the local entry has passed it with the call.
func (localSender) Accept(context.Context, time.Duration) ([]byte, error) { return nil, nil }

// NotifyQueued does nothing, since the local entry does not time out.
func (localSender) NotifyQueued() {}

// NotifySlow calls the local entry back.
func (s localSender) NotifySlow() { s.notifySlow() }

// remoteSender is the entry of another node.
type remoteSender struct {
	request *h1.Request
	// bodySize is the size of the body in bytes, 0 if it is not known or there is none.
	bodySize int64
}

// Accept reserves memory for the body, sends 100 Continue and waits for the body.
func (s remoteSender) Accept(ctx context.Context, timeout time.Duration) ([]byte, error) {
	if s.bodySize > 0 && !s.request.ReserveBody(s.bodySize) {
		return nil, h1.ErrBodyRefused
	}
	if err := s.request.SendInterim(http.StatusContinue); err != nil {
		return nil, err
	}
	return s.request.AwaitBody(ctx, timeout)
}

// NotifyQueued sends statusQueued. An error is ignored, since the entry itself detects
// a broken connection.
func (s remoteSender) NotifyQueued() { _ = s.request.SendInterim(statusQueued) }

// NotifySlow sends statusSlow. An error is ignored, since the entry itself
// detects a broken connection.
func (s remoteSender) NotifySlow() { _ = s.request.SendInterim(statusSlow) }
