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
	// probeAttempts and probeInterval limit the connection attempts after a lost
	// connection. The first ones may still succeed, because a crashing process
	// closes its sockets one by one.
	probeAttempts = 6
	probeInterval = 50 * time.Millisecond
	probeTimeout  = 100 * time.Millisecond
)

// DialFunc tries to open a connection to an address and closes it again.
type DialFunc func(ctx context.Context, addr string) error

func dialTCP(ctx context.Context, addr string) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(conn.Close())
}

// probeServer checks in the background whether the backend server has crashed
// after a connection to it was lost, or has only closed that connection. If it
// refuses new connections, it is announced as down.
func (c *Controller) probeServer(ctx context.Context, e board.ExecutionResult) {
	local := c.board.LocalServer.Load()
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

// crashRumorID returns the ID of the rumor about one crash. Nodes that receive
// duplicates of the rumor handle it once.
func crashRumorID(kind, digest string, incarnation board.ServerIncarnation) string {
	return fmt.Sprintf("quarantine/%s/%s/%s/%d", kind, digest, incarnation.Instance, incarnation.Incarnation)
}
