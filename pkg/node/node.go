// Package node builds a node from its settings: the board, its controllers and
// its listeners.
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
	headerTimeout  = 5 * time.Second
	readTimeout    = 30 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
	// backendConnections bounds the connections to the backend server.
	backendConnections = 200
)

// Node is one running node.
type Node struct {
	settings *settings.Node
	log      zerolog.Logger
	board    *board.Board
	peers    *peer.Transport
	executor *call.Executor
	keeper   *atmostonce.KeyController
	entry    *call.Entry

	controllers []control.Controller
	listeners   []listener
	scope       tally.Scope
	traffic     *metrics.TrafficMetrics
	metricsHTTP http.Handler
	metricsDone func() error
}

type listener struct {
	name   string
	socket net.Listener
	server *http.Server
	tls    bool
}

// New builds a node and binds its addresses. Run starts it.
func New(s *settings.Node, log zerolog.Logger) (*Node, error) {
	serverTLS, clientTLS, err := security.LoadPeerTLS(s.PeerTLS)
	if err != nil {
		return nil, errors.Trace(err)
	}
	peers, err := peer.Listen(s.PeerAddr, serverTLS, clientTLS, log)
	if err != nil {
		return nil, errors.Trace(err)
	}
	n := &Node{settings: s, log: log, board: board.New(board.InstanceID(s.Instance)), peers: peers}
	scope, metricsHTTP, closer := metrics.New(map[string]string{"node": s.Instance})
	n.scope, n.metricsHTTP, n.metricsDone = scope, metricsHTTP, closer.Close
	n.traffic = metrics.NewTrafficMetrics(scope, board.OutcomeNames())
	n.buildCallPath()
	n.buildControllers()
	if err := n.buildListeners(); err != nil {
		_ = peers.Close()
		return nil, errors.Trace(err)
	}
	return n, nil
}

// Board returns the node's board, for programs that embed the library.
func (n *Node) Board() *board.Board { return n.board }

// Entry returns the entry of the node, for programs that embed the library and
// have a front of their own.
func (n *Node) Entry() *call.Entry { return n.entry }

func (n *Node) buildCallPath() {
	n.executor = &call.Executor{
		Instance: board.InstanceID(n.settings.Instance), Incarnation: uint64(time.Now().UnixNano()),
		Board: n.board, Backend: backend.NewClient(backendConnections), Log: n.log,
		Metrics: n.traffic,
	}
	n.keeper = atmostonce.New(n.executor.Instance, n.executor.Incarnation, n.board, atmostonce.RemotePeers{Transport: n.peers}, n.log)
	n.executor.AtMostOnce = n.keeper
	n.entry = &call.Entry{
		Board: n.board, Peers: n.peers, LocalExecutor: n.executor, AtMostOnce: n.keeper,
		Log: logging.RateLimitInfo(n.log), Observer: metrics.NewCallMetrics(n.scope), Metrics: n.traffic,
	}
}

func (n *Node) buildControllers() {
	self := board.Member{
		Instance: n.executor.Instance, Incarnation: n.executor.Incarnation, Sequence: 1,
		Region: n.settings.Region, FailureDomain: n.settings.FailureDomain,
		PeerAddr: n.settings.AdvertisedPeerAddr, State: board.MemberJoining,
	}
	options := membership.Options{Self: self, SeedAddrs: n.settings.SeedAddrs, Peers: n.peers, Log: n.log}
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
		n.telemetry(),
		quarantine.New(n.board, n.log),
		n.keeper,
		budget.New(n.board),
		breaker.New(n.board, n.traffic, n.log),
		admission.New(n.board, n.traffic),
		probe.New(n.board, n.peers, n.traffic),
	}
	var epochStore epoch.Store
	if store != nil {
		epochStore = store
	}
	n.controllers = append(n.controllers, n.configSync(store),
		epoch.New(n.board, n.keeper, epochStore, n.executor.Instance, n.executor.Incarnation, n.log))
	n.board.RetiredTraffic.SetObserver(n.countRetired)
}

func (n *Node) handlers() map[wire.MessageType]peer.Handler {
	responder := &membership.Responder{Board: n.board, Peers: n.peers, Load: n.executor.LoadReport}
	handlers := responder.Handlers(n.peers)
	maps.Copy(handlers, n.keeper.Handlers(n.peers))
	handlers[wire.TypeCall] = n.executor.HandleCall
	handlers[wire.TypeConfigPull] = configsync.NewPullHandler(n.board, n.peers)
	probes := &probe.Responder{
		Board: n.board, Instance: n.executor.Instance, Incarnation: n.executor.Incarnation,
		Load: n.executor.LoadReport, Peers: n.peers, Traffic: n.traffic,
	}
	handlers[wire.TypeProbe] = probes.Handle
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
		{"operators", n.settings.OperatorAddr, opsapi.NewHandler(n.board, n.metricsHTTP, n.keeper), n.settings.OperatorTLS},
	}
	for _, l := range listeners {
		if err := n.listen(l.name, l.addr, l.handler, l.tls); err != nil {
			n.closeListeners()
			return errors.Trace(err)
		}
	}
	return nil
}

func (n *Node) listen(name, addr string, handler http.Handler, files security.TLSFiles) error {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout,
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
	socket, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Annotatef(err, "%s listener", name)
	}
	n.listeners = append(n.listeners, listener{name: name, socket: socket, server: server, tls: files.Cert != ""})
	return nil
}

func (n *Node) closeListeners() {
	for _, l := range n.listeners {
		_ = l.socket.Close()
	}
}

// Run serves until ctx ends, then stops gracefully: it drains, waits for the
// calls in flight and closes everything.
func (n *Node) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	controllersDone := control.Start(work, n.controllers...)
	failed := make(chan error, len(n.listeners)+1)
	go func() { failed <- n.peers.Serve(work, n.handlers()) }()
	for _, l := range n.listeners {
		go func() { failed <- serve(l) }()
	}
	n.log.Info().Str("callers", n.settings.CallerAddr).Str("peers", n.settings.PeerAddr).Msg("node started")
	var err error
	select {
	case <-ctx.Done():
		n.stop()
	case <-n.board.StopRequests.Events():
		n.stop()
	case err = <-failed:
	}
	n.closeListeners()
	cancel()
	<-controllersDone
	_ = n.metricsDone()
	if closeErr := n.peers.Close(); err == nil {
		err = closeErr
	}
	return errors.Trace(err)
}

func serve(l listener) error {
	if l.tls {
		return errors.Annotatef(l.server.ServeTLS(l.socket, "", ""), "%s listener", l.name)
	}
	return errors.Annotatef(l.server.Serve(l.socket), "%s listener", l.name)
}
