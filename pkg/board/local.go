package board

// LocalServer is the backend server beside this node, as it announced itself.
type LocalServer struct {
	// Announced is false until the first announcement and after the backend
	// server has left, was found down or has stopped sending heartbeats.
	Announced bool `json:"announced"`
	// Draining is set by the backend server, by an operator, or when the node
	// stops.
	Draining bool `json:"draining"`
	// Stopping is set when the node drains in order to exit, Stopped when its
	// calls have ended. Later announcements reset neither.
	Stopping bool   `json:"stopping"`
	Stopped  bool   `json:"stopped"`
	Service  string `json:"service"`
	// Addr is the HTTP address of the backend server, host:port.
	Addr        string `json:"addr"`
	Slots       uint32 `json:"slots"`
	Connections uint32 `json:"connections"`
	// Incarnation identifies the process of the backend server, which chooses it
	// at its start.
	Incarnation uint64 `json:"incarnation"`
	// ReportedInFlight is the number of running calls that the backend server
	// reports. It is a hint that may be outdated or false.
	ReportedInFlight uint32 `json:"reported_in_flight"`
}

// Ready reports whether the backend server accepts new calls.
func (l *LocalServer) Ready() bool { return l.Announced && !l.Draining }
