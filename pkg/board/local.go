package board

// LocalServer describes the backend server beside this node as it announced itself.
type LocalServer struct {
	// Announced is false until the first announcement and after the backend
	// server died.
	Announced bool `json:"announced"`
	// Draining is set by the backend server, by command or when the node stops.
	Draining bool `json:"draining"`
	// Stopping is set while the node drains to exit, Stopped when its calls
	// have ended. A later announcement does not undo either.
	Stopping bool   `json:"stopping"`
	Stopped  bool   `json:"stopped"`
	Service  string `json:"service"`
	// Addr is the HTTP address of the backend server, host:port.
	Addr        string `json:"addr"`
	Slots       uint32 `json:"slots"`
	Connections uint32 `json:"connections"`
	// Incarnation is chosen by the backend server at its start.
	Incarnation uint64 `json:"incarnation"`
	// ReportedInFlight is the backend server's own load report. It is a hint
	// that may be late or false.
	ReportedInFlight uint32 `json:"reported_in_flight"`
}

// Ready reports whether the backend server takes new calls.
func (l *LocalServer) Ready() bool { return l.Announced && !l.Draining }
