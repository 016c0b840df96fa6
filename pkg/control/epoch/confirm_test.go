package epoch

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/platform"
)

// deadPeers implements Peers with peers that do not respond.
type deadPeers struct{ Peers }

func (deadPeers) ConfirmEpoch(context.Context, *board.Epoch) (*board.Epoch, bool) { return nil, false }

// singleEpochStore is a store that contains one epoch, or none if it is nil.
type singleEpochStore struct {
	Store
	epoch *board.Epoch
}

func (s singleEpochStore) Get(context.Context, string) (platform.Entry, error) {
	if s.epoch == nil {
		return platform.Entry{}, platform.ErrNotFound
	}
	value, err := json.Marshal(s.epoch)
	return platform.Entry{Value: value, Revision: 1}, err
}

// Guards against a confirmation by a store that has lost its last writes: a newer
// epoch may be in force although the store does not contain it.
func TestStoreConfirmsOnlyEqualEpoch(t *testing.T) {
	epochAt := func(number uint64) *board.Epoch {
		return &board.Epoch{Service: "s", Number: number, Members: []board.EpochMember{{Instance: "n0"}}}
	}
	cases := map[string]struct {
		stored    *board.Epoch
		confirmed bool
		newer     bool
	}{
		"same":   {epochAt(5), true, false},
		"older":  {epochAt(4), false, false},
		"none":   {nil, false, false},
		"higher": {epochAt(6), false, true},
	}
	for name, c := range cases {
		controller := &Controller{peers: deadPeers{}, store: singleEpochStore{epoch: c.stored}}
		newer, confirmed := controller.checkForNewer(context.Background(), epochAt(5))
		require.Equal(t, c.confirmed, confirmed, name)
		require.Equal(t, c.newer, newer != nil, name)
	}
}
