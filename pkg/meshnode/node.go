// Package meshnode assembles a node for the users' platform from its
// settings: the board, its controllers and its listeners.
package meshnode

import (
	"context"
	stdlog "log"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/control"
	"mangostand.example/mangostand/pkg/control/directory"
	"mangostand.example/mangostand/pkg/control/evacuation"
	"mangostand.example/mangostand/pkg/control/healthcheck"
	"mangostand.example/mangostand/pkg/control/largestcustomers"
	"mangostand.example/mangostand/pkg/control/localserver"
	"mangostand.example/mangostand/pkg/control/quarantine"
	"mangostand.example/mangostand/pkg/control/quota"
	"mangostand.example/mangostand/pkg/control/registration"
	"mangostand.example/mangostand/pkg/control/routefeed"
	"mangostand.example/mangostand/pkg/control/stopnotice"
	"mangostand.example/mangostand/pkg/decide/attempts"
	"mangostand.example/mangostand/pkg/decide/bodies"
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
	// storeTimeout bounds a request to the store, which responds within a few
	// milliseconds, or within a few hundred milliseconds when it is slow.
	storeTimeout = 900 * time.Millisecond
	// dialTimeout bounds the time to connect to a node or a backend server.
	dialTimeout = 500 * time.Millisecond
	// peerUserTimeout is the TCP user timeout of connections between nodes: it
	// closes connections to nodes that no longer acknowledge data.
	peerUserTimeout = 1500 * time.Millisecond
	// peerIdleTimeout and serverIdleTimeout close idle connections to nodes and
	// to the backend server.
	peerIdleTimeout   = 30 * time.Second
	serverIdleTimeout = 8 * time.Second
	// localIdleTimeout closes idle connections of the backend server and of the
	// platform's readiness check, both of which call about once a second.
	localIdleTimeout = 30 * time.Second
	// localReadTimeout and localWriteTimeout bound one of their requests, which is a few
	// hundred bytes, and its response, of which the metrics are the largest.
	localReadTimeout  = 2 * time.Second
	localWriteTimeout = 5 * time.Second
	// defaultDescriptors is assumed when the descriptor limit is not known.
	defaultDescriptors = 1024
	// maxPeerHeaderBytes bounds the header of requests between nodes: the caller's
	// header and the hop header. maxHopHeaderBytes is the part of the latter.
	maxPeerHeaderBytes = 256 << 10
	maxHopHeaderBytes  = 4 << 10
	// announceTimeout bounds the wait until an announcement is applied. Backend
	// servers wait one second for the response.
	announceTimeout = 800 * time.Millisecond
	// sweepInterval is the interval at which expired idle connections are
	// closed.
	sweepInterval = time.Second
	// memoryLimitShare is the share of the configured memory limit that is set
	// as the soft limit of the Go runtime. Near the soft limit the garbage
	// collector runs more often.
	memoryLimitShare = 0.6
)

// Node is one running node of the mesh.
type Node struct {
	settings       *settings.MeshNode
	log            zerolog.Logger
	board          *board.MeshBoard
	shutdownWriter *board.Writer[*board.ShutdownState]

	peerPool   *h1.Pool
	serverPool *h1.Pool
	executor   *mesh.Executor
	entry      *mesh.Entry
	// quotas applies the quotas of customers and answers the reports of other nodes.
	quotas *quota.Controller
	// configServer responds to pulls of the configuration.
	configServer *routefeed.Server
	metrics      *metrics.MeshMetrics

	callerServer    *h1.Server
	peerServer      *h1.Server
	announceServer  *http.Server
	readinessServer *http.Server
	listeners       map[string]net.Listener
	controllers     []control.Controller

	metricsHandler http.Handler
	closeMetrics   func() error
}

// New assembles a node and binds its listeners. Run starts it.
func New(s *settings.MeshNode, log zerolog.Logger) (*Node, error) {
	if s.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryLimitMB) * (1 << 20)))
	}
	n := &Node{settings: s, log: log, listeners: map[string]net.Listener{}}
	n.board = board.NewMeshBoard(board.NodeIdentity{
		Instance: board.InstanceID(s.Instance), Region: s.Region, FailureDomain: s.FailureDomain,
		Service: s.Service, PeerAddr: s.AdvertisedPeerAddr, ServerAddr: s.BackendAddr, LinkRate: pacing.UsableRate(s.LinkMbps),
	})
	n.board.ConfigProven.Required = s.PlatformLimits.StrictRevocation
	n.shutdownWriter = n.board.Shutdown.Claim("meshnode")
	scope, handler, closer := metrics.New(map[string]string{"node": s.Instance})
	n.metricsHandler, n.closeMetrics = handler, closer.Close
	counters := metrics.NewMeshMetrics(scope)
	n.metrics = counters
	n.buildCallPath(counters)
	n.buildControllers(counters)
	n.buildServers()
	if err := n.bind(); err != nil {
		n.closeListeners()
		return nil, errors.Trace(err)
	}
	return n, nil
}

