package largestcustomers

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
)

// addCustomers publishes a configuration with 10,000 customers and gives the first
// ones the most service.
func addCustomers(t testing.TB, b *board.MeshBoard, now time.Time) {
	t.Helper()
	table := dynconf.EmptyRouteTable()
	table.Version, table.Customers = 1, dynconf.NewCustomerIndex()
	for i := range 10_000 {
		name := fmt.Sprintf("c%d", i)
		require.True(t, table.Customers.AddCustomer(&dynconf.Customer{Name: name}))
		b.CustomerService.Add(b.CustomerService.ID(name), time.Second/time.Duration(i+1), now)
	}
	b.Routes.Claim("test").Publish(table)
}

// Guards against counters that do not name the largest customers, or that name one
// for each of 10,000, and against names in deployments without customers.
func TestLargestCustomersArePublished(t *testing.T) {
	b := board.NewMeshBoard(board.NodeIdentity{Instance: "n"})
	c := New(b, zerolog.Nop())
	c.update(time.Now())
	require.Equal(t, "other", b.LargestCustomers.Load().Label("c1"))
	now := time.Now()
	addCustomers(t, b, now)
	c.update(now)
	published := b.LargestCustomers.Load()
	require.Equal(t, []string{"c0", "c1", "c2"}, published.Names[:3])
	require.LessOrEqual(t, len(published.Names), 8)
	require.Equal(t, "c0", published.Label("c0"))
	require.Equal(t, "other", published.Label("c9999"))
	require.Empty(t, published.Label(""))
}

// BenchmarkUpdate measures an update with 10,000 customers.
func BenchmarkUpdate(b *testing.B) {
	m := board.NewMeshBoard(board.NodeIdentity{Instance: "n"})
	c := New(m, zerolog.Nop())
	now := time.Now()
	addCustomers(b, m, now)
	for b.Loop() {
		c.update(now)
	}
}
