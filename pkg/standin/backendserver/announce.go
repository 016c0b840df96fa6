package backendserver

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/localapi"
)

// announceInterval is the heartbeat period that nodes expect.
const announceInterval = time.Second

// announceTimeout bounds one announcement.
const announceTimeout = 2 * time.Second

// Announce repeats the announcement until ctx ends. An announcement that fails
// is made up for by the next one.
func (s *Server) Announce(ctx context.Context) error {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if !s.faults.Load().Silent {
			_ = s.announceOnce(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (s *Server) announceOnce(ctx context.Context) error {
	load := s.loadReport(time.Now())
	data, err := json.Marshal(localapi.Announcement{
		Service: s.config.Service, Addr: s.config.ListenAddr, Slots: load.Slots,
		Connections: uint32(s.config.MaxConnections), Incarnation: s.incarnation,
		InFlight: load.InFlight, Draining: load.Draining,
	})
	if err != nil {
		return errors.Trace(err)
	}
	return s.post(ctx, "/v1/announce", data)
}

// post sends a body to the node's local listener.
func (s *Server) post(ctx context.Context, path string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.config.NodeURL+path, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(resp.Body.Close())
}
