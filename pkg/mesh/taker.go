package mesh

import (
	"context"
	"net/http"
	"time"

	"mangostand.example/mangostand/pkg/h1"
)

// bodyTimeout bounds the wait for the body of a call that was admitted.
const bodyTimeout = 500 * time.Millisecond

// statusSlow is the informational answer by which an executor tells the entry
// that it expects to miss the objective.
const statusSlow = http.StatusEarlyHints

// sender is the sender of a call as the executor sees it.
type sender interface {
	// Accept tells that the call was admitted and returns its body, which another
	// node holds back until then: a call whose body was not sent has not run.
	Accept(ctx context.Context) ([]byte, error)
	// NotifySlow tells that the call is expected to miss its objective.
	NotifySlow()
}

// localSender is the entry of the same node.
type localSender struct{ notifySlow func() }

// Accept admits the call.
func (localSender) Accept(context.Context) ([]byte, error) { return nil, nil }

// NotifySlow tells the entry.
func (t localSender) NotifySlow() { t.notifySlow() }

// remoteSender is the entry on another node.
type remoteSender struct{ request *h1.Request }

// Accept tells the entry and waits for the body.
func (t remoteSender) Accept(ctx context.Context) ([]byte, error) {
	if err := t.request.Interim(http.StatusContinue); err != nil {
		return nil, err
	}
	return t.request.AwaitBody(ctx, bodyTimeout)
}

// NotifySlow tells the entry. The entry notices itself when the connection is gone.
func (t remoteSender) NotifySlow() { _ = t.request.Interim(statusSlow) }
