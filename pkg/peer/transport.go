// Package peer carries the messages of package wire between nodes over QUIC with
// mutual TLS. One UDP socket serves incoming and outgoing connections. Each
// exchange, a request and its response, has a stream of its own.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/guard"
	"mangostand.example/mangostand/pkg/wire"
)

const (
	// handshakeTimeout is the time limit for opening a connection. A call must not
	// wait longer for a dead instance.
	handshakeTimeout = time.Second
	// idleTimeout closes connections without traffic. Keep-alive packets are off:
	// they would keep open every connection that was ever used, so that the cost of a
	// node would grow with the fleet. Neighbours on the membership ring are pinged far
	// more often than this, so their connections stay open.
	idleTimeout = 30 * time.Second
	// maxIncomingStreams is the largest number of concurrent exchanges that a peer
	// may open on a connection.
	maxIncomingStreams = 4096
	// firstFrameTimeout is the time limit for the first frame of a stream.
	firstFrameTimeout = 2 * time.Second
)

// QUIC error codes sent to a peer.
const (
	codeShutdown quic.ApplicationErrorCode = 0
	codeRefused  quic.StreamErrorCode      = 1
	codeAborted  quic.StreamErrorCode      = 2
)

// Stream is the QUIC stream of one exchange with a peer.
type Stream struct {
	*quic.Stream
	// requestType is the type of the request. It is set on incoming streams.
	requestType wire.MessageType
}

// Abort resets both directions of the stream, which tells the peer that the exchange
// failed.
func (s *Stream) Abort() {
	s.CancelRead(codeAborted)
	s.CancelWrite(codeAborted)
}

// Handler handles an incoming exchange: frame is the request, and the response goes
// to stream. The context ends when the peer cancels the stream or the connection is
// lost. The transport closes the stream after the handler returns, and aborts it
// when the handler returns an error.
type Handler func(ctx context.Context, frame wire.Frame, stream *Stream) error

// Transport is a node's end of the connections with other nodes. It is safe for
// concurrent use.
type Transport struct {
	quicTransport *quic.Transport
	listener      *quic.Listener
	clientTLS     *tls.Config
	log           zerolog.Logger
	handlers      atomic.Pointer[map[wire.MessageType]Handler]

	// Traffic counts the bytes of this node's exchanges except calls.
	Traffic   Traffic
	connStats connectionStats

	connections sync.Map // from address (string) to *connection
	// refreshedAt holds when the connection to an address was last replaced.
	refreshedAt sync.Map // from address (string) to time.Time
}

// connection is the shared outgoing connection to an address. conn and err are set
// before ready is closed.
type connection struct {
	ready chan struct{}
	conn  *quic.Conn
	err   error
}

// Listen binds the UDP address and starts to accept connections. Serve handles
// them.
func Listen(addr string, server, client *tls.Config, log zerolog.Logger) (*Transport, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, errors.Annotatef(err, "peer address %s", addr)
	}
	socket, err := net.ListenUDP("udp", udpAddr)
	if err != nil {
		return nil, errors.Annotate(err, "peer listener")
	}
	transport := &quic.Transport{Conn: socket}
	listener, err := transport.Listen(server, quicConfig())
	if err != nil {
		return nil, errors.Annotate(err, "peer listener")
	}
	return &Transport{quicTransport: transport, listener: listener, clientTLS: client, log: log}, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		MaxIncomingStreams:   maxIncomingStreams,
	}
}

// Addr returns the UDP address that the transport is bound to.
func (t *Transport) Addr() net.Addr { return t.listener.Addr() }

// Serve accepts connections and passes each exchange to the handler for the type of
// its first frame. It returns when ctx ends or the transport is closed.
func (t *Transport) Serve(ctx context.Context, handlers map[wire.MessageType]Handler) error {
	t.handlers.Store(&handlers)
	for {
		conn, err := t.listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Trace(err)
		}
		go t.serveConnection(conn)
	}
}

func (t *Transport) serveConnection(conn *quic.Conn) {
	t.connStats.connOpened(conn)
	defer t.connStats.connClosed(conn)
	for {
		stream, err := conn.AcceptStream(conn.Context())
		if err != nil {
			return
		}
		go t.serveStream(&Stream{Stream: stream})
	}
}

