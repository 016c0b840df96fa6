// Package meshnode builds a node for the users' platform from its settings: the
// board, its controllers and its listeners.
package meshnode

import (
	"context"
	stdlog "log"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/control"
	"mangostand.example/mangostand/pkg/control/directory"
	"mangostand.example/mangostand/pkg/control/ownserver"
	"mangostand.example/mangostand/pkg/control/pulse"
	"mangostand.example/mangostand/pkg/control/quarantine"
	"mangostand.example/mangostand/pkg/control/registration"
	"mangostand.example/mangostand/pkg/control/routefeed"
	"mangostand.example/mangostand/pkg/decide/attempts"
	"mangostand.example/mangostand/pkg/decide/pacing"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/h1"
	"mangostand.example/mangostand/pkg/logging"
	"mangostand.example/mangostand/pkg/mesh"
	"mangostand.example/mangostand/pkg/metrics"
	"mangostand.example/mangostand/pkg/settings"
	"mangostand.example/mangostand/platform"
)

const (
	// storeTimeout bounds a call of the store, which answers in milliseconds; a
	// slow store takes some hundred.
	storeTimeout = 900 * time.Millisecond
	// dialTimeout bounds a new connection to a node or a backend server.
	dialTimeout = 500 * time.Millisecond
	// peerUserTimeout ends connections between nodes that went silent.
	peerUserTimeout = 1500 * time.Millisecond
	// peerIdle and serverIdle bound the life of idle connections.
	peerIdle   = 30 * time.Second
	serverIdle = 8 * time.Second
	// peerHeaderBytes bounds the header between nodes: that of the caller and
	// one of our own.
	peerHeaderBytes = 256 << 10
	// announceWait bounds the wait for an announcement to be in force. Backend
	// servers wait a second for the answer.
	announceWait = 800 * time.Millisecond
	// sweepEvery spaces the closing of old idle connections.
	sweepEvery = time.Second
	// memoryShare is the share of the memory limit at which the garbage
	// collector works harder.
	memoryShare = 0.6
)

// Node is one running node.
type Node struct {
	settings *settings.Mesh
	log      zerolog.Logger
	board    *board.MeshBoard
	stopping *board.Writer[*board.ShutdownState]

	peers    *h1.Pool
	servers  *h1.Pool
	executor *mesh.Executor
	entry    *mesh.Entry

	callers     *h1.Server
	peerServer  *h1.Server
	local       *http.Server
	readiness   *http.Server
	listeners   map[string]net.Listener
	controllers []control.Controller

	metricsHTTP http.Handler
	metricsDone func() error
}

// New builds a node and binds its addresses. Run starts it.
func New(s *settings.Mesh, log zerolog.Logger) (*Node, error) {
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory) * (1 << 20)))
	}
	n := &Node{settings: s, log: log, listeners: map[string]net.Listener{}}
	n.board = board.NewMeshBoard(board.NodeIdentity{
		Instance: board.InstanceID(s.Instance), Region: s.Region, FailureDomain: s.FailureDomain,
		Service: s.Service, PeerAddr: s.AdvertisePeers, ServerAddr: s.Server, LinkRate: pacing.UsableRate(s.LinkMbps),
	})
	n.stopping = n.board.Shutdown.Claim("meshnode")
	scope, handler, closer := metrics.New(map[string]string{"node": s.Instance})
	n.metricsHTTP, n.metricsDone = handler, closer.Close
	counters := metrics.NewMesh(scope)
	n.buildCallPath(counters)
	n.buildControllers(counters)
	n.buildServers()
	if err := n.bind(); err != nil {
		n.closeListeners()
		return nil, errors.Trace(err)
	}
	return n, nil
}

func (n *Node) buildCallPath(counters *metrics.Mesh) {
	n.peers = &h1.Pool{DialTimeout: dialTimeout, UserTimeout: peerUserTimeout, IdleTimeout: peerIdle}
	n.servers = &h1.Pool{DialTimeout: dialTimeout, IdleTimeout: serverIdle}
	requests := logging.Sampled(n.log)
	n.executor = &mesh.Executor{
		Board: n.board, Servers: n.servers, Codec: platform.Codec{}, Log: requests, Metrics: counters,
		DrainTime: n.settings.Bounds.DrainTime,
	}
	n.entry = &mesh.Entry{
		Board: n.board, Peers: n.peers, LocalExecutor: n.executor, Codec: platform.Codec{}, Log: requests, Metrics: counters,
		AttemptLimit: n.attempts(), AttemptWindow: n.settings.Bounds.AttemptWindow,
	}
}

// attemptShare is the share of the allowed additional attempts that is used.
// Nodes do not see the attempts of each other.
const attemptShare = 0.8

