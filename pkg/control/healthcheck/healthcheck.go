// Package healthcheck sends health checks to the node's local backend server. They
// fetch its load while calls run and no recent response has reported it,
// discover a backend server that was started before the node, and find out
// whether a backend server has terminated after a connection to it was lost.
//
// The controller writes no section. It hands load reports to OnLoadReport and
// posts what it finds out about the backend server to the inbox of
// announcements.
package healthcheck

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/control"
	"mangostand.example/mangostand/pkg/h1"
	"mangostand.example/mangostand/pkg/mesh"
)

const (
	// busyInterval is the time between two checks of the age of the load report
	// while calls run. idleInterval applies after no call has run for idleAfter,
	// because each check wakes the process.
	busyInterval = 25 * time.Millisecond
	idleInterval = 100 * time.Millisecond
	// maxLoadAge is the age at which a load report is refreshed. The speed of the
	// hosts changes about every 500 ms.
	maxLoadAge = 100 * time.Millisecond
	// exactLoadAge is the age at which a load report is refreshed while it decides
	// whether the backend server hangs.
	exactLoadAge = 50 * time.Millisecond
	// maxWarmupAge is the age at which the warm-up is fetched again. With busyInterval, a
	// backend server that turns cold is seen within 100 ms.
	maxWarmupAge = 75 * time.Millisecond
	// idleAfter is the time without calls after which the load is not fetched.
	idleAfter = time.Second
	// healthCheckTimeout bounds a health check.
	healthCheckTimeout = 500 * time.Millisecond
	// discoveryInterval is the time between two health checks while no backend
	// server is known, or the known one is down or unconfirmed.
	discoveryInterval = 250 * time.Millisecond
	// livenessAttempts bounds the requests of a liveness check and
	// livenessRetryDelay is the pause between them. One request may not be enough
	// because a terminating process closes its sockets one by one.
	livenessAttempts   = 6
	livenessRetryDelay = 10 * time.Millisecond
	// minLivenessInterval is the shortest time between two liveness checks: a
	// faulty backend server may break many connections and keep running.
	minLivenessInterval = 250 * time.Millisecond
)

// Controller checks the health and liveness of the local backend server.
type Controller struct {
	Board   *board.MeshBoard
	Servers *h1.Pool
	Codec   mesh.Codec
	// InFlight returns the number of calls that run or are queued.
	InFlight func() int
	// OnLoadReport is called with each load report of the backend server.
	OnLoadReport func(board.ServerLoadReport)
	// OnWarmup, if set, is called when a backend server has reported how long it stays
	// cold. The backend server is the one that was known when the request was sent.
	OnWarmup func(*board.BackendServer, time.Duration)
	// NeedsReport, if set, reports whether the load has to be fetched although responses
	// to calls report it.
	NeedsReport func() bool
	// Reserve, if set, is called before each health check, which is sent only if it
	// returns true; release is called after it. A backend server that hangs when it is
	// full must have room for it.
	Reserve func() (release func(), ok bool)
	Log     zerolog.Logger

	// lastBusy is when calls were last seen in flight.
	lastBusy          time.Time
	lastHealthCheck   time.Time
	lastLivenessCheck time.Time
}

// Name implements control.Controller.
func (c *Controller) Name() string { return "pulse" }

// Run checks the backend server until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	timer := time.NewTimer(c.nextInterval(time.Now()))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case server := <-c.Board.SuspectedServers.Events():
			c.checkLiveness(ctx, time.Now(), server)
		case <-timer.C:
			c.tick(ctx, time.Now())
			timer.Reset(c.nextInterval(time.Now()))
		}
	}
}

// nextInterval returns the time until the next tick.
func (c *Controller) nextInterval(now time.Time) time.Duration {
	if now.Sub(c.lastBusy) < idleAfter {
		return busyInterval
	}
	return idleInterval
}

