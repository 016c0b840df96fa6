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

// holder is a key protocol in which one peer has an epoch.
type holder struct {
	Keys
	addr  string
	epoch *board.Epoch
	pulls atomic.Int64
}

func (h *holder) Pull(_ context.Context, _ string, known uint64, from board.EpochMember) (*wire.TransferPage, error) {
	h.pulls.Add(1)
	if from.PeerAddr != h.addr {
		return nil, errors.New("no answer")
	}
	page := &wire.TransferPage{Epoch: h.epoch.Number}
	if h.epoch.Number > known {
		page.NewerEpoch = h.epoch
	}
	return page, nil
}

// Guards against a node that hears of a higher epoch from a peer's version
// numbers and does not fetch it, or does not state the number itself, and
// against regular questions without need.
func TestStatedEpochIsPulled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := board.New("self")
		config := dynconf.Default()
		config.Services["s"] = &dynconf.Service{Name: "s", InstancePatterns: []string{"*"}}
		b.Config.Claim("test").Publish(config)
		peer := board.Member{Instance: "n0", Service: "s", PeerAddr: "n0", State: board.MemberServing}
		b.Members.Claim("test").Publish(board.NewMembers("self", map[board.InstanceID]board.Member{"n0": peer}))
		keys := &holder{addr: "n1", epoch: &board.Epoch{Service: "s", Number: 7, Members: []board.EpochMember{{Instance: "n0"}}}}
		ctx, cancel := context.WithCancel(t.Context())
		c := New(b, keys, nil, "self", 1, zerolog.Nop())
		go c.Run(ctx)

		// No member has the epoch: the questions for it become rare.
		time.Sleep(time.Minute)
		require.Less(t, keys.pulls.Load(), int64(20))
		ahead := board.PeerVersion{Number: 7, Peer: board.Neighbour{Instance: "n1", Addr: "n1"}}
		for _, name := range []string{board.EpochVersionPrefix + "unknown", board.ConfigVersionName, board.EpochVersionPrefix + "s"} {
			ahead.Name = name
			b.EpochVersions.Post(ahead)
		}
		synctest.Wait()
		require.EqualValues(t, 7, b.Epochs.Load().Get("s").Epoch.Number)
		require.Equal(t, board.NamedVersion{Name: board.EpochVersionPrefix + "s", Number: 7}, <-b.OutgoingVersions.Events())

		asked := keys.pulls.Load()
		b.EpochVersions.Post(ahead)
		time.Sleep(pullInterval / 2)
		require.LessOrEqual(t, keys.pulls.Load(), asked+1, "questions without a higher epoch")
		cancel()
		synctest.Wait()
	})
}