func (n *Node) attempts() attempts.Limit {
	return attempts.Limit{
		Ratio: attemptShare * n.settings.Bounds.AttemptRatio, Slack: attemptShare * n.settings.Bounds.AttemptSlack,
	}
}

func (n *Node) buildControllers(counters *metrics.Mesh) {
	store := platform.NewClient(n.settings.Store, platform.WithTimeout(storeTimeout),
		platform.WithObserver(func(kind platform.Operation, result platform.Result) {
			counters.Count("store_calls", map[string]string{"kind": string(kind), "result": string(result)})
			n.log.Debug().Str("event", "store_call").Str("kind", string(kind)).Str("result", string(result)).Send()
		}))
	n.controllers = []control.Controller{
		ownserver.New(n.board, n.log),
		n.executor,
		directory.New(n.board, uint64(time.Now().UnixNano()), n.exchange, n.executor.LoadReport, n.log),
		quarantine.NewMeshController(n.board, dynconf.Default().Quarantine, n.log),
		registration.New(n.board, store, n.log),
		routefeed.New(n.board, store, n.pullTable, n.log),
		&pulse.Controller{
			Board: n.board, Servers: n.servers, Codec: platform.Codec{}, InFlight: n.executor.InFlight,
			OnLoadReport: n.executor.OnLoadReport, Log: n.log,
		},
		&sweeper{pools: []*h1.Pool{n.peers, n.servers}},
	}
}

func (n *Node) buildServers() {
	n.callers = &h1.Server{Handler: n.entry.Handle, Limits: n.callerLimits, Log: n.log}
	n.peerServer = &h1.Server{Handler: n.handlePeer, Limits: n.peerLimits, Held: true, Log: n.log}
	errorLog := stdlog.New(n.log.With().Str("event", "http_error").Logger(), "", 0)
	announce := func(event board.ServerEvent) bool { return ownserver.AnnounceAndWait(n.board, event, announceWait) }
	n.local = &http.Server{
		Handler: platform.NewAnnouncementHandler(announce, n.log), ReadHeaderTimeout: time.Second, ErrorLog: errorLog,
	}
	n.readiness = &http.Server{
		Handler: platform.NewReadinessHandler(n.ready, n.metricsHTTP), ReadHeaderTimeout: time.Second, ErrorLog: errorLog,
	}
}

func (n *Node) callerLimits() h1.Limits {
	l := n.board.Routes.Load().Limits
	return h1.Limits{HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

func (n *Node) peerLimits() h1.Limits {
	l := n.callerLimits()
	l.HeaderBytes = peerHeaderBytes
	l.BodyBytes = max(l.BodyBytes, maxMessage)
	l.IdleTimeout = 2 * peerIdle
	return l
}

// ready reports whether callers are to be sent to this node.
func (n *Node) ready() bool {
	return n.board.Routes.Load().Version > 0 && !n.board.Shutdown.Load().Requested
}

func (n *Node) bind() error {
	for name, addr := range map[string]string{
		"callers": n.settings.Callers, "peers": n.settings.Peers, "local": n.settings.Local, "readiness": n.settings.Readiness,
	} {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return errors.Annotatef(err, "%s listener", name)
		}
		n.listeners[name] = l
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, l := range n.listeners {
		_ = l.Close()
	}
}

// Run serves until ctx ends, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	controllersDone := control.Start(work, n.controllers...)
	failed := make(chan error, len(n.listeners))
	go func() { failed <- n.callers.Serve(n.listeners["callers"]) }()
	go func() { failed <- n.peerServer.Serve(n.listeners["peers"]) }()
	go func() { failed <- serveHTTP(n.local, n.listeners["local"]) }()
	go func() { failed <- serveHTTP(n.readiness, n.listeners["readiness"]) }()
	n.log.Info().Str("event", "start").Str("callers", n.settings.Callers).Str("peers", n.settings.Peers).
		Str("service", n.settings.Service).Str("store", n.settings.Store).Send()
	var err error
	select {
	case <-ctx.Done():
		n.stop()
	case err = <-failed:
	}
	cancel()
	<-controllersDone
	n.closeListeners()
	_ = n.metricsDone()
	n.log.Info().Str("event", "stop").Int("unanswered", n.entry.InFlight()+n.executor.InFlight()).Send()
	return errors.Trace(err)
}

func serveHTTP(server *http.Server, l net.Listener) error {
	err := server.Serve(l)
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Trace(err)
}

// sweeper closes old idle connections.
type sweeper struct{ pools []*h1.Pool }

// Name returns the name of the controller.
func (s *sweeper) Name() string { return "sweeper" }

// Run sweeps until ctx ends.
func (s *sweeper) Run(ctx context.Context) {
	control.Every(ctx, sweepEvery, func(now time.Time) {
		for _, pool := range s.pools {
			pool.Sweep(now)
		}
	})
}
