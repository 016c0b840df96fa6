package peer

import "time"

const (
	// replacedConnLifetime is how long a replaced connection stays open for its
	// exchanges in progress. It is the longest deadline of a call.
	replacedConnLifetime = 10 * time.Minute
	// minRefreshInterval is the minimum time between two replacements of the
	// connection to an address. Without it, each missed ping of a slow peer would
	// open a new connection.
	minRefreshInterval = 10 * time.Second
)

// Refresh dials addr in the background and, if that succeeds, replaces the current
// connection to it. A process that was killed and replaced at the same address does
// not know the old connection, which would otherwise be used until its idle
// timeout. Until the new connection is ready, and if the dial fails, the old one
// stays in use. Exchanges in progress continue on the old connection.
func (t *Transport) Refresh(addr string) {
	value, found := t.connections.Load(addr)
	if !found {
		return
	}
	old := value.(*connection)
	select {
	case <-old.ready:
	default:
		// The current connection is still being dialed, so it is new.
		return
	}
	if t.refreshDue(addr) {
		go t.dialReplacement(addr, old)
	}
}

// refreshDue reports whether minRefreshInterval has passed since the connection to
// addr was last replaced.
func (t *Transport) refreshDue(addr string) bool {
	last, found := t.refreshedAt.Load(addr)
	return !found || time.Since(last.(time.Time)) >= minRefreshInterval
}

// dialReplacement dials addr and replaces its connection, unless that has changed
// meanwhile.
func (t *Transport) dialReplacement(addr string, old *connection) {
	newConn := &connection{ready: make(chan struct{})}
	t.dial(addr, newConn)
	if newConn.err != nil {
		return
	}
	if !t.connections.CompareAndSwap(addr, old, newConn) {
		_ = newConn.conn.CloseWithError(codeShutdown, "connection not needed")
		return
	}
	t.refreshedAt.Store(addr, time.Now())
	if old.conn != nil {
		time.AfterFunc(replacedConnLifetime, func() { _ = old.conn.CloseWithError(codeShutdown, "connection replaced") })
	}
}