// tick sends a health check if one is due: to discover the backend server while
// it is unknown or down, or to fetch its load while calls run.
func (c *Controller) tick(ctx context.Context, now time.Time) {
	server := c.Board.LocalServer.Load()
	if c.InFlight() > 0 {
		c.lastBusy = now
	}
	switch {
	case server.ID == "" || server.Down || server.Unconfirmed:
		if now.Sub(c.lastHealthCheck) >= discoveryInterval {
			c.pollHealth(ctx, now, c.Board.Self.ServerAddr)
		}
	case server.State == board.ServerReady && now.Sub(c.lastBusy) < idleAfter && (c.loadStale(now) || c.warmupStale(now) || c.reportNeeded(now)):
		c.pollHealth(ctx, now, server.Addr)
	case server.State == board.ServerReady && c.lastHealthCheck.IsZero():
		// Calls of an earlier process of this node may still run there.
		c.pollHealth(ctx, now, server.Addr)
	}
}

// loadStale reports whether the load report is too old and no health check was
// sent recently.
func (c *Controller) loadStale(now time.Time) bool {
	report := c.Board.ServerLoad.LatestReport()
	return (report == nil || now.Sub(report.ReceivedAt) >= maxLoadAge) && now.Sub(c.lastHealthCheck) >= maxLoadAge
}

// reportNeeded reports whether a health check is due because the load that responses
// report is not exact enough.
func (c *Controller) reportNeeded(now time.Time) bool {
	return now.Sub(c.lastHealthCheck) >= exactLoadAge && c.NeedsReport != nil && c.NeedsReport()
}

// warmupStale reports whether a health check is due to find out whether the backend
// server has turned cold. Responses to calls need not say so.
func (c *Controller) warmupStale(now time.Time) bool {
	return c.warmupLimited() && now.Sub(c.lastHealthCheck) >= maxWarmupAge
}

// warmupLimited reports whether the configuration limits cold backend servers.
func (c *Controller) warmupLimited() bool {
	cluster := c.Board.Routes.Load().Clusters[c.Board.Self.Service]
	return cluster != nil && cluster.Warmup.Rate > 0
}

// healthPath returns the health path of the node's own service, "" when not
// known.
func (c *Controller) healthPath() string {
	cluster := c.Board.Routes.Load().Clusters[c.Board.Self.Service]
	if cluster == nil {
		return ""
	}
	return cluster.HealthPath
}

// pollHealth sends a health check if the health path and the address are known.
func (c *Controller) pollHealth(ctx context.Context, now time.Time, addr string) {
	path := c.healthPath()
	if path == "" || addr == "" {
		return
	}
	err := c.requestHealth(ctx, addr, path, c.Servers.IdleTimeout)
	if err == errNoSlot {
		return // the next tick tries again
	}
	c.lastHealthCheck = now
	if err != nil {
		c.Log.Debug().Err(err).Str("event", "health_failed").Str("addr", addr).Send()
		c.announceRefused(err, addr)
	}
}

// errNoSlot means that the backend server may be unable to queue a health check.
var errNoSlot = errors.New("no slot is free for a health check")

// requestHealth sends a health check on a connection that was idle for at most
// maxIdle, or on a new connection if maxIdle is 0.
func (c *Controller) requestHealth(ctx context.Context, addr, path string, maxIdle time.Duration) error {
	requestedAt, release := time.Now(), func() {}
	if c.Reserve != nil {
		var ok bool
		if release, ok = c.Reserve(); !ok {
			return errNoSlot
		}
	}
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	known := c.Board.LocalServer.Load()
	response, err := c.Servers.Do(ctx, addr, &h1.ClientRequest{
		Method: http.MethodGet, Target: path, Host: addr, Header: http.Header{}, MaxIdleTime: maxIdle,
	})
	release()
	if err != nil {
		return errors.Trace(err)
	}
	_ = response.Body.Close()
	metadata := c.Codec.ParseResponse(response.Status, response.Header)
	if metadata.Load != nil {
		metadata.Load.RequestedAt = requestedAt
		c.OnLoadReport(*metadata.Load)
	}
	if metadata.Warmup != nil && c.OnWarmup != nil && (metadata.ServerID == "" || metadata.ServerID == known.ID) {
		c.OnWarmup(known, *metadata.Warmup)
	}
	c.announceServer(response.Status, metadata, addr)
	return nil
}

