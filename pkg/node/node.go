// Package node builds and runs a node from its settings: the board, the controllers
// that read and write it, the request path and the listeners.
package node

import (
	"context"
	stdlog "log"
	"maps"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"mangostand.example/mangostand/pkg/atmostonce"
	"mangostand.example/mangostand/pkg/backend"
	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/call"
	"mangostand.example/mangostand/pkg/control"
	"mangostand.example/mangostand/pkg/control/admission"
	"mangostand.example/mangostand/pkg/control/announce"
	"mangostand.example/mangostand/pkg/control/breaker"
	"mangostand.example/mangostand/pkg/control/budget"
	"mangostand.example/mangostand/pkg/control/configsync"
	"mangostand.example/mangostand/pkg/control/epoch"
	"mangostand.example/mangostand/pkg/control/load"
	"mangostand.example/mangostand/pkg/control/membership"
	"mangostand.example/mangostand/pkg/control/probe"
	"mangostand.example/mangostand/pkg/control/quarantine"
	"mangostand.example/mangostand/pkg/control/routing"
	"mangostand.example/mangostand/pkg/httpfront"
	"mangostand.example/mangostand/pkg/localapi"
	"mangostand.example/mangostand/pkg/logging"
	"mangostand.example/mangostand/pkg/metrics"
	"mangostand.example/mangostand/pkg/opsapi"
	"mangostand.example/mangostand/pkg/peer"
	"mangostand.example/mangostand/pkg/security"
	"mangostand.example/mangostand/pkg/settings"
	"mangostand.example/mangostand/pkg/wire"
	"mangostand.example/mangostand/platform"
)

// Limits of the HTTP listeners.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
	// maxBackendConnections limits the connections to the backend server.
	maxBackendConnections = 200
)

// Node is a node of the load balancer. As an entry it accepts calls, and as an
// executor it executes calls on the local backend server.
type Node struct {
	settings      *settings.Node
	log           zerolog.Logger
	board         *board.Board
	peerTransport *peer.Transport
	executor      *call.Executor
	keyController *atmostonce.KeyController
	entry         *call.Entry

	controllers    []control.Controller
	listeners      []listener
	metricsScope   tally.Scope
	trafficMetrics *metrics.TrafficMetrics
	metricsHandler http.Handler
	closeMetrics   func() error
}

// listener is an HTTP listener of the node: for callers, for the local backend
// server, or for operators.
type listener struct {
	name        string
	netListener net.Listener
	server      *http.Server
	useTLS      bool
}

// New builds a node and binds its listeners. Run starts it.
func New(s *settings.Node, log zerolog.Logger) (*Node, error) {
	serverTLS, clientTLS, err := security.LoadPeerTLS(s.PeerTLS)
	if err != nil {
		return nil, errors.Trace(err)
	}
	peerTransport, err := peer.Listen(s.PeerAddr, serverTLS, clientTLS, log)
	if err != nil {
		return nil, errors.Trace(err)
	}
	n := &Node{settings: s, log: log, board: board.New(board.InstanceID(s.Instance)), peerTransport: peerTransport}
	metricsScope, metricsHandler, closer := metrics.New(map[string]string{"node": s.Instance})
	n.metricsScope, n.metricsHandler, n.closeMetrics = metricsScope, metricsHandler, closer.Close
	n.trafficMetrics = metrics.NewTrafficMetrics(metricsScope, board.OutcomeNames())
	n.buildCallPath()
	n.buildControllers()
	if err := n.buildListeners(); err != nil {
		_ = peerTransport.Close()
		return nil, errors.Trace(err)
	}
	return n, nil
}

// Board returns the board of the node, for programs that embed the node.
func (n *Node) Board() *board.Board { return n.board }

// Entry returns the entry of the node, for programs that embed the node and accept
// calls through a front end of their own.
func (n *Node) Entry() *call.Entry { return n.entry }

// buildCallPath builds the request path: the entry, the executor and the controller
// of the idempotency keys.
func (n *Node) buildCallPath() {
	n.executor = &call.Executor{
		Instance: board.InstanceID(n.settings.Instance), Incarnation: uint64(time.Now().UnixNano()),
		Board: n.board, Backend: backend.NewClient(maxBackendConnections), Log: n.log,
		Metrics: n.trafficMetrics,
	}
	n.keyController = atmostonce.New(n.executor.Instance, n.executor.Incarnation, n.board, atmostonce.RemotePeers{Transport: n.peerTransport}, n.log)
	n.executor.AtMostOnce = n.keyController
	n.entry = &call.Entry{
		Board: n.board, Peers: n.peerTransport, LocalExecutor: n.executor, AtMostOnce: n.keyController,
		Log: logging.RateLimitInfo(n.log), Observer: metrics.NewCallMetrics(n.metricsScope), Metrics: n.trafficMetrics,
	}
}

