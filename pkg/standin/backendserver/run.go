package backendserver

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
)

const (
	readHeaderTimeout = 5 * time.Second
	// drainTimeout bounds the whole shutdown, including the wait for calls in
	// flight.
	drainTimeout = 10 * time.Second
	// idlePollInterval is the interval at which a draining server checks for calls
	// in flight.
	idlePollInterval = 10 * time.Millisecond
)

// Run serves calls and sends announcements until ctx is done. It then shuts down
// gracefully: it announces that it is draining, waits for the calls in flight,
// deregisters from the node and closes its connections.
func (s *Server) Run(ctx context.Context) error {
	listener, err := s.Listen()
	if err != nil {
		return errors.Trace(err)
	}
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	announceCtx, stopAnnouncing := context.WithCancel(context.Background())
	defer stopAnnouncing()
	go func() { _ = s.SendAnnouncements(announceCtx) }()
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return errors.Trace(err)
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	s.draining.Store(true)
	_ = s.sendAnnouncement(drainCtx)
	s.waitForIdle(drainCtx)
	stopAnnouncing()
	_ = s.postToNode(drainCtx, "/v1/leave", nil)
	return errors.Trace(server.Shutdown(drainCtx))
}

// waitForIdle returns when no call is in flight or ctx is done.
func (s *Server) waitForIdle(ctx context.Context) {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for s.inFlight.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