func (n *Node) buildCallPath(counters *metrics.MeshMetrics) {
	n.peerPool = &h1.Pool{
		DialTimeout: dialTimeout, UserTimeout: peerUserTimeout, IdleTimeout: peerIdleTimeout,
		MaxHeaderBytes: n.settings.MaxResponseHeaderBytes + maxHopHeaderBytes, MaxBodyBytes: max(int64(n.settings.MaxResponseBodyBytes), maxMessageBytes),
	}
	n.serverPool = &h1.Pool{
		DialTimeout: dialTimeout, IdleTimeout: serverIdleTimeout,
		MaxHeaderBytes: n.settings.MaxResponseHeaderBytes, MaxBodyBytes: int64(n.settings.MaxResponseBodyBytes),
	}
	requestLog := logging.RateLimitInfo(n.log)
	n.executor = &mesh.Executor{
		Board: n.board, Servers: n.serverPool, Codec: platform.Codec{}, Log: requestLog, Metrics: counters,
		DrainTime: n.settings.PlatformLimits.DrainTime, EvacuationTime: n.settings.PlatformLimits.EvacuationTime,
		WarmupOvershoot: n.settings.PlatformLimits.WarmupOvershoot, WarmupSlack: n.settings.PlatformLimits.WarmupSlack, StartedAt: time.Now(),
	}
	n.entry = &mesh.Entry{
		Board: n.board, Peers: n.peerPool, LocalExecutor: n.executor, Codec: platform.Codec{}, Log: requestLog, Metrics: counters,
		AttemptLimit: n.attemptLimit(), AttemptWindow: n.settings.PlatformLimits.AttemptWindow,
		RevocationTime: n.strictRevocationTime(), CrossDomainTimePerMB: n.settings.CrossDomainTimePerMB,
	}
}

// strictRevocationTime returns the time in which a withdrawn API key has to be void on
// every node, 0 if nodes without contact to the store may accept it for longer.
func (n *Node) strictRevocationTime() time.Duration {
	if !n.settings.PlatformLimits.StrictRevocation {
		return 0
	}
	return n.settings.PlatformLimits.RevocationTime
}

// attemptShare is the share of the configured limit on additional attempts
// that the nodes use. The rest is a margin, since nodes do not see each other's
// attempts.
const attemptShare = 0.8

func (n *Node) attemptLimit() attempts.Limit {
	return attempts.Limit{
		Ratio: attemptShare * n.settings.PlatformLimits.AttemptRatio, Slack: attemptShare * n.settings.PlatformLimits.AttemptSlack,
	}
}

func (n *Node) buildControllers(counters *metrics.MeshMetrics) {
	store := platform.NewClient(n.settings.StoreURL, platform.WithTimeout(storeTimeout),
		platform.WithObserver(func(kind platform.Operation, result platform.Result) {
			counters.IncrementCounter("store_calls", map[string]string{"kind": string(kind), "result": string(result)})
			n.log.Debug().Str("event", "store_call").Str("kind", string(kind)).Str("result", string(result)).Send()
		}))
	n.quotas = quota.New(n.board, n.quotaLimits(), rand.Uint32()|1, n.reportQuota, counters, n.log)
	n.controllers = []control.Controller{
		localserver.New(n.board, n.log),
		n.executor,
		directory.New(n.board, uint64(time.Now().UnixNano()), n.exchange, n.executor.LoadReport, n.log),
		largestcustomers.New(n.board, n.log),
		evacuation.New(n.board, counters, n.log),
		quarantine.NewMeshController(n.board, dynconf.Default().Quarantine, n.log),
		registration.New(n.board, store, n.settings.Bootstrap, n.log),
		routefeed.New(n.board, store, n.pullConfig, routefeed.Options{Bootstrap: n.settings.Bootstrap, RevocationTime: n.strictRevocationTime()}, counters, n.log),
		&healthcheck.Controller{
			Board: n.board, Servers: n.serverPool, Codec: platform.Codec{}, InFlight: n.executor.InFlight,
			OnLoadReport: n.executor.OnHealthReport, OnWarmup: n.executor.OnWarmup,
			NeedsReport: n.executor.NeedsHealthReport, Reserve: n.executor.ReserveForHealthCheck, Log: n.log,
		},
		n.quotas,
		stopnotice.New(n.board, n.sendStopNotice, n.log),
		&idleConnSweeper{pools: []*h1.Pool{n.peerPool, n.serverPool}},
	}
}

