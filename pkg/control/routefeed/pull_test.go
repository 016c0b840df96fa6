package routefeed

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/distribution"
	"mangostand.example/mangostand/pkg/routedoc"
	"mangostand.example/mangostand/pkg/standin/store"
)

// peers are the nodes of a test, by address.
type peers map[string]*Server

func (p peers) pull(ctx context.Context, addr string, request *PullRequest, progress func()) (*PullResponse, error) {
	server := p[addr]
	if server == nil {
		<-ctx.Done()
		return nil, errors.Trace(ctx.Err())
	}
	response, done, err := server.Respond(request, time.Now())
	if err != nil {
		return nil, errors.Trace(err)
	}
	progress()
	done(true)
	return response, nil
}

// startPeer runs the controller of a node that does not read the store itself.
func startPeer(ctx context.Context, addr string, s Store, pull PullFunc) *Server {
	ids := []board.InstanceID{"a", "b", "c", "d", "e"}
	b := board.NewMeshBoard(board.NodeIdentity{Instance: sortByWatchRank(ids)[len(ids)-1], PeerAddr: addr})
	fleetView := &board.Fleet{Size: len(ids), ByInstance: map[board.InstanceID]*board.MeshEndpoint{}}
	for _, id := range ids {
		fleetView.ByInstance[id] = &board.MeshEndpoint{Record: board.NodeRecord{Instance: id, PeerAddr: "addr-" + string(id)}}
	}
	b.Fleet.Claim("test").Publish(fleetView)
	go New(b, s, pull, Options{}, nil, zerolog.Nop()).Run(ctx)
	return &Server{Board: b}
}

// documentWithRules returns a document of a version with many rules. One of them
// differs from version to version.
func documentWithRules(version, rules int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":"r%d","clusters":[{"name":"s"}],"listeners":[{"host":"h","rules":[`, version)
	for i := range rules {
		if i > 0 {
			b.WriteByte(',')
		}
		timeout := 1.2
		if i == rules/2 {
			timeout = float64(version)
		}
		fmt.Fprintf(&b, `{"name":"rule-%d","kind":"idempotent","match":{"prefix":"/p%d/"},"action":{"service":"s","timeout_s":%g}}`, i, i, timeout)
	}
	b.WriteString(`]}]}`)
	return []byte(b.String())
}

// Guards against a change of some values that costs as many bytes as the whole
// configuration, and against a difference that a node cannot apply: a chain of nodes
// gets each version from its predecessor.
func TestVersionsArePulledAsDifferences(t *testing.T) {
	withStore(t, func(t *testing.T, ctx context.Context, s *store.Store) {
		nodes := peers{}
		received := make(chan *PullResponse, 8)
		pull := func(ctx context.Context, addr string, request *PullRequest, progress func()) (*PullResponse, error) {
			response, err := nodes.pull(ctx, addr, request, progress)
			received <- response
			return response, err
		}
		origin := startController(ctx, "a", nil, newClient(s), nil)
		nodes["0"] = &Server{Board: origin}
		for i := 1; i <= 3; i++ {
			nodes[fmt.Sprint(i)] = startPeer(ctx, fmt.Sprint(i), &unreachableStore{}, pull)
		}
		var whole int
		for version := 1; version <= 4; version++ {
			putDocument(t, s, documentWithRules(version, 500))
			time.Sleep(startupGrace + time.Second)
			require.EqualValues(t, version, origin.Routes.Load().Version)
			for i := 1; i <= 3; i++ {
				nodes[fmt.Sprint(i)].Board.RouteTableHints.Post(board.RouteTableHint{From: fmt.Sprint(i - 1), Version: uint64(version)})
				time.Sleep(time.Second)
				require.EqualValues(t, version, nodes[fmt.Sprint(i)].Board.Routes.Load().Version)
				require.Equal(t, documentWithRules(version, 500), nodes[fmt.Sprint(i)].Board.RouteDocument.Load().Document)
				require.Len(t, received, 1)
				response := <-received
				require.EqualValues(t, version-1, response.DifferenceFrom)
				if version == 1 {
					whole = len(response.Data)
				} else {
					require.Less(t, 10*len(response.Data), whole)
				}
			}
		}
	})
}

