package meshnode

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/control/quota"
	decide "mangostand.example/mangostand/pkg/decide/quota"
	"mangostand.example/mangostand/pkg/h1"
)

// Guards against a lender that has ended and is taken for a slow one, whose part of the
// quotas is not free, and the other way round.
func TestReportErrorsTellWhetherTheLenderEnded(t *testing.T) {
	n := &Node{peerPool: &h1.Pool{DialTimeout: time.Second, IdleTimeout: time.Second, MaxHeaderBytes: 1 << 16, MaxBodyBytes: 1 << 20}}
	report := func(addr string) error {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := n.reportQuota(ctx, addr, &quota.Message{From: "n"})
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	silent := report(listener.Addr().String())
	require.Error(t, silent)
	require.False(t, errors.Is(silent, quota.ErrEnded) || errors.Is(silent, quota.ErrInvalidResponse))
	require.NoError(t, listener.Close())
	require.ErrorIs(t, report(listener.Addr().String()), quota.ErrEnded)

	for _, handler := range []http.HandlerFunc{
		func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) },
		func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("no CBOR")) },
	} {
		server := httptest.NewServer(handler)
		require.ErrorIs(t, report(strings.TrimPrefix(server.URL, "http://")), quota.ErrInvalidResponse)
		server.Close()
	}
}

// Guards against malformed reports that stop a node.
func TestMalformedQuotaReportsAreRefused(t *testing.T) {
	b := board.NewMeshBoard(board.NodeIdentity{Instance: "n"})
	n := &Node{board: b, log: zerolog.Nop(), quotas: quota.New(b, decide.Limits{}, 1, nil, nil, zerolog.Nop())}
	for _, body := range []string{"", "no CBOR", "\xa0", "\xbf\xff", strings.Repeat("\x9f", 1000)} {
		require.Equal(t, http.StatusBadRequest, n.handleQuotaReport(&h1.Request{Body: []byte(body)}).Status, "%q", body)
	}
}
