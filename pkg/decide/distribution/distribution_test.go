package distribution

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

var now = time.Unix(1000, 0)

// Guards against a node that serves so many pulls that none of them ends in time.
func TestMaxServedFollowsTheLink(t *testing.T) {
	const slowLink, fastLink = 2e6, 24e6
	for name, c := range map[string]struct {
		rate  float64
		bytes int
		want  int
	}{
		"small response, slow link":     {slowLink, 200, maxServed},
		"usual response, slow link":     {slowLink, 30_000, 10},
		"large response, slow link":     {slowLink, 250_000, 1},
		"very large response":           {slowLink, 2_000_000, 1},
		"large response, fast link":     {fastLink, 250_000, 14},
		"unknown rate":                  {0, 250_000, assumedServed},
		"empty response does not panic": {slowLink, 0, maxServed},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, MaxServed(c.rate, c.bytes)) })
	}
}

// Guards against nodes that all pull from the same source or across failure domains,
// that wait for a source which is silent, or that ask one again without a pause.
func TestNext(t *testing.T) {
	at := func(d time.Duration) time.Time { return now.Add(d) }
	own := Source{Addr: "own", Version: 5, SameDomain: true, AnnouncedAt: now}
	other := Source{Addr: "other", Version: 5, AnnouncedAt: now}
	pulling := func(s Source, since time.Duration) Source { s.PullingSince = at(since); return s }
	renamed := func(s Source, addr string) Source { s.Addr = addr; return s }
	newer := own
	newer.Addr, newer.Version = "newer", 6
	for name, c := range map[string]struct {
		sources []Source
		version uint64
		at      time.Duration
		want    string
		again   time.Duration
	}{
		"no source":                              {nil, 4, 0, "", 0},
		"version in force":                       {[]Source{own}, 5, 0, "", 0},
		"own failure domain first":               {[]Source{other, own}, 4, 200 * ms, "own", 0},
		"other failure domain after a delay":     {[]Source{other}, 4, 0, "", 100 * ms},
		"other failure domain":                   {[]Source{other}, 4, 100 * ms, "other", 0},
		"newest version first":                   {[]Source{own, newer}, 4, 0, "newer", 0},
		"one pull at a time":                     {[]Source{pulling(own, 0), renamed(own, "second")}, 4, 10 * ms, "", secondPullDelay},
		"second pull when the first takes long":  {[]Source{pulling(own, 0), renamed(own, "second")}, 4, secondPullDelay, "second", 0},
		"no second pull while the first goes on": {[]Source{progressing(own, 400*ms), renamed(own, "second")}, 4, 500 * ms, "", 400*ms + secondPullDelay},
		"no third pull":                          {[]Source{pulling(own, 0), pulling(other, secondPullDelay), renamed(own, "third")}, 4, time.Second, "", 0},
		"busy source after a pause":              {[]Source{own.AfterBusy(now)}, 4, busyDelay / 2, "", busyDelay},
		"busy source again":                      {[]Source{own.AfterBusy(now)}, 4, busyDelay, "own", 0},
		"source that has not failed first":       {[]Source{own.AfterFailure(now), renamed(other, "fresh")}, 4, time.Second, "fresh", 0},
		"failed source after a pause":            {[]Source{own.AfterFailure(now)}, 4, 0, "", failureDelay},
		"source that failed twice waits longer":  {[]Source{own.AfterFailure(now).AfterFailure(now)}, 4, failureDelay, "", 2 * failureDelay},
		"source that failed often is still used": {[]Source{failedOften(own)}, 4, maxFailureDelay, "own", 0},
	} {
		t.Run(name, func(t *testing.T) {
			addr, again := Next(c.sources, c.version, 100*ms, at(c.at))
			require.Equal(t, c.want, addr)
			if c.again == 0 {
				require.Zero(t, again)
			} else {
				require.Equal(t, at(c.again), again)
			}
		})
	}
}

func progressing(s Source, at time.Duration) Source {
	s.PullingSince, s.ProgressAt = now, now.Add(at)
	return s
}

func failedOften(s Source) Source {
	for range 100 {
		s = s.AfterFailure(now)
	}
	return s
}
