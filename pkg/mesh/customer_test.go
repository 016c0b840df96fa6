package mesh_test

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/bootclock"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/h1"
	"mangostand.example/mangostand/pkg/mesh"
)

// entryWithCustomers returns an entry without backend servers: a request whose key is
// accepted is answered 503 with the reason no-server.
func entryWithCustomers(t *testing.T, revocationTime time.Duration, log zerolog.Logger) *mesh.Entry {
	t.Helper()
	b := board.NewMeshBoard(board.NodeIdentity{Instance: "n"})
	table := testRoutes()
	table.Customers = dynconf.NewCustomerIndex()
	holder := &dynconf.Customer{Name: "bakery"}
	require.True(t, table.Customers.AddCustomer(holder) && table.Customers.AddKey("secret-key", holder))
	b.Routes.Claim("test").Publish(table)
	return &mesh.Entry{Board: b, Codec: testCodec{}, Log: log, AttemptWindow: time.Second, RevocationTime: revocationTime}
}

func keyedRequest(key string) *h1.Request {
	header := http.Header{headerID: {"1"}, headerDeadline: {"100"}}
	if key != "" {
		header.Set(headerAPIKey, key)
	}
	return &h1.Request{Method: http.MethodGet, Host: "h", Target: "/read/x", Header: header, ReceivedAt: time.Now()}
}

// A withdrawn key must not be accepted longer than the time limit on a node that hears
// nothing, and neither logs nor responses may show a key.
func TestKeysAreRefusedOnceTheConfigurationIsTooOld(t *testing.T) {
	var logged bytes.Buffer
	entry := entryWithCustomers(t, 5*time.Second, zerolog.New(&logged))
	version := entry.Board.Routes.Load().Version
	for _, c := range []struct {
		name, key, reason string
		status            int
		age               time.Duration
	}{
		{"confirmed", "secret-key", "no-server", 503, time.Second},
		{"unknown key", "secret-other", "unknown-api-key", 401, time.Second},
		{"no key", "", "unknown-api-key", 401, time.Second},
		{"too old", "secret-key", "api-key-unconfirmed", 503, 5 * time.Second},
	} {
		entry.Board.ConfigProven = &board.ProvenVersion{Required: true}
		entry.Board.ConfigProven.Prove(version, bootclock.Now()-c.age)
		response := entry.Handle(t.Context(), keyedRequest(c.key))
		require.Equal(t, c.status, response.Status, c.name)
		require.Contains(t, string(response.BufferedBody), c.reason, c.name)
		require.NotContains(t, string(response.BufferedBody), "secret", c.name)
	}
	require.NotContains(t, logged.String(), "secret")
	require.True(t, strings.Contains(logged.String(), "api-key-unconfirmed"), "each refusal is logged")
}
