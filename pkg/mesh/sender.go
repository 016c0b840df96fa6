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

// sender is the entry from which the executor received a call.
type sender interface {
	// Accept tells the sender that the call is accepted and returns its body.
	// Another node holds the body back until then, so a call whose body was not
	// sent has not been executed.
	Accept(ctx context.Context) ([]byte, error)
	// NotifySlow tells the sender that the call is expected to miss its
	// objective.
	NotifySlow()
}

// localSender is the entry of the same node.
type localSender struct{ notifySlow func() }

// Accept returns no body, since the local entry has passed it with the call.
func (localSender) Accept(context.Context) ([]byte, error) { return nil, nil }

// NotifySlow calls the local entry back.
func (s localSender) NotifySlow() { s.notifySlow() }

// remoteSender is the entry of another node.
type remoteSender struct{ request *h1.Request }

// Accept sends 100 Continue and waits for the body.
func (s remoteSender) Accept(ctx context.Context) ([]byte, error) {
	if err := s.request.SendInterim(http.StatusContinue); err != nil {
		return nil, err
	}
	return s.request.AwaitBody(ctx, bodyTimeout)
}

// NotifySlow sends statusSlow. An error is ignored, since the entry itself
// detects a broken connection.
func (s remoteSender) NotifySlow() { _ = s.request.SendInterim(statusSlow) }