func (n *Node) buildServers() {
	n.configServer = &routefeed.Server{Board: n.board}
	descriptors := n.descriptorLimit()
	n.board.HeldBodies.Bound = bodies.Bound(n.settings.MaxHeldBodiesMB, n.settings.MemoryLimitMB)
	n.callerServer = &h1.Server{
		Bodies: n.board.HeldBodies, RefuseBody: n.entry.RefuseBody,
		Handler: n.entry.Handle, Limits: n.callerLimits, IdleTimeout: n.callerIdleTimeout,
		MaxConns: int(callerConnShare * float64(descriptors)), Log: n.log,
	}
	n.peerServer = &h1.Server{
		Bodies:  n.board.HeldBodies,
		Handler: n.handlePeer, Limits: n.peerLimits, IdleTimeout: func(time.Time) time.Duration { return 2 * peerIdleTimeout },
		MaxConns: int(peerConnShare * float64(descriptors)), ManualContinue: true, Log: n.log,
	}
	errorLog := stdlog.New(n.log.With().Str("event", "http_error").Logger(), "", 0)
	announce := func(event board.ServerEvent) bool {
		return localserver.AnnounceAndWait(n.board, event, announceTimeout)
	}
	n.announceServer = newLocalServer(platform.NewAnnouncementHandler(announce, n.log), errorLog)
	n.readinessServer = newLocalServer(platform.NewReadinessHandler(n.ready, n.metricsHandler), errorLog)
}

// newLocalServer returns a server for the backend server and the readiness check.
func newLocalServer(handler http.Handler, errorLog *stdlog.Logger) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: time.Second, ReadTimeout: localReadTimeout, WriteTimeout: localWriteTimeout,
		IdleTimeout: localIdleTimeout, ErrorLog: errorLog,
	}
}

func (n *Node) callerLimits() h1.Limits {
	l := n.board.Routes.Load().Limits
	return h1.Limits{MaxHeaderBytes: l.MaxHeaderBytes, MaxBodyBytes: l.MaxBodyBytes, ReadHeaderTimeout: l.HeaderTimeout}
}

// callerIdleTimeout returns how long a caller's connection that has been idle since
// a time may stay open.
func (n *Node) callerIdleTimeout(since time.Time) time.Duration {
	return n.board.IdleTimeouts.Load().LongestSince(since)
}

func (n *Node) peerLimits() h1.Limits {
	l := n.callerLimits()
	l.MaxHeaderBytes = maxPeerHeaderBytes
	l.MaxBodyBytes = max(l.MaxBodyBytes, maxMessageBytes)
	return l
}

const (
	// callerConnShare and peerConnShare are the shares of the descriptor limit that
	// open connections of callers and from other nodes may take. The rest is for
	// connections to nodes, to the backend server and to the store.
	callerConnShare = 0.4
	peerConnShare   = 0.35
)

// descriptorLimit returns how many descriptors the process may have open.
func (n *Node) descriptorLimit() int {
	if n.settings.MaxDescriptors > 0 {
		return n.settings.MaxDescriptors
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		n.log.Warn().Err(err).Str("event", "descriptor_limit_unknown").Int("assumed", defaultDescriptors).Send()
		return defaultDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// ready reports whether the platform may send callers to this node.
func (n *Node) ready() bool {
	return n.board.Routes.Load().Version > 0 && !n.board.Shutdown.Load().Requested
}

func (n *Node) bind() error {
	for name, addr := range map[string]string{
		"callers": n.settings.CallerAddr, "peers": n.settings.PeerAddr, "local": n.settings.AnnounceAddr, "readiness": n.settings.ReadinessAddr,
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

// Run serves until ctx ends, then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	controllersDone := control.Start(workCtx, n.log, n.controllers...)
	failed := make(chan error, len(n.listeners))
	go func() { failed <- n.callerServer.Serve(n.listeners["callers"]) }()
	go func() { failed <- n.peerServer.Serve(n.listeners["peers"]) }()
	go func() { failed <- serveHTTP(n.announceServer, n.listeners["local"]) }()
	go func() { failed <- serveHTTP(n.readinessServer, n.listeners["readiness"]) }()
	n.log.Info().Str("event", "start").Str("callers", n.settings.CallerAddr).Str("peers", n.settings.PeerAddr).
		Str("service", n.settings.Service).Str("store", n.settings.StoreURL).Send()
	var err error
	select {
	case <-ctx.Done():
		n.stop()
	case err = <-failed:
	}
	cancel()
	<-controllersDone
	n.closeListeners()
	_ = n.closeMetrics()
	n.log.Info().Str("event", "stop").Int("unanswered", n.entry.InFlight()+n.executor.InFlight()).
		Int("callers", n.entry.InFlight()).Int("running", n.executor.Running()).Int("queued", n.executor.Queued()).Send()
	return errors.Trace(err)
}

// serveHTTP serves until the listener or the server is closed.
func serveHTTP(server *http.Server, l net.Listener) error {
	err := server.Serve(l)
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Trace(err)
}

// idleConnSweeper closes expired idle connections.
type idleConnSweeper struct{ pools []*h1.Pool }

// Name returns the controller name.
func (s *idleConnSweeper) Name() string { return "sweeper" }

// Run closes expired connections until ctx ends.
func (s *idleConnSweeper) Run(ctx context.Context) {
	control.Every(ctx, sweepInterval, func(now time.Time) {
		for _, pool := range s.pools {
			pool.SweepIdleConns(now)
		}
	})
}