// Guards against a document from the store, or from a node that answers, that waits
// for a pull from a node that does not.
func TestSilentSourceDelaysNoOther(t *testing.T) {
	withStore(t, func(t *testing.T, ctx context.Context, s *store.Store) {
		nodes := peers{"good": &Server{Board: startController(ctx, "a", nil, newClient(s), nil)}}
		putVersion(t, s, 3)
		time.Sleep(startupGrace + time.Second)
		puller := startPeer(ctx, "p", &unreachableStore{}, nodes.pull)
		puller.Board.RouteTableHints.Post(board.RouteTableHint{From: "silent", Version: 3})
		time.Sleep(10 * time.Millisecond)
		puller.Board.RouteTableHints.Post(board.RouteTableHint{From: "good", Version: 3})
		time.Sleep(400 * time.Millisecond)
		require.EqualValues(t, 3, puller.Board.Routes.Load().Version)

		reader := startController(ctx, "a", nil, newClient(s), nodes.pull)
		time.Sleep(startupGrace + time.Second)
		for _, addr := range []string{"silent-1", "silent-2", "silent-3"} {
			reader.RouteTableHints.Post(board.RouteTableHint{From: addr, Version: 9})
		}
		putVersion(t, s, 4)
		time.Sleep(readInterval + 100*time.Millisecond)
		require.EqualValues(t, 4, reader.Routes.Load().Version)
		require.Less(t, reader.ConfigConfirmed.Age(4, time.Now()), readInterval+100*time.Millisecond)
	})
}

// Guards against a version that is not pulled again, because the pull failed and no
// further message announces it.
func TestFailedPullIsRepeated(t *testing.T) {
	withStore(t, func(t *testing.T, ctx context.Context, s *store.Store) {
		var failed atomic.Int64
		good := pullOf(map[string][]byte{"b": document(6)})
		node := startPeer(ctx, "p", &unreachableStore{}, func(ctx context.Context, addr string, request *PullRequest, progress func()) (*PullResponse, error) {
			if failed.Add(1) <= 2 {
				return nil, errors.New("connection reset")
			}
			return good(ctx, addr, request, progress)
		})
		node.Board.RouteTableHints.Post(board.RouteTableHint{From: "b", Version: 6})
		time.Sleep(3 * time.Second)
		require.EqualValues(t, 6, node.Board.Routes.Load().Version)
	})
}

// Guards against a node that serves more pulls at a time than its link carries, so
// that none of them ends, and against one that is turned away without another source.
func TestBusyNodeNamesOthers(t *testing.T) {
	withStore(t, func(t *testing.T, ctx context.Context, s *store.Store) {
		putDocument(t, s, documentWithRules(1, 500))
		b := startController(ctx, "a", nil, newClient(s), nil)
		time.Sleep(startupGrace + time.Second)
		server := &Server{Board: b}
		limit := distribution.MaxServed(0, 0)
		var releases []func(bool)
		for i := range limit {
			response, done, err := server.Respond(&PullRequest{PeerAddr: fmt.Sprint(i)}, time.Now())
			require.NoError(t, err)
			require.False(t, response.Busy)
			releases = append(releases, done)
		}
		response, _, err := server.Respond(&PullRequest{PeerAddr: "x"}, time.Now())
		require.NoError(t, err)
		require.True(t, response.Busy)
		require.Empty(t, response.Data)
		require.Empty(t, response.Holders)
		releases[0](true)
		releases[0](true)
		releases[1](false)
		for range 2 {
			response, _, err = server.Respond(&PullRequest{PeerAddr: "y"}, time.Now())
			require.NoError(t, err)
			require.False(t, response.Busy)
		}
		response, _, err = server.Respond(&PullRequest{PeerAddr: "z"}, time.Now())
		require.NoError(t, err)
		require.True(t, response.Busy)
		require.Equal(t, []string{"0"}, response.Holders)

		nodes := peers{"busy": server, "0": startPeer(ctx, "0", &unreachableStore{}, pullOf(map[string][]byte{"first": documentWithRules(1, 500)}))}
		nodes["0"].Board.RouteTableHints.Post(board.RouteTableHint{From: "first", Version: 1})
		time.Sleep(time.Second)
		node := startPeer(ctx, "p", &unreachableStore{}, nodes.pull)
		node.Board.RouteTableHints.Post(board.RouteTableHint{From: "busy", Version: 1})
		time.Sleep(time.Second)
		require.EqualValues(t, 1, node.Board.Routes.Load().Version)
	})
}

