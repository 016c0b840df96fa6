package meshnode

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/control/directory"
	"mangostand.example/mangostand/pkg/control/routefeed"
	"mangostand.example/mangostand/pkg/h1"
	"mangostand.example/mangostand/pkg/mesh"
	"mangostand.example/mangostand/pkg/routedoc"
)

// Request targets between nodes, besides forwarded calls.
const (
	targetExchange = "/mesh/exchange"
	targetConfig   = "/mesh/config"
	targetQuota    = "/mesh/quota"
	targetStop     = "/mesh/stop"
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
	case r.Target == routedoc.DocumentTarget:
		return &h1.Response{Status: http.StatusOK, BufferedBody: n.board.RouteDocument.Load().Document}
	case r.Target == targetConfig:
		return n.handleConfigPull(r)
	case r.Target == targetQuota:
		return n.handleQuotaReport(r)
	case r.Target == targetStop:
		return n.handleStopNotice(r)
	}
	n.log.Warn().Str("event", "peer_request_refused").Str("target", r.Target).Send()
	return &h1.Response{Status: http.StatusNotFound}
}

// handleStopNotice takes the notice of another node that it stops.
func (n *Node) handleStopNotice(r *h1.Request) *h1.Response {
	var notice mesh.StopNotice
	if err := cbor.Unmarshal(r.Body, &notice); err != nil {
		n.log.Warn().Err(err).Str("event", "stop_notice_refused").Msg("malformed notice")
		return &h1.Response{Status: http.StatusBadRequest}
	}
	notice.Receive(n.board, r.ReceivedAt)
	return &h1.Response{Status: http.StatusOK}
}

// sendStopNotice tells the node at an address that this one stops.
func (n *Node) sendStopNotice(ctx context.Context, addr string, notice mesh.StopNotice) error {
	data, err := cbor.Marshal(notice)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = n.requestPeer(ctx, addr, targetStop, data, peerObserver{})
	return errors.Trace(err)
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
	var roundTrip time.Duration
	response, err := n.requestPeer(ctx, addr, targetExchange, data, peerObserver{
		firstResponse: func(elapsed time.Duration) { roundTrip = elapsed },
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	var reply directory.Message
	if err := cbor.Unmarshal(response, &reply); err != nil {
		return nil, errors.Trace(err)
	}
	if peer := n.board.Fleet.Load().ByInstance[reply.From]; peer != nil {
		n.board.DomainLatencies.Add(peer.Record.FailureDomain, roundTrip, time.Now())
		n.recordPeerBytes("exchange", peer.Record.FailureDomain, len(data)+len(response))
	}
	return &reply, nil
}

// recordPeerBytes counts the bytes of a request to another node and of its response,
// if the node is in another failure domain.
func (n *Node) recordPeerBytes(kind, domain string, bytes int) {
	if domain != n.board.Self.FailureDomain {
		n.metrics.RecordCrossDomain(kind, int64(bytes))
	}
}

// domainOf returns the failure domain of the node at an address, this node's own when
// the node is not known.
func (n *Node) domainOf(addr string) string {
	for _, peer := range n.board.Fleet.Load().ByInstance {
		if peer.Record.PeerAddr == addr {
			return peer.Record.FailureDomain
		}
	}
	return n.board.Self.FailureDomain
}

// handleConfigPull responds to a pull of the configuration.
func (n *Node) handleConfigPull(r *h1.Request) *h1.Response {
	var request routefeed.PullRequest
	if err := cbor.Unmarshal(r.Body, &request); err != nil {
		n.log.Warn().Err(err).Str("event", "config_pull_refused").Msg("malformed configuration request")
		return &h1.Response{Status: http.StatusBadRequest}
	}
	response, done, err := n.configServer.Respond(&request, time.Now())
	if err != nil {
		n.log.Error().Err(err).Str("event", "config_not_encoded").Send()
		return &h1.Response{Status: http.StatusInternalServerError}
	}
	data, err := cbor.Marshal(response)
	if err != nil {
		done(false)
		n.log.Error().Err(err).Str("event", "config_not_encoded").Send()
		return &h1.Response{Status: http.StatusInternalServerError}
	}
	return &h1.Response{Status: http.StatusOK, Body: &observedBody{Reader: bytes.NewReader(data), done: done}, ContentLength: int64(len(data))}
}

// observedReader calls progress after each read.
type observedReader struct {
	io.Reader
	progress func()
}

// Read reads from the reader below.
func (r *observedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 && r.progress != nil {
		r.progress()
	}
	return n, err
}

// observedBody is a response body that reports whether it was read to its end.
type observedBody struct {
	*bytes.Reader
	done func(sent bool)
}

// Close reports the end of the response.
func (b *observedBody) Close() error {
	b.done(b.Len() == 0)
	return nil
}

// pullConfig asks another node for its configuration.
func (n *Node) pullConfig(ctx context.Context, addr string, request *routefeed.PullRequest, progress func()) (*routefeed.PullResponse, error) {
	data, err := cbor.Marshal(request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	body, err := n.requestPeer(ctx, addr, targetConfig, data, peerObserver{progress: progress})
	if err != nil {
		return nil, errors.Trace(err)
	}
	n.recordPeerBytes("config_pull", n.domainOf(addr), len(data)+len(body))
	var response routefeed.PullResponse
	return &response, errors.Trace(cbor.Unmarshal(body, &response))
}

// peerObserver is told of the progress of a request to another node. Its functions
// may be nil.
type peerObserver struct {
	// firstResponse is called at the first byte of the response, see
	// h1.ClientRequest.OnFirstResponse.
	firstResponse func(elapsed time.Duration)
	// progress is called with each part of the body of the response.
	progress func()
}

// requestPeer sends one request to another node and returns the response body.
func (n *Node) requestPeer(ctx context.Context, addr, target string, body []byte, observer peerObserver) ([]byte, error) {
	response, err := n.peerPool.Do(ctx, addr, &h1.ClientRequest{
		Method: http.MethodPost, Target: target, Host: addr, Header: http.Header{}, Body: body, MaxIdleTime: n.peerPool.IdleTimeout,
		OnFirstResponse: observer.firstResponse,
	})
	if err != nil {
		// Idle connections to a node that does not respond are not reused.
		n.peerPool.CloseIdleConns(addr)
		return nil, errors.Annotatef(err, "request to %s", addr)
	}
	data, err := io.ReadAll(io.LimitReader(&observedReader{response.Body, observer.progress}, maxMessageBytes))
	_ = response.Body.Close()
	if err != nil {
		return nil, errors.Annotatef(err, "request to %s, %d bytes of the response received", addr, len(data))
	}
	if response.Status != http.StatusOK {
		return nil, errors.Errorf("request to %s: status %d", addr, response.Status)
	}
	return data, nil
}
