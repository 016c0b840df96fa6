// Package localapi implements the HTTP API for the local backend server of a
// node: announcements, drain and leave.
package localapi

import (
	"io"
	"net/http"

	"mangostand.example/mangostand/pkg/board"
)

// maxAnnouncementBytes is the maximum size of the body of an announcement.
const maxAnnouncementBytes = 4096

// Announcement is the body of POST /v1/announce. The backend server repeats it
// every second.
type Announcement struct {
	Service string `json:"service"`
	// Addr is the HTTP address of the backend server, IP:port.
	Addr string `json:"addr"`
	// Slots is the number of calls that the backend server executes at a time.
	Slots uint32 `json:"slots"`
	// Connections is the maximum number of connections that the backend server
	// accepts.
	Connections uint32 `json:"connections"`
	// Incarnation differs for each start of the backend server.
	Incarnation uint64 `json:"incarnation"`
	// InFlight is the number of running calls that the backend server reports.
	InFlight uint32 `json:"in_flight"`
	Draining bool   `json:"draining"`
}

// Handler serves POST /v1/announce, /v1/drain and /v1/leave and posts what it
// receives to the board.
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