func (t *Transport) serveStream(stream *Stream) {
	defer guard.Recover(t.log, "peer stream", func() {
		stream.CancelRead(codeRefused)
		stream.CancelWrite(codeRefused)
	})
	_ = stream.SetReadDeadline(time.Now().Add(firstFrameTimeout))
	frame, err := wire.ReadFrame(stream)
	if err != nil {
		t.log.Debug().Err(err).Msg("refused a stream from a peer: no valid first frame")
		stream.CancelRead(codeRefused)
		stream.CancelWrite(codeRefused)
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	stream.requestType = frame.Type
	handler, ok := (*t.handlers.Load())[frame.Type]
	if !ok {
		t.log.Debug().Uint8("type", uint8(frame.Type)).Msg("refused a stream from a peer: no handler for the message type")
		stream.CancelRead(codeRefused)
		stream.CancelWrite(codeRefused)
		return
	}
	if err := handler(stream.Context(), frame, stream); err != nil {
		t.log.Debug().Err(err).Uint8("type", uint8(frame.Type)).Msg("exchange with a peer failed")
		stream.Abort()
		return
	}
	_ = stream.Close()
	stream.CancelRead(codeAborted)
}

// OpenStream opens a stream for an exchange with the node at addr. It dials when
// there is no connection; concurrent callers share one dial.
func (t *Transport) OpenStream(ctx context.Context, addr string) (*Stream, error) {
	c, err := t.connectionTo(ctx, addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	stream, err := c.conn.OpenStreamSync(ctx)
	if err != nil {
		if ctx.Err() == nil {
			t.connections.CompareAndDelete(addr, c)
		}
		return nil, errors.Annotatef(err, "opening a stream to %s", addr)
	}
	return &Stream{Stream: stream}, nil
}

// connectionTo returns the shared connection to addr and dials if there is none. A
// call over an existing connection needs only the lock-free Load; LoadOrStore makes
// concurrent callers share one dial.
func (t *Transport) connectionTo(ctx context.Context, addr string) (*connection, error) {
	if c, ok := t.connections.Load(addr); ok {
		return t.awaitReady(ctx, addr, c.(*connection))
	}
	newConn := &connection{ready: make(chan struct{})}
	actual, loaded := t.connections.LoadOrStore(addr, newConn)
	if !loaded {
		go t.dial(addr, newConn)
	}
	return t.awaitReady(ctx, addr, actual.(*connection))
}

func (t *Transport) awaitReady(ctx context.Context, addr string, c *connection) (*connection, error) {
	select {
	case <-c.ready:
	case <-ctx.Done():
		return nil, errors.Annotatef(ctx.Err(), "connecting to %s", addr)
	}
	if c.err != nil {
		return nil, errors.Annotatef(c.err, "connecting to %s", addr)
	}
	return c, nil
}

func (t *Transport) dial(addr string, c *connection) {
	defer close(c.ready)
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err == nil {
		c.conn, err = t.quicTransport.Dial(ctx, udpAddr, t.clientTLS, quicConfig())
	}
	if err != nil {
		c.err = err
		t.connections.CompareAndDelete(addr, c)
		return
	}
	t.connStats.connOpened(c.conn)
	context.AfterFunc(c.conn.Context(), func() {
		t.connStats.connClosed(c.conn)
		t.connections.CompareAndDelete(addr, c)
	})
}

// Exchange sends a request to the node at addr and reads the response into response.
// Both count in Traffic.
func (t *Transport) Exchange(ctx context.Context, addr string, requestType wire.MessageType, message any, responseType wire.MessageType, response any) error {
	stream, err := t.OpenStream(ctx, addr)
	if err != nil {
		return errors.Trace(err)
	}
	stop := context.AfterFunc(ctx, stream.Abort)
	defer stop()
	counting := countingStream{stream: stream, traffic: &t.Traffic, class: classOfRequest(requestType), message: requestType}
	if err := wire.WriteMessage(counting, requestType, message); err != nil {
		stream.Abort()
		return errors.Trace(err)
	}
	_ = stream.Close()
	counting.message = responseType
	if err := wire.ReadMessage(counting, responseType, response); err != nil {
		stream.CancelRead(codeAborted)
		return errors.Annotatef(err, "exchange with %s", addr)
	}
	stream.CancelRead(codeAborted)
	return nil
}

// Respond sends the response of an incoming exchange and counts it in Traffic.
func (t *Transport) Respond(stream *Stream, messageType wire.MessageType, message any) error {
	counting := countingStream{stream: stream, traffic: &t.Traffic, class: classOfRequest(stream.requestType), message: messageType}
	return wire.WriteMessage(counting, messageType, message)
}

// CountReceived counts the request of an incoming exchange in Traffic.
func (t *Transport) CountReceived(frame wire.Frame) {
	t.Traffic.addReceived(classOfRequest(frame.Type), frame.Type, frame.Size())
}

// Close closes all connections and the socket.
func (t *Transport) Close() error {
	t.connections.Range(func(_, v any) bool {
		c := v.(*connection)
		select {
		case <-c.ready:
			if c.conn != nil {
				_ = c.conn.CloseWithError(codeShutdown, "node stops")
			}
		default:
		}
		return true
	})
	err := t.listener.Close()
	if closeErr := t.quicTransport.Close(); err == nil {
		err = closeErr
	}
	_ = t.quicTransport.Conn.Close()
	return errors.Trace(err)
}
