package mesh_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/bootclock"
	"mangostand.example/mangostand/pkg/decide/quota"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/mesh"
)

// entryWithQuota returns an entry whose customer has a limit, and its counter. A request
// that is admitted is not sent, since there is no backend server.
func entryWithQuota(t *testing.T) (*mesh.Entry, *board.QuotaCounter) {
	t.Helper()
	entry := entryWithCustomers(t, 0, zerolog.Nop())
	entry.Board.Routes.Load().Customers.ByName("bakery").Quota = dynconf.RequestQuota{Rate: 5}
	group := board.NewQuotaGroup(0, entry.Board.QuotaReports)
	now := bootclock.Now()
	group.SetTimes(now+time.Minute, now+time.Minute)
	counter := &board.QuotaCounter{Customer: "bakery", Group: group}
	entry.Board.Quotas.Claim("test").Publish(&board.Quotas{ConfigVersion: 3, ByCustomer: map[string]*board.QuotaCounter{"bakery": counter}})
	return entry, counter
}

// Guards against requests over the quota that run, that wait although the lender has
// denied them, or that get no Retry-After, and against quota that is lost with calls
// that did not run.
func TestRequestsAreAdmittedByQuota(t *testing.T) {
	entry, counter := entryWithQuota(t)
	status := func() (int, string) {
		response := entry.Handle(t.Context(), keyedRequest("secret-key"))
		return response.Status, response.Header.Get("Retry-After")
	}
	counter.AddGrants(2)
	for range 3 {
		code, _ := status()
		require.Equal(t, 503, code, "admitted, but there is no backend server")
		require.Equal(t, int64(2), counter.Balance(), "a call that did not run is given back")
	}
	require.Empty(t, entry.Board.QuotaReports.Events(), "no report is requested while there are grants")

	counter.Remove(2)
	now := bootclock.Now()
	counter.SetDenial(&board.QuotaDenial{RefuseUntil: now + time.Minute, RetryAt: now + 700*time.Millisecond})
	code, retryAfter := status()
	require.Equal(t, 429, code)
	wait, err := time.ParseDuration(retryAfter)
	require.NoError(t, err)
	require.InDelta(t, 0.7, wait.Seconds(), 0.2)
	require.Equal(t, int64(1), counter.Refused())

	counter.SetDenial(nil)
	counter.Group.SetSilent(true)
	code, retryAfter = status()
	require.Equal(t, 429, code, "no lender replies")
	require.NotEmpty(t, retryAfter)
}

// Guards against a request that is refused although its grant is under way, and against
// one that waits longer than its limit.
func TestRequestsWaitForAGrant(t *testing.T) {
	entry, counter := entryWithQuota(t)
	done := make(chan int, 1)
	request := func() { done <- entry.Handle(t.Context(), keyedRequest("secret-key")).Status }
	go request()
	require.Equal(t, 0, <-entry.Board.QuotaReports.Events(), "a report is requested")
	counter.Group.ClearAsked()
	require.Equal(t, int64(1), counter.Waiting())
	counter.AddGrants(1)
	counter.Group.NotifyReplied()
	require.Equal(t, 503, <-done, "admitted, but there is no backend server")

	counter.Remove(1)
	started := time.Now()
	go request()
	require.Equal(t, 429, <-done)
	require.GreaterOrEqual(t, time.Since(started), quota.MaxWait)
	require.Zero(t, counter.Waiting())
}

// Guards against a node without a lender that refuses everything or exceeds its part.
func TestEntryWithoutLenderUsesItsPart(t *testing.T) {
	entry, counter := entryWithQuota(t)
	now := bootclock.Now()
	counter.Fallback.Store(&board.QuotaFallback{Interval: time.Hour, Lifetime: time.Minute, Phase: now - time.Second})
	counter.Group.SetTimes(0, now-2*time.Second)
	var codes []int
	for range 3 {
		codes = append(codes, entry.Handle(t.Context(), keyedRequest("secret-key")).Status)
	}
	require.Equal(t, []int{503, 429, 429}, codes)
	require.Equal(t, int64(1), counter.FallbackAdmitted())
}

// Guards against refusals for the quota that name no customer, neither in the log nor, as
// TestRefusalsNameTheCustomer shows for other refusals, in the counters.
func TestRefusalForTheQuotaNamesTheCustomer(t *testing.T) {
	entry, counter := entryWithQuota(t)
	var logged bytes.Buffer
	entry.Log = zerolog.New(&logged)
	counter.SetDenial(&board.QuotaDenial{RefuseUntil: bootclock.Now() + time.Minute, RetryAt: bootclock.Now() + time.Second})
	require.Equal(t, 429, entry.Handle(t.Context(), keyedRequest("secret-key")).Status)
	require.Equal(t, 1, strings.Count(logged.String(), `"customer":"bakery"`), logged.String())
	require.NotContains(t, logged.String(), "secret")
}

// Guards against a key that is accepted after it may be void, because its request waited
// for a grant meanwhile.
func TestKeyIsCheckedAgainAfterAWaitForAGrant(t *testing.T) {
	entry, counter := entryWithQuota(t)
	entry.RevocationTime = 5 * time.Second
	entry.Board.ConfigProven = &board.ProvenVersion{Required: true}
	request := keyedRequest("secret-key")
	entry.Board.ConfigProven.Prove(entry.Board.Routes.Load().Version, bootclock.Now()-4600*time.Millisecond)
	bodies := make(chan string, 1)
	go func() { bodies <- string(entry.Handle(t.Context(), request).BufferedBody) }()
	require.Eventually(t, func() bool { return counter.Waiting() == 1 }, time.Second, time.Millisecond)
	time.Sleep(200 * time.Millisecond)
	counter.AddGrants(1)
	counter.Group.NotifyReplied()
	require.Contains(t, <-bodies, "api-key-unconfirmed")
	require.Equal(t, int64(1), counter.Balance(), "the request did not run")
}