// announceRefused announces that the backend server has ended if it refused a
// connection and is cold after its next start. Elsewhere the next call finds out.
func (c *Controller) announceRefused(err error, addr string) {
	server := c.Board.LocalServer.Load()
	var exchangeErr *h1.Error
	if c.warmupLimited() && errors.As(err, &exchangeErr) && exchangeErr.ConnRefused && server.ID != "" && server.Addr == addr && !server.Down {
		c.Board.Announcements.Post(board.ServerEvent{Kind: board.ServerEventUnreachable, Server: *server})
	}
}

// checkLiveness finds out whether the suspected incarnation of the backend server
// has terminated, after a connection to it was lost, and announces it as
// unreachable if so. New connections that are closed without a response prove
// that only while no call is in flight, because a backend server at full capacity
// resets connections as well.
func (c *Controller) checkLiveness(ctx context.Context, now time.Time, suspect board.BackendServer) {
	path := c.healthPath()
	if path == "" || now.Sub(c.lastLivenessCheck) < minLivenessInterval {
		return
	}
	c.lastLivenessCheck = now
	for range livenessAttempts {
		server := c.Board.LocalServer.Load()
		if server.ID != suspect.ID || server.StartMillis != suspect.StartMillis || server.Down {
			return
		}
		err := c.requestHealth(ctx, server.Addr, path, 0)
		inFlight := c.InFlight()
		terminated, certain := evaluateLiveness(err, inFlight)
		if terminated {
			c.Board.Announcements.Post(board.ServerEvent{Kind: board.ServerEventUnreachable, Server: *server})
		}
		c.Log.Info().AnErr("error", err).Str("event", "server_doubted").Str("server", server.ID).
			Bool("ended", terminated).Bool("certain", certain).Int("in_flight", inFlight).Send()
		if certain || !control.Sleep(ctx, livenessRetryDelay) {
			return
		}
	}
}

// evaluateLiveness decides from the result of a health check on a new connection
// whether the backend server has terminated, and whether that is certain.
func evaluateLiveness(err error, inFlight int) (terminated, certain bool) {
	var exchangeErr *h1.Error
	switch {
	case err == nil || !errors.As(err, &exchangeErr):
		return false, true
	case exchangeErr.ConnRefused, exchangeErr.ConnClosed && inFlight == 0:
		return true, true
	}
	return false, !exchangeErr.ConnClosed
}

// announceServer announces a healthy backend server that is not known yet or not
// confirmed, or that was down and responds again, and one that refuses before it is
// confirmed. A server without room for the check says nothing about its state.
func (c *Controller) announceServer(status int, metadata mesh.ResponseMetadata, addr string) {
	server := c.Board.LocalServer.Load()
	if status == http.StatusServiceUnavailable && !metadata.NotExecuted && (server.ID == "" || server.Unconfirmed) && !server.HealthRefused {
		c.Board.Announcements.Post(board.ServerEvent{Kind: board.ServerEventHealthRefused, Server: board.BackendServer{ID: metadata.ServerID}})
	}
	if status != http.StatusOK || metadata.ServerID == "" {
		return
	}
	if server.ID == metadata.ServerID && server.Down {
		c.Board.Announcements.Post(withWarmup(board.ServerEvent{Kind: board.ServerEventReachable, Server: *server}, metadata))
		return
	}
	if server.ID != "" && !server.Unconfirmed || metadata.Load == nil || metadata.Load.Slots <= 0 {
		return
	}
	c.Board.Announcements.Post(withWarmup(board.ServerEvent{Kind: board.ServerEventHealthResponse, Server: board.BackendServer{
		ID: metadata.ServerID, Service: c.Board.Self.Service, Addr: addr, Slots: metadata.Load.Slots, State: board.ServerReady,
	}}, metadata))
}

// withWarmup returns the event with the warm-up that the response reports, if any.
func withWarmup(event board.ServerEvent, metadata mesh.ResponseMetadata) board.ServerEvent {
	if metadata.Warmup != nil {
		event.Warmup, event.WarmupReported = *metadata.Warmup, true
	}
	return event
}
