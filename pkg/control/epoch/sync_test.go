package epoch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/wire"
)

// singleEpochPeer implements Peers; only the peer at peerAddr has the epoch and
// responds. It counts the pulls.
type singleEpochPeer struct {
	Peers
	peerAddr string
	epoch    *board.Epoch
	pulls    atomic.Int64
}

func (p *singleEpochPeer) PullEpoch(_ context.Context, _ string, known uint64, from board.EpochMember) (*wire.TransferPage, error) {
	p.pulls.Add(1)
	if from.PeerAddr != p.peerAddr {
		return nil, errors.New("no response")
	}
	page := &wire.TransferPage{Epoch: p.epoch.Number}
	if p.epoch.Number > known {
		page.NewerEpoch = p.epoch
	}
	return page, nil
}

// Guards against a node that does not pull a newer epoch that a peer advertises,
// against one that does not advertise the number itself, and against unnecessary
// pulls.
func TestAdvertisedEpochIsPulled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := board.New("self")
		config := dynconf.Default()
		config.Services["s"] = &dynconf.Service{Name: "s", InstancePatterns: []string{"*"}}
		b.Config.Claim("test").Publish(config)
		peer := board.Member{Instance: "n0", Service: "s", PeerAddr: "n0", State: board.MemberServing}
		b.Members.Claim("test").Publish(board.NewMembers("self", map[board.InstanceID]board.Member{"n0": peer}))
		peers := &singleEpochPeer{peerAddr: "n1", epoch: &board.Epoch{Service: "s", Number: 7, Members: []board.EpochMember{{Instance: "n0"}}}}
		ctx, cancel := context.WithCancel(t.Context())
		c := New(b, peers, nil, "self", 1, zerolog.Nop())
		go c.Run(ctx)

		// No member has the epoch, so the time between pulls grows.
		time.Sleep(time.Minute)
		require.Less(t, peers.pulls.Load(), int64(20))
		peerVersion := board.PeerVersion{Number: 7, Peer: board.Neighbour{Instance: "n1", Addr: "n1"}}
		for _, name := range []string{board.EpochVersionPrefix + "unknown", board.ConfigVersionName, board.EpochVersionPrefix + "s"} {
			peerVersion.Name = name
			b.EpochVersions.Post(peerVersion)
		}
		synctest.Wait()
		require.EqualValues(t, 7, b.Epochs.Load().Get("s").Epoch.Number)
		require.Equal(t, board.NamedVersion{Name: board.EpochVersionPrefix + "s", Number: 7}, <-b.OutgoingVersions.Events())

		pullsBefore := peers.pulls.Load()
		b.EpochVersions.Post(peerVersion)
		time.Sleep(antiEntropyInterval / 2)
		require.LessOrEqual(t, peers.pulls.Load(), pullsBefore+1, "pulls without a newer epoch")
		cancel()
		synctest.Wait()
	})
}
