package fairshare

import (
	"hash/maphash"
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against service that is never forgotten, or that is forgotten before
// refused callers have retried.
func TestServiceDecays(t *testing.T) {
	start := 10 * time.Second
	a := Account{}.Add(time.Second, start, ServiceDecay)
	require.Equal(t, time.Second, a.Received(start, ServiceDecay))
	require.InDelta(t, math.Exp(-1), a.Received(start+ServiceDecay, ServiceDecay).Seconds(), 0.001)
	require.Less(t, a.Received(start+10*ServiceDecay, ServiceDecay), time.Millisecond)
	require.InDelta(t, 1+math.Exp(-1), a.Add(time.Second, start+ServiceDecay, ServiceDecay).Received(start+ServiceDecay, ServiceDecay).Seconds(), 0.001)
}

// Guards against service that drifts when many small amounts are added within one
// tick of the account.
func TestSmallAmountsAddUp(t *testing.T) {
	var a Account
	for i := range 20_000 {
		a = a.Add(500*time.Microsecond, time.Duration(i)*time.Millisecond, ServiceDecay)
	}
	// Half of a slot in use has the limit of half of the time constant.
	require.InDelta(t, ServiceDecay.Seconds()/2, a.Received(20*time.Second, ServiceDecay).Seconds(), 0.02)
}

// Guards against a customer that goes first for ever, because more was taken back
// than it had, or because a change arrived out of order.
func TestAccountStaysValid(t *testing.T) {
	a := Account{}.Add(time.Second, 5*time.Second, ServiceDecay)
	require.Zero(t, a.Add(-2*time.Second, 6*time.Second, ServiceDecay).Received(6*time.Second, ServiceDecay))
	earlier := a.Add(time.Second, 4*time.Second, ServiceDecay)
	require.Equal(t, 2*time.Second, earlier.Received(5*time.Second, ServiceDecay))
	require.Equal(t, a, Unpack(a.Pack()))
	require.Equal(t, Account{}, Unpack(0))
	// The ticks of the clock begin anew after 497 days.
	idle := Account{}.Add(time.Second, 0, ServiceDecay)
	require.Zero(t, idle.Received(400*24*time.Hour, ServiceDecay))
	beforeWrap := Account{}.Add(time.Second, time.Duration(math.MaxUint32)*tick, ServiceDecay)
	require.InDelta(t, math.Exp(-1), beforeWrap.Received(time.Duration(math.MaxUint32)*tick+ServiceDecay, ServiceDecay).Seconds(), 0.001)
}

// Guards against calls without a customer that starve those of customers.
func TestKeylessFirst(t *testing.T) {
	require.True(t, KeylessFirst(0, 0))
	require.True(t, KeylessFirst(time.Second, 9*time.Second))
	require.True(t, KeylessFirst(3*time.Second, time.Second))
	require.False(t, KeylessFirst(4*time.Second, time.Second))
	require.False(t, KeylessFirst(time.Second, 0))
}

// Guards against an order that is not that of the page: calls without a customer
// first, then the least service.
func TestCompare(t *testing.T) {
	keyless, little, much := Standing{}, Standing{Customer: true, Service: time.Second}, Standing{Customer: true, Service: time.Minute}
	for i, a := range []Standing{keyless, little, much} {
		for j, b := range []Standing{keyless, little, much} {
			require.Equal(t, min(max(i-j, -1), 1), Compare(a, b))
		}
	}
}

// Guards against small customers that are taken for large ones with 10,000
// customers: the error of the sketch has to stay within its bound.
func TestSketchOfManyCustomers(t *testing.T) {
	const customers = 10_000
	var cells [SketchRows][SketchColumns]float64
	seed, total := maphash.MakeSeed(), 0.0
	service := func(i int) float64 { return math.Pow(float64(i+1), -1.2) }
	ids := make([]Customer, customers)
	for i := range ids {
		ids[i] = Customer(maphash.String(seed, strconv.Itoa(i)))
		total += service(i)
		for row, column := range Cells(ids[i]) {
			cells[row][column] += service(i)
		}
	}
	wrong := 0
	for i, id := range ids {
		least := math.Inf(1)
		for row, column := range Cells(id) {
			least = min(least, cells[row][column])
		}
		require.GreaterOrEqual(t, least, service(i))
		if least-service(i) > math.E/SketchColumns*total {
			wrong++
		}
	}
	require.LessOrEqual(t, float64(wrong), math.Exp(-SketchRows)*customers)
}