func (n *Node) buildControllers() {
	ownRecord := board.Member{
		Instance: n.executor.Instance, Incarnation: n.executor.Incarnation, Sequence: 1,
		Region: n.settings.Region, FailureDomain: n.settings.FailureDomain,
		PeerAddr: n.settings.AdvertisedPeerAddr, State: board.MemberJoining,
	}
	options := membership.Options{Self: ownRecord, SeedAddrs: n.settings.SeedAddrs, Peers: n.peerTransport, Log: n.log}
	var store *platform.Client
	if n.settings.StoreURL != "" {
		store = platform.NewClient(n.settings.StoreURL, platform.WithObserver(n.countStoreCall))
		options.Store = store
	}
	n.controllers = []control.Controller{
		announce.New(n.board, n.log),
		membership.New(n.board, options),
		load.New(n.board),
		routing.New(n.board, n.settings.FailureDomain),
		n.newTelemetry(),
		quarantine.New(n.board, n.log),
		n.keyController,
		n.executor.Backend,
		budget.New(n.board),
		breaker.New(n.board, n.trafficMetrics, n.log),
		admission.New(n.board, n.trafficMetrics),
		probe.New(n.board, n.peerTransport, n.trafficMetrics),
	}
	var epochStore epoch.Store
	if store != nil {
		epochStore = store
	}
	n.controllers = append(n.controllers, n.newConfigSync(store),
		epoch.New(n.board, n.keyController, epochStore, n.executor.Instance, n.executor.Incarnation, n.log))
	n.board.RetiredTraffic.SetObserver(n.countRetiredCall)
}

// peerHandlers returns the handler of each type of message from other nodes.
func (n *Node) peerHandlers() map[wire.MessageType]peer.Handler {
	membershipResponder := &membership.Responder{Board: n.board, Peers: n.peerTransport, Load: n.executor.LoadReport}
	handlers := membershipResponder.Handlers(n.peerTransport)
	maps.Copy(handlers, n.keyController.Handlers(n.peerTransport))
	handlers[wire.TypeCall] = n.executor.HandleCall
	handlers[wire.TypeConfigPull] = configsync.NewPullHandler(n.board, n.peerTransport)
	probeResponder := &probe.Responder{
		Board: n.board, Instance: n.executor.Instance, Incarnation: n.executor.Incarnation,
		Load: n.executor.LoadReport, Peers: n.peerTransport, Traffic: n.trafficMetrics,
	}
	handlers[wire.TypeProbe] = probeResponder.Handle
	return handlers
}

func (n *Node) buildListeners() error {
	listeners := []struct {
		name, addr string
		handler    http.Handler
		tls        security.TLSFiles
	}{
		{"callers", n.settings.CallerAddr, httpfront.NewHandler(n.entry), n.settings.CallerTLS},
		{"local", n.settings.LocalAPIAddr, localapi.Handler(n.board), security.TLSFiles{}},
		{"operators", n.settings.OperatorAddr, opsapi.NewHandler(n.board, n.metricsHandler, n.keyController), n.settings.OperatorTLS},
	}
	for _, l := range listeners {
		if err := n.addListener(l.name, l.addr, l.handler, l.tls); err != nil {
			n.closeListeners()
			return errors.Trace(err)
		}
	}
	return nil
}

func (n *Node) addListener(name, addr string, handler http.Handler, files security.TLSFiles) error {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: stdlog.New(n.log.With().Str("listener", name).Logger(), "", 0),
	}
	server.Protocols = new(http.Protocols)
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetHTTP2(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	if files.Cert != "" {
		config, err := security.LoadServerTLS(files)
		if err != nil {
			return errors.Annotatef(err, "%s listener", name)
		}
		server.TLSConfig = config
	}
	netListener, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Annotatef(err, "%s listener", name)
	}
	n.listeners = append(n.listeners, listener{name: name, netListener: netListener, server: server, useTLS: files.Cert != ""})
	return nil
}

func (n *Node) closeListeners() {
	for _, l := range n.listeners {
		_ = l.netListener.Close()
	}
}

// Run serves until ctx ends or an operator requests a stop. Then it drains the node,
// waits for the calls in flight and closes all listeners. It also returns when a
// listener fails.
func (n *Node) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	controllersDone := control.Start(runCtx, n.log, n.controllers...)
	serveErrs := make(chan error, len(n.listeners)+1)
	go func() { serveErrs <- n.peerTransport.Serve(runCtx, n.peerHandlers()) }()
	for _, l := range n.listeners {
		go func() { serveErrs <- serve(l) }()
	}
	n.log.Info().Str("callers", n.settings.CallerAddr).Str("peers", n.settings.PeerAddr).Msg("node started")
	var err error
	select {
	case <-ctx.Done():
		n.stopGracefully()
	case <-n.board.StopRequests.Events():
		n.stopGracefully()
	case err = <-serveErrs:
	}
	n.closeListeners()
	cancel()
	<-controllersDone
	_ = n.closeMetrics()
	if closeErr := n.peerTransport.Close(); err == nil {
		err = closeErr
	}
	return errors.Trace(err)
}

func serve(l listener) error {
	if l.useTLS {
		return errors.Annotatef(l.server.ServeTLS(l.netListener, "", ""), "%s listener", l.name)
	}
	return errors.Annotatef(l.server.Serve(l.netListener), "%s listener", l.name)
}
