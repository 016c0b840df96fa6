package peer

import "time"

const (
	// replacedConnLifetime is how long a replaced connection stays open for the
	// exchanges on it: the longest deadline of a call.
	replacedConnLifetime = 10 * time.Minute
	// minRefreshInterval is the least time between two replacements of the
	// connection to an address. A peer that is only slow would otherwise get a
	// new one with each missed ping.
	minRefreshInterval = 10 * time.Second
)

// Refresh replaces the connection to addr when a new one can be made. A node
// that was killed and replaced at the same address does not know the old
// connection, which would otherwise be used until its idle timeout. Until the
// new one stands, and when it fails, the old one stays in use; exchanges in
// flight on it go on. It returns at once.
func (t *Transport) Refresh(addr string) {
	value, found := t.connections.Load(addr)
	if !found {
		return
	}
	old := value.(*connection)
	select {
	case <-old.ready:
	default:
		// The dial is still in progress, so the connection is new.
		return
	}
	if t.refreshDue(addr) {
		go t.dialReplacement(addr, old)
	}
}

// refreshDue reports whether the connection to addr may be replaced again.
func (t *Transport) refreshDue(addr string) bool {
	last, found := t.refreshedAt.Load(addr)
	return !found || time.Since(last.(time.Time)) >= minRefreshInterval
}

// dialReplacement dials and swaps the connection of addr.
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
