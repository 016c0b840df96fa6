// Package localapi is the listener for the backend server beside the node:
// announcements, drain and withdrawal.
package localapi

import (
	"io"
	"net/http"

	"mangostand.example/mangostand/pkg/board"
)

// maxAnnouncementBytes bounds the body of an announcement in bytes.
const maxAnnouncementBytes = 4096

// Announcement is the body of POST /v1/announce. The backend server repeats it
// every second.
type Announcement struct {
	Service     string `json:"service"`
	Addr        string `json:"addr"`
	Slots       uint32 `json:"slots"`
	Connections uint32 `json:"connections"`
	// Incarnation differs for each start of the backend server.
	Incarnation uint64 `json:"incarnation"`
	// InFlight is the backend server's own load report.
	InFlight uint32 `json:"in_flight"`
	Draining bool   `json:"draining"`
}

// Handler returns the listener's handler: POST /v1/announce, /v1/drain and
// /v1/leave.
func Handler(b *board.Board) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", func(w http.ResponseWriter, r *http.Request) { handleAnnounce(b, w, r) })
	mux.HandleFunc("POST /v1/drain", func(w http.ResponseWriter, r *http.Request) {
		postAnnouncement(b, w, board.Announcement{Kind: board.AnnounceDrain})
	})
	mux.HandleFunc("POST /v1/leave", func(w http.ResponseWriter, r *http.Request) {
		postAnnouncement(b, w, board.Announcement{Kind: board.AnnounceLeave})
	})
	return mux
}

func handleAnnounce(b *board.Board, w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		http.Error(w, "announcement too large", http.StatusRequestEntityTooLarge)
		return
	}
	a, err := ParseAnnouncement(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	postAnnouncement(b, w, board.Announcement{Kind: board.AnnounceHeartbeat, Server: board.LocalServer{
		Announced: true, Service: a.Service, Addr: a.Addr, Slots: a.Slots, Connections: a.Connections,
		Incarnation: a.Incarnation, ReportedInFlight: a.InFlight, Draining: a.Draining,
	}})
}

func postAnnouncement(b *board.Board, w http.ResponseWriter, a board.Announcement) {
	if !b.Announcements.Post(a) {
		http.Error(w, "too many announcements", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
