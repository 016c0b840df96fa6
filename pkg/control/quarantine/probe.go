package quarantine

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/board"
)

const (
	// probeAttempts and probeInterval bound the search for a refused connection
	// after a lost one: a dying process closes its sockets one by one.
	probeAttempts = 6
	probeInterval = 50 * time.Millisecond
	probeTimeout  = 100 * time.Millisecond
)

// DialFunc opens and closes a connection to an address.
type DialFunc func(ctx context.Context, addr string) error

func dialTCP(ctx context.Context, addr string) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(conn.Close())
}

// probeServer finds out whether a lost connection means that the backend server is
// dead. A backend server may also close a single connection.
func (c *Controller) probeServer(ctx context.Context, e board.Execution) {
	local := c.board.Local.Load()
	if c.probing || !local.Announced || local.Incarnation != e.ServerIncarnation {
		return
	}
	c.probing = true
	go func() {
		defer func() { c.probeDone <- struct{}{} }()
		for range probeAttempts {
			if c.refusesConnection(ctx, local.Addr) {
				c.board.Announcements.Post(board.Announcement{Kind: board.AnnounceDown, Server: *local})
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(probeInterval):
			}
		}
	}()
}

func (c *Controller) refusesConnection(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return errors.Is(c.dial(ctx, addr), syscall.ECONNREFUSED)
}

// crashRumorID names a death, so that nodes that hear of it twice count it once.
func crashRumorID(kind, digest string, incarnation board.ServerIncarnation) string {
	return fmt.Sprintf("quarantine/%s/%s/%s/%d", kind, digest, incarnation.Instance, incarnation.ServerIncarnation)
}
