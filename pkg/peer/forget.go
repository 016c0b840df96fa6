package peer

import "time"

// forgottenLife is how long a forgotten connection stays open for the
// exchanges on it: the longest deadline of a call.
const forgottenLife = 10 * time.Minute

// Forget makes the next exchange with addr dial again. A node that was killed
// and replaced at the same address does not know the old connection, which
// would otherwise be used until its idle timeout. Exchanges in flight on the
// old connection go on.
func (t *Transport) Forget(addr string) {
	value, found := t.connections.Load(addr)
	if !found {
		return
	}
	c := value.(*connection)
	select {
	case <-c.ready:
	default:
		// The dial is still in progress, so the connection is new.
		return
	}
	if !t.connections.CompareAndDelete(addr, c) || c.conn == nil {
		return
	}
	time.AfterFunc(forgottenLife, func() { _ = c.conn.CloseWithError(codeShutdown, "connection replaced") })
}
