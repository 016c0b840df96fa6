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

// Request targets between nodes, besides forwarded calls.
const (
	targetExchange   = "/mesh/exchange"
	targetRouteTable = "/mesh/table"
)

// maxMessageBytes bounds a message between nodes: the records of a few
// thousand nodes, or a configuration of the largest size that the store
// accepts.
const maxMessageBytes = 2 << 20

// handlePeer responds to a request of another node.
func (n *Node) handlePeer(ctx context.Context, r *h1.Request) *h1.Response {
	switch {
	case mesh.IsHop(r):
		return n.executor.HandleHop(ctx, r)
	case r.Target == targetExchange:
		return n.handleExchange(r)
	case r.Target == targetRouteTable:
		return &h1.Response{Status: http.StatusOK, BufferedBody: n.board.Routes.Load().EncodedDocument}
	}
	n.log.Warn().Str("event", "peer_request_refused").Str("target", r.Target).Send()
	return &h1.Response{Status: http.StatusNotFound}
}

// handleExchange takes the message of another node and returns the records
// of this node that may differ.
func (n *Node) handleExchange(r *h1.Request) *h1.Response {
	var m directory.Message
	if err := cbor.Unmarshal(r.Body, &m); err != nil {
		n.log.Warn().Err(err).Str("event", "exchange_refused").Msg("malformed exchange message")
		return &h1.Response{Status: http.StatusBadRequest}
	}
	data, err := cbor.Marshal(directory.Respond(n.board, &m, n.executor.LoadReport()))
	if err != nil {
		n.log.Error().Err(err).Str("event", "exchange_not_encoded").Send()
		return &h1.Response{Status: http.StatusInternalServerError}
	}
	return &h1.Response{Status: http.StatusOK, BufferedBody: data}
}

// exchange sends a message to another node and returns its response.
func (n *Node) exchange(ctx context.Context, addr string, m *directory.Message) (*directory.Message, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Trace(err)
	}
	response, err := n.requestPeer(ctx, addr, http.MethodPost, targetExchange, data)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var reply directory.Message
	return &reply, errors.Trace(cbor.Unmarshal(response, &reply))
}

// fetchRouteTable reads the configuration document of another node.
func (n *Node) fetchRouteTable(ctx context.Context, addr string) ([]byte, error) {
	return n.requestPeer(ctx, addr, http.MethodGet, targetRouteTable, nil)
}

// requestPeer sends one request to another node and returns the response
// body.
func (n *Node) requestPeer(ctx context.Context, addr, method, target string, body []byte) ([]byte, error) {
	response, err := n.peerPool.Do(ctx, addr, &h1.ClientRequest{
		Method: method, Target: target, Host: addr, Header: http.Header{}, Body: body, MaxIdleTime: n.peerPool.IdleTimeout,
	})
	if err != nil {
		// Idle connections to a node that does not respond are not reused.
		n.peerPool.CloseIdleConns(addr)
		return nil, errors.Annotatef(err, "request to %s", addr)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxMessageBytes))
	_ = response.Body.Close()
	if err != nil {
		return nil, errors.Annotatef(err, "request to %s", addr)
	}
	if response.Status != http.StatusOK {
		return nil, errors.Errorf("request to %s: status %d", addr, response.Status)
	}
	return data, nil
}
