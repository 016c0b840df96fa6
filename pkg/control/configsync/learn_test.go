package configsync

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/configversion"
	"mangostand.example/mangostand/pkg/wire"
)

// countedPeers counts the pulls.
type countedPeers struct {
	boards
	pulls atomic.Int64
}

func (p *countedPeers) Exchange(ctx context.Context, addr string, send wire.MessageType, message any, receive wire.MessageType, answer any) error {
	p.pulls.Add(1)
	return p.boards.Exchange(ctx, addr, send, message, receive, answer)
}

// Guards against a node that waits for its next regular pull although a peer
// has stated a newer version, against one that does not state its own, and
// against pulls without need, which cost most of the control traffic.
func TestStatedVersionIsPulledAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := &countedPeers{boards: boards{}}
		ahead, behind := node("ahead", nil, peers.boards), node("behind", nil, peers.boards)
		peers.boards["ahead"], peers.boards["behind"] = ahead.Board, behind.Board
		behind.Peers = peers
		first := versionDocument(t, 1, "a")
		ahead.handle(event{data: first})
		behind.handle(event{data: first})
		stop := start(t, behind)
		time.Sleep(exchangeInterval / 2)
		quiet := peers.pulls.Load()
		require.LessOrEqual(t, quiet, int64(1), "pulls without a newer version")
		ahead.handle(event{data: versionDocument(t, 2, "a")})
		require.Equal(t, board.NamedVersion{Name: board.ConfigVersionName, Number: 1}, <-ahead.Board.OutgoingVersions.Events())
		require.Equal(t, board.NamedVersion{Name: board.ConfigVersionName, Number: 2}, <-ahead.Board.OutgoingVersions.Events())
		stated := board.PeerVersion{Name: board.ConfigVersionName, Number: 2, Peer: board.Neighbour{Instance: "ahead", Addr: "ahead"}}
		for range 5 {
			behind.Board.ConfigVersions.Post(stated)
		}
		synctest.Wait()
		require.EqualValues(t, 2, behind.version())
		require.Equal(t, quiet+1, peers.pulls.Load(), "one statement or more, one pull")
		stop()
	})
}

// Guards against a search at the dead origin of a rumor while a live peer says
// that it has the version.
func TestStatingPeerReplacesOriginOfRumor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := boards{}
		ahead, behind := node("ahead", nil, peers), node("behind", nil, peers)
		// The node that states the version is not a ring neighbour.
		behind.PullSources = func() []configversion.Source { return nil }
		peers["ahead"] = ahead.Board
		ahead.handle(event{data: versionDocument(t, 1, "a")})
		stop := start(t, behind)
		postRumor(behind.Board, wire.ConfigPull{Version: 1, ChangeID: "x", Addr: "dead"})
		synctest.Wait()
		require.Zero(t, behind.version())
		behind.Board.ConfigVersions.Post(board.PeerVersion{Name: board.ConfigVersionName, Number: 1, Peer: board.Neighbour{Addr: "ahead"}})
		time.Sleep(2 * wantedInterval)
		require.EqualValues(t, 1, behind.version())
		stop()
	})
}
