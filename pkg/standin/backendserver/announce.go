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

// announcementInterval is the heartbeat interval that nodes expect.
const announcementInterval = time.Second

// announcementTimeout bounds one request to the node.
const announcementTimeout = 2 * time.Second

// SendAnnouncements sends an announcement to the node in each interval until ctx
// is done. It ignores failures, as the next announcement carries the full state.
func (s *Server) SendAnnouncements(ctx context.Context) error {
	ticker := time.NewTicker(announcementInterval)
	defer ticker.Stop()
	for {
		if !s.faults.Load().SuppressAnnouncements {
			_ = s.sendAnnouncement(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// sendAnnouncement sends one announcement, which also serves as a heartbeat.
func (s *Server) sendAnnouncement(ctx context.Context) error {
	report := s.currentLoadReport(time.Now())
	data, err := json.Marshal(localapi.Announcement{
		Service: s.config.Service, Addr: s.config.ListenAddr, Slots: report.Slots,
		Connections: uint32(s.config.MaxConnections), Incarnation: s.incarnation,
		InFlight: report.InFlight, Draining: report.Draining,
	})
	if err != nil {
		return errors.Trace(err)
	}
	return s.postToNode(ctx, "/v1/announce", data)
}

// postToNode sends a POST request to the node's local listener. It ignores the
// status of the response.
func (s *Server) postToNode(ctx context.Context, path string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announcementTimeout)
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
