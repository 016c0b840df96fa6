package mesh

import (
	"context"
	"net/http"
	"time"

	"mangostand.example/mangostand/pkg/h1"
)

// bodyWait bounds the wait for the body of a call that was admitted.
const bodyWait = 500 * time.Millisecond

// statusSlow is the informational answer by which an executor tells the entry
// that it expects to miss the objective.
const statusSlow = http.StatusEarlyHints

// taker is the sender of a call as the executor sees it.
type taker interface {
	// Take tells that the call was admitted and returns its body, which another
	// node holds back until then: a call whose body was not sent has not run.
	Take(ctx context.Context) ([]byte, error)
	// Slow tells that the call is expected to miss its objective.
	Slow()
}

// localTake is the entry of the same node.
type localTake struct{ slow func() }

// Take admits the call.
func (localTake) Take(context.Context) ([]byte, error) { return nil, nil }

// Slow tells the entry.
func (t localTake) Slow() { t.slow() }

// remoteTake is the entry on another node.
type remoteTake struct{ request *h1.Request }

// Take tells the entry and waits for the body.
func (t remoteTake) Take(ctx context.Context) ([]byte, error) {
	if err := t.request.Interim(http.StatusContinue); err != nil {
		return nil, err
	}
	return t.request.AwaitBody(ctx, bodyWait)
}

// Slow tells the entry. The entry notices itself when the connection is gone.
func (t remoteTake) Slow() { _ = t.request.Interim(statusSlow) }
