package backendserver

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
)

const (
	headerTimeout = 5 * time.Second
	// drainTimeout bounds the wait for calls in flight after a stop.
	drainTimeout = 10 * time.Second
	idleCheck    = 10 * time.Millisecond
)

// Run serves and announces until ctx ends, then drains: it announces that it
// leaves, waits for its calls and withdraws.
func (s *Server) Run(ctx context.Context) error {
	socket, err := s.Listen()
	if err != nil {
		return errors.Trace(err)
	}
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: headerTimeout}
	announcing, stopAnnouncing := context.WithCancel(context.Background())
	defer stopAnnouncing()
	go func() { _ = s.Announce(announcing) }()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(socket) }()
	select {
	case err := <-failed:
		return errors.Trace(err)
	case <-ctx.Done():
	}
	drain, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	s.draining.Store(true)
	_ = s.announceOnce(drain)
	s.waitIdle(drain)
	stopAnnouncing()
	_ = s.post(drain, "/v1/leave", nil)
	return errors.Trace(server.Shutdown(drain))
}

// waitIdle returns when no call is in flight or ctx ends.
func (s *Server) waitIdle(ctx context.Context) {
	ticker := time.NewTicker(idleCheck)
	defer ticker.Stop()
	for s.inFlight.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
