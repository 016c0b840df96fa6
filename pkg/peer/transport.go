// Package peer carries messages between nodes over QUIC with mutual TLS. One
// UDP socket serves incoming and outgoing connections; each exchange uses a
// stream of its own.
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

	"mangostand.example/mangostand/pkg/wire"
)

const (
	// handshakeTimeout bounds the set-up of a connection; a dead instance
	// must not hold a call for longer.
	handshakeTimeout = time.Second
	// idleTimeout closes connections that carry nothing. There are no keep-alive
	// packets: they held every connection that was ever opened, so that the cost
	// of a node grew with the fleet. Ring neighbours are pinged far more often.
	idleTimeout = 30 * time.Second
	// maxIncomingStreams bounds the exchanges that one peer may have open.
	maxIncomingStreams = 4096
	// firstFrameTimeout bounds the wait for the first frame of a stream.
	firstFrameTimeout = 2 * time.Second
)

// Application error codes sent to a peer.
const (
	codeShutdown quic.ApplicationErrorCode = 0
	codeRefused  quic.StreamErrorCode      = 1
	codeAborted  quic.StreamErrorCode      = 2
)

// Stream is one exchange with a peer.
type Stream struct {
	*quic.Stream
	// question is the type of the message that started the exchange.
	question wire.MessageType
}

// Abort tells the peer that the exchange failed in both directions.
func (s *Stream) Abort() {
	s.CancelRead(codeAborted)
	s.CancelWrite(codeAborted)
}

// Handler answers one exchange. The context ends when the peer cancels the
// stream or the connection is lost. The transport closes the stream after the
// handler returns.
type Handler func(ctx context.Context, frame wire.Frame, stream *Stream) error

// Transport is the node's end of all connections with other nodes. Any
// goroutine may open streams.
type Transport struct {
	quic      *quic.Transport
	listener  *quic.Listener
	clientTLS *tls.Config
	log       zerolog.Logger
	handlers  atomic.Pointer[map[wire.MessageType]Handler]

	// Traffic counts the exchanges of this node, calls excepted.
	Traffic Traffic
	meter   meter

	connections sync.Map // of address string to *connection
	// refreshes says when the connection to an address was replaced last.
	refreshes sync.Map // of address string to time.Time
}

type connection struct {
	ready chan struct{}
	conn  *quic.Conn
	err   error
}

// Listen binds the UDP address and starts accepting connections.
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
	return &Transport{quic: transport, listener: listener, clientTLS: client, log: log}, nil
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

// Serve accepts connections and passes each exchange to the handler of its
// first frame's type. It returns when ctx ends or the transport is closed.
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
	t.meter.opened(conn)
	defer t.meter.closed(conn)
	for {
		stream, err := conn.AcceptStream(conn.Context())
		if err != nil {
			return
		}
		go t.serveStream(&Stream{Stream: stream})
	}
}

func (t *Transport) serveStream(stream *Stream) {
	_ = stream.SetReadDeadline(time.Now().Add(firstFrameTimeout))
	frame, err := wire.ReadFrame(stream)
	if err != nil {
		t.log.Debug().Err(err).Msg("refused a stream from a peer")
		stream.CancelRead(codeRefused)
		stream.CancelWrite(codeRefused)
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	stream.question = frame.Type
	handler, ok := (*t.handlers.Load())[frame.Type]
	if !ok {
		t.log.Debug().Uint8("type", uint8(frame.Type)).Msg("no handler for message from a peer")
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

// OpenStream starts an exchange with the node at addr. It dials when there is no
// connection yet; concurrent callers share one dial.
func (t *Transport) OpenStream(ctx context.Context, addr string) (*Stream, error) {
	c, err := t.connect(ctx, addr)
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

// connect returns the shared connection to addr. The path of a request takes
// the lock-free branch; the lock only orders dials.
func (t *Transport) connect(ctx context.Context, addr string) (*connection, error) {
	if c, ok := t.connections.Load(addr); ok {
		return t.await(ctx, addr, c.(*connection))
	}
	fresh := &connection{ready: make(chan struct{})}
	actual, loaded := t.connections.LoadOrStore(addr, fresh)
	if !loaded {
		go t.dial(addr, fresh)
	}
	return t.await(ctx, addr, actual.(*connection))
}

func (t *Transport) await(ctx context.Context, addr string, c *connection) (*connection, error) {
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
		c.conn, err = t.quic.Dial(ctx, udpAddr, t.clientTLS, quicConfig())
	}
	if err != nil {
		c.err = err
		t.connections.CompareAndDelete(addr, c)
		return
	}
	t.meter.opened(c.conn)
	context.AfterFunc(c.conn.Context(), func() {
		t.meter.closed(c.conn)
		t.connections.CompareAndDelete(addr, c)
	})
}

// Exchange sends a message and reads the answer. Both count in Traffic.
func (t *Transport) Exchange(ctx context.Context, addr string, send wire.MessageType, message any, receive wire.MessageType, answer any) error {
	stream, err := t.OpenStream(ctx, addr)
	if err != nil {
		return errors.Trace(err)
	}
	stop := context.AfterFunc(ctx, stream.Abort)
	defer stop()
	counted := countedStream{stream: stream, traffic: &t.Traffic, class: classOf(send), message: send}
	if err := wire.WriteMessage(counted, send, message); err != nil {
		stream.Abort()
		return errors.Trace(err)
	}
	_ = stream.Close()
	counted.message = receive
	if err := wire.ReadMessage(counted, receive, answer); err != nil {
		stream.CancelRead(codeAborted)
		return errors.Annotatef(err, "exchange with %s", addr)
	}
	stream.CancelRead(codeAborted)
	return nil
}

// Respond sends the answer of an exchange and counts it.
func (t *Transport) Respond(stream *Stream, send wire.MessageType, message any) error {
	counted := countedStream{stream: stream, traffic: &t.Traffic, class: classOf(stream.question), message: send}
	return wire.WriteMessage(counted, send, message)
}

// CountReceived adds the received question of an exchange to the count.
func (t *Transport) CountReceived(frame wire.Frame) {
	t.Traffic.received(classOf(frame.Type), frame.Type, frame.Size())
}

// Close ends all connections and frees the socket.
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
	if closeErr := t.quic.Close(); err == nil {
		err = closeErr
	}
	_ = t.quic.Conn.Close()
	return errors.Trace(err)
}
