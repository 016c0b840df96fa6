package meshnode

import (
	"context"
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/control/directory"
	"mangostand.example/mangostand/pkg/h1"
	"mangostand.example/mangostand/pkg/mesh"
)

// Targets of the exchanges between nodes, besides calls.
const (
	targetExchange = "/mesh/exchange"
	targetTable    = "/mesh/table"
)

// maxMessage bounds a message between nodes in bytes: the records of some
// thousand nodes, or a configuration at the limit of the store.
const maxMessage = 2 << 20

// handlePeer answers a request of another node.
func (n *Node) handlePeer(ctx context.Context, r *h1.Request) *h1.Response {
	switch {
	case mesh.IsHop(r):
		return n.executor.HandleHop(ctx, r)
	case r.Target == targetExchange:
		return n.handleExchange(r)
	case r.Target == targetTable:
		return &h1.Response{Status: http.StatusOK, Text: n.board.Routes.Load().Document}
	}
	n.log.Warn().Str("event", "peer_request_refused").Str("target", r.Target).Send()
	return &h1.Response{Status: http.StatusNotFound}
}

func (n *Node) handleExchange(r *h1.Request) *h1.Response {
	var m directory.Message
	if err := cbor.Unmarshal(r.Body, &m); err != nil {
		n.log.Warn().Err(err).Str("event", "exchange_refused").Msg("message of a node not understood")
		return &h1.Response{Status: http.StatusBadRequest}
	}
	data, err := cbor.Marshal(directory.Respond(n.board, &m, n.executor.LoadReport()))
	if err != nil {
		n.log.Error().Err(err).Str("event", "exchange_not_encoded").Send()
		return &h1.Response{Status: http.StatusInternalServerError}
	}
	return &h1.Response{Status: http.StatusOK, Text: data}
}

// exchange sends a message to another node.
func (n *Node) exchange(ctx context.Context, addr string, m *directory.Message) (*directory.Message, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Trace(err)
	}
	answer, err := n.ask(ctx, addr, http.MethodPost, targetExchange, data)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var got directory.Message
	return &got, errors.Trace(cbor.Unmarshal(answer, &got))
}

// pullTable reads the configuration of another node.
func (n *Node) pullTable(ctx context.Context, addr string) ([]byte, error) {
	return n.ask(ctx, addr, http.MethodGet, targetTable, nil)
}

func (n *Node) ask(ctx context.Context, addr, method, target string, body []byte) ([]byte, error) {
	answer, err := n.peers.Do(ctx, addr, &h1.Call{
		Method: method, Target: target, Host: addr, Header: http.Header{}, Body: body, MaxIdle: n.peers.IdleTimeout,
	})
	if err != nil {
		// A connection that went silent must not be used for the next question.
		n.peers.Forget(addr)
		return nil, errors.Annotatef(err, "asking %s", addr)
	}
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxMessage))
	_ = answer.Body.Close()
	if err != nil {
		return nil, errors.Annotatef(err, "asking %s", addr)
	}
	if answer.Status != http.StatusOK {
		return nil, errors.Errorf("asking %s: status %d", addr, answer.Status)
	}
	return data, nil
}
