package opsapi

import (
	"io"
	"net/http"

	"mangostand.example/mangostand/pkg/board"
)

// DrainStatus is the response to GET /v1/drain: the progress of a drain.
type DrainStatus struct {
	Instance board.InstanceID `json:"instance"`
	// State is the membership state of the node, as the other nodes see it.
	State string `json:"state"`
	// Announced is set while the backend server is up.
	Announced bool `json:"announced"`
	Draining  bool `json:"draining"`
	// Stopping is set once the node drains in order to exit, Stopped once its
	// calls have ended.
	Stopping bool `json:"stopping"`
	Stopped  bool `json:"stopped"`
	// InFlight is the number of calls in flight at this node, as entry and as
	// executor.
	InFlight int `json:"in_flight"`
}

// Drained reports whether the drain is complete: no call is in flight any more.
func (s DrainStatus) Drained() bool { return s.Draining && s.InFlight == 0 }

// NewDrainStatus returns the drain status of the node from its board.
func NewDrainStatus(b *board.Board) DrainStatus {
	members, local := b.Members.Load(), b.LocalServer.Load()
	return DrainStatus{
		Instance: members.Self, State: members.ByInstance[members.Self].State.String(),
		Announced: local.Announced, Draining: local.Draining, Stopping: local.Stopping, Stopped: local.Stopped,
		InFlight: b.Requests.Len(),
	}
}

// registerDrainRoutes adds GET /v1/drain and POST /v1/drain. With exit=true the
// node drains and exits; otherwise only its backend server drains, until the
// backend server restarts.
func registerDrainRoutes(mux *http.ServeMux, b *board.Board) {
	mux.HandleFunc("GET /v1/drain", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, NewDrainStatus(b)) })
	mux.HandleFunc("POST /v1/drain", func(w http.ResponseWriter, r *http.Request) {
		switch exit := r.URL.Query().Get("exit"); exit {
		case "", "false":
			if !b.Announcements.Post(board.Announcement{Kind: board.AnnounceDrain}) {
				http.Error(w, "too many announcements", http.StatusServiceUnavailable)
				return
			}
		case "true":
			// The inbox holds one request: if it is full, the node already has an
			// earlier request to exit.
			b.StopRequests.Post(struct{}{})
		default:
			http.Error(w, "exit: expected true or false", http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
}

// newHealthHandler returns the handler of GET /healthz. It responds with 503 while
// the node is stopping, so that callers choose another node.
func newHealthHandler(b *board.Board) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if b.LocalServer.Load().Stopping {
			http.Error(w, "stopping", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ok\n")
	}
}
