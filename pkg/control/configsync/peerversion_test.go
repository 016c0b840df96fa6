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

// countingPeers counts the pull requests.
type countingPeers struct {
	peerBoards
	pulls atomic.Int64
}

func (p *countingPeers) Exchange(ctx context.Context, addr string, requestType wire.MessageType, message any, responseType wire.MessageType, response any) error {
	p.pulls.Add(1)
	return p.peerBoards.Exchange(ctx, addr, requestType, message, responseType, response)
}

// Guards against a node that waits for its next regular pull although a peer has
// advertised a newer version, against one that does not advertise its own, and
// against unnecessary pulls, which would be most of the control traffic.
func TestAdvertisedVersionIsPulledImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := &countingPeers{peerBoards: peerBoards{}}
		ahead, behind := newTestController("ahead", nil, peers.peerBoards), newTestController("behind", nil, peers.peerBoards)
		peers.peerBoards["ahead"], peers.peerBoards["behind"] = ahead.Board, behind.Board
		behind.Peers = peers
		first := encodedDocument(t, 1, "a")
		ahead.handleEvent(event{data: first})
		behind.handleEvent(event{data: first})
		stop := startControllers(t, behind)
		time.Sleep(antiEntropyInterval / 2)
		pullsBefore := peers.pulls.Load()
		require.LessOrEqual(t, pullsBefore, int64(1), "pulls without a newer version")
		ahead.handleEvent(event{data: encodedDocument(t, 2, "a")})
		require.Equal(t, board.NamedVersion{Name: board.ConfigVersionName, Number: 1}, <-ahead.Board.OutgoingVersions.Events())
		require.Equal(t, board.NamedVersion{Name: board.ConfigVersionName, Number: 2}, <-ahead.Board.OutgoingVersions.Events())
		peerVersion := board.PeerVersion{Name: board.ConfigVersionName, Number: 2, Peer: board.Neighbour{Instance: "ahead", Addr: "ahead"}}
		for range 5 {
			behind.Board.ConfigVersions.Post(peerVersion)
		}
		synctest.Wait()
		require.EqualValues(t, 2, behind.activeVersion())
		require.Equal(t, pullsBefore+1, peers.pulls.Load(), "repeated advertisements must cause one pull")
		stop()
	})
}

// Guards against a node that keeps pulling from the failed origin of a rumor
// although a live peer advertises the same version.
func TestAdvertisingPeerReplacesRumorOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := peerBoards{}
		ahead, behind := newTestController("ahead", nil, peers), newTestController("behind", nil, peers)
		// The node that advertises the version is not a ring neighbour.
		behind.PullSources = func() []configversion.Source { return nil }
		peers["ahead"] = ahead.Board
		ahead.handleEvent(event{data: encodedDocument(t, 1, "a")})
		stop := startControllers(t, behind)
		postConfigRumor(behind.Board, wire.ConfigPull{Version: 1, ChangeID: "x", Addr: "dead"})
		synctest.Wait()
		require.Zero(t, behind.activeVersion())
		behind.Board.ConfigVersions.Post(board.PeerVersion{Name: board.ConfigVersionName, Number: 1, Peer: board.Neighbour{Addr: "ahead"}})
		time.Sleep(2 * wantedPullInterval)
		require.EqualValues(t, 1, behind.activeVersion())
		stop()
	})
}
