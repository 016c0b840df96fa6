// Package pulse asks the backend server beside this node for its load while
// calls run and no answer has told it lately, finds a backend server that was
// running before the node, and finds out whether one has ended after a
// connection broke. It writes no section; the load goes to the
// board's Pulse, the findings to the inbox of announcements.
package pulse

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
	// busyInterval spaces the looks at the age of the load while calls run, and
	// quietInterval those while none has for quietAfter: each look wakes the
	// process.
	busyInterval = 25 * time.Millisecond
	idleInterval = 100 * time.Millisecond
	// maxLoadAge is the age up to which a load needs no question. Hosts change
	// their speed about every 500 ms.
	maxLoadAge = 100 * time.Millisecond
	// idleAfter is the time without calls after which no question is asked.
	idleAfter = time.Second
	// healthCheckTimeout bounds a question.
	healthCheckTimeout = 500 * time.Millisecond
	// discoveryInterval spaces the questions while no backend server is known.
	discoveryInterval = 250 * time.Millisecond
	// livenessAttempts and doubtPause bound the questions after a lost connection: a
	// dying process closes its sockets one by one.
	livenessAttempts   = 6
	livenessRetryDelay = 10 * time.Millisecond
	// minLivenessInterval spaces the doubts that are looked into: a faulty backend server
	// may break many connections and live on.
	minLivenessInterval = 250 * time.Millisecond
)

// Controller asks the backend server.
type Controller struct {
	Board   *board.MeshBoard
	Servers *h1.Pool
	Codec   mesh.Codec
	// InFlight returns the calls that run or wait.
	InFlight func() int
	// OnLoadReport takes a load report.
	OnLoadReport func(board.ServerLoadReport)
	Log          zerolog.Logger

	lastBusy          time.Time
	lastHealthCheck   time.Time
	lastLivenessCheck time.Time
}

// Name returns the name of the controller.
func (c *Controller) Name() string { return "pulse" }

// Run asks until ctx ends.
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

// nextInterval returns the time until the next look.
func (c *Controller) nextInterval(now time.Time) time.Duration {
	if now.Sub(c.lastBusy) < idleAfter {
		return busyInterval
	}
	return idleInterval
}

func (c *Controller) tick(ctx context.Context, now time.Time) {
	server := c.Board.LocalServer.Load()
	if c.InFlight() > 0 {
		c.lastBusy = now
	}
	switch {
	case server.ID == "" || server.Down:
		if now.Sub(c.lastHealthCheck) >= discoveryInterval {
			c.pollHealth(ctx, now, c.Board.Self.ServerAddr)
		}
	case server.State == board.ServerReady && now.Sub(c.lastBusy) < idleAfter && c.loadStale(now):
		c.pollHealth(ctx, now, server.Addr)
	}
}

func (c *Controller) loadStale(now time.Time) bool {
	pulse := c.Board.ServerLoad.LatestReport()
	return (pulse == nil || now.Sub(pulse.ReceivedAt) >= maxLoadAge) && now.Sub(c.lastHealthCheck) >= maxLoadAge
}

// healthPath returns the health path of the own service, "" when not known.
func (c *Controller) healthPath() string {
	cluster := c.Board.Routes.Load().Clusters[c.Board.Self.Service]
	if cluster == nil {
		return ""
	}
	return cluster.HealthPath
}

func (c *Controller) pollHealth(ctx context.Context, now time.Time, addr string) {
	path := c.healthPath()
	if path == "" || addr == "" {
		return
	}
	c.lastHealthCheck = now
	if err := c.requestHealth(ctx, addr, path, c.Servers.IdleTimeout); err != nil {
		c.Log.Debug().Err(err).Str("event", "health_failed").Str("addr", addr).Send()
	}
}

// requestHealth asks for the health on a connection that was idle for maxIdle at
// most, 0 for a new one.
func (c *Controller) requestHealth(ctx context.Context, addr, path string, maxIdle time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	got, err := c.Servers.Do(ctx, addr, &h1.Call{
		Method: http.MethodGet, Target: path, Host: addr, Header: http.Header{}, MaxIdle: maxIdle,
	})
	if err != nil {
		return errors.Trace(err)
	}
	_ = got.Body.Close()
	reading := c.Codec.Reading(got.Status, got.Header)
	if reading.Load != nil {
		c.OnLoadReport(*reading.Load)
	}
	c.announceServer(got.Status, reading, addr)
	return nil
}

// checkLiveness finds out whether a life of the backend server has ended after a
// connection broke. New connections that end without an answer prove it only
// while no call is in flight: a full backend server resets them too.
func (c *Controller) checkLiveness(ctx context.Context, now time.Time, doubted board.BackendServer) {
	path := c.healthPath()
	if path == "" || now.Sub(c.lastLivenessCheck) < minLivenessInterval {
		return
	}
	c.lastLivenessCheck = now
	for range livenessAttempts {
		server := c.Board.LocalServer.Load()
		if server.ID != doubted.ID || server.StartMillis != doubted.StartMillis || server.Down {
			return
		}
		err := c.requestHealth(ctx, server.Addr, path, 0)
		inFlight := c.InFlight()
		ended, certain := evaluateLiveness(err, inFlight)
		if ended {
			c.Board.Announcements.Post(board.ServerEvent{Kind: board.ServerEventUnreachable, Server: *server})
		}
		c.Log.Info().AnErr("error", err).Str("event", "server_doubted").Str("server", server.ID).
			Bool("ended", ended).Bool("certain", certain).Int("in_flight", inFlight).Send()
		if certain || !control.Sleep(ctx, livenessRetryDelay) {
			return
		}
	}
}

// evaluateLiveness decides from a question on a new connection whether the backend
// server has ended, and whether that is certain.
func evaluateLiveness(err error, inFlight int) (ended, certain bool) {
	var failed *h1.Error
	switch {
	case err == nil || !errors.As(err, &failed):
		return false, true
	case failed.Refused, failed.Closed && inFlight == 0:
		return true, true
	}
	return false, !failed.Closed
}

// announceServer announces a healthy backend server that is not known yet, or that
// answers again.
func (c *Controller) announceServer(status int, reading mesh.ResponseMetadata, addr string) {
	server := c.Board.LocalServer.Load()
	if status != http.StatusOK || reading.ServerID == "" {
		return
	}
	if server.ID == reading.ServerID && server.Down {
		c.Board.Announcements.Post(board.ServerEvent{Kind: board.ServerEventReachable, Server: *server})
		return
	}
	if server.ID != "" || reading.Load == nil || reading.Load.Slots <= 0 {
		return
	}
	c.Board.Announcements.Post(board.ServerEvent{Kind: board.ServerEventHealthResponse, Server: board.BackendServer{
		ID: reading.ServerID, Service: c.Board.Self.Service, Addr: addr, Slots: reading.Load.Slots, State: board.ServerReady,
	}})
}
