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
	// probeTries and probeInterval bound the search for a refused connection
	// after a lost one: a dying process closes its sockets one by one.
	probeTries    = 6
	probeInterval = 50 * time.Millisecond
	probeTimeout  = 100 * time.Millisecond
)

// Dialer opens and closes a connection to an address.
type Dialer func(ctx context.Context, addr string) error

func dialTCP(ctx context.Context, addr string) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(conn.Close())
}

// probe finds out whether a lost connection means that the backend server is
// dead. A backend server may also close a single connection.
func (c *Controller) probe(ctx context.Context, e board.ExecutionResult) {
	local := c.board.LocalServer.Load()
	if c.probing || !local.Announced || local.Incarnation != e.ServerIncarnation {
		return
	}
	c.probing = true
	go func() {
		defer func() { c.probed <- struct{}{} }()
		for range probeTries {
			if c.refused(ctx, local.Addr) {
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

func (c *Controller) refused(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return errors.Is(c.dial(ctx, addr), syscall.ECONNREFUSED)
}

// rumorID names a death, so that nodes that hear of it twice count it once.
func rumorID(kind, digest string, incarnation board.ServerIncarnation) string {
	return fmt.Sprintf("quarantine/%s/%s/%s/%d", kind, digest, incarnation.Instance, incarnation.Incarnation)
}