// Guards against a node that confirms a version which is not in force there, so that
// others do not read the newer one from the store.
func TestOnlyTheVersionInForceIsConfirmed(t *testing.T) {
	withStore(t, func(t *testing.T, ctx context.Context, s *store.Store) {
		putVersion(t, s, 1)
		b := startController(ctx, "a", nil, newClient(s), nil)
		time.Sleep(startupGrace + time.Second)
		now := time.Now()
		require.Less(t, b.ConfigConfirmed.Age(1, now), time.Second)
		require.Equal(t, time.Hour, b.ConfigConfirmed.Age(2, now))
		b.ConfigConfirmed.Confirm(2, now)
		require.EqualValues(t, time.Hour.Milliseconds(), b.ConfigAdvertisement(now).ConfirmedAgeMillis)
		b.ConfigConfirmed.Confirm(1, now.Add(time.Second))
		require.Equal(t, time.Hour, b.ConfigConfirmed.Age(1, now.Add(time.Second)))
		require.Zero(t, b.ConfigConfirmed.Age(2, now))
	})
}

// Guards against a damaged or outdated response that replaces the configuration.
func TestUnusableResponsesAreRefused(t *testing.T) {
	difference, err := routedoc.Compress(document(9), documentWithRules(1, 50))
	require.NoError(t, err)
	for name, response := range map[string]*PullResponse{
		"damaged":                     {Version: 9, Data: []byte("nonsense")},
		"difference from another":     {Version: 9, Data: difference, DifferenceFrom: 5},
		"difference of another base":  {Version: 9, Data: difference, DifferenceFrom: 2},
		"no document":                 {Version: 9},
		"busy with itself":            {Version: 9, Busy: true, Holders: []string{"", "p", "b"}},
		"age in the future":           {Version: 9, AgeMillis: -5, Data: []byte("nonsense")},
		"version that is not in data": {Version: 9, Data: mustCompress(t, document(1))},
	} {
		t.Run(name, func(t *testing.T) {
			withStore(t, func(t *testing.T, ctx context.Context, s *store.Store) {
				var pulls atomic.Int64
				node := startPeer(ctx, "p", &unreachableStore{}, func(_ context.Context, addr string, _ *PullRequest, _ func()) (*PullResponse, error) {
					if addr == "first" {
						return &PullResponse{Version: 2, Data: mustCompress(t, document(2))}, nil
					}
					pulls.Add(1)
					return response, nil
				})
				node.Board.RouteTableHints.Post(board.RouteTableHint{From: "first", Version: 2})
				time.Sleep(time.Second)
				node.Board.RouteTableHints.Post(board.RouteTableHint{From: "b", Version: 9})
				time.Sleep(5 * time.Second)
				require.EqualValues(t, 2, node.Board.Routes.Load().Version)
				require.Positive(t, pulls.Load())
				require.Less(t, pulls.Load(), int64(120), "a source that is of no use is not asked without a pause")
			})
		})
	}
}

func mustCompress(t *testing.T, document []byte) []byte {
	t.Helper()
	data, err := routedoc.Compress(document, nil)
	require.NoError(t, err)
	return data
}
