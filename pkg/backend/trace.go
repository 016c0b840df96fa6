package backend

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// connectionTrace records whether a request got a connection. From then on the
// backend server may have received it.
type connectionTrace struct {
	gotConn atomic.Bool
}

func (t *connectionTrace) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.gotConn.Store(true) },
	})
}
