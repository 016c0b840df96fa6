package epoch

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/platform"
)

// noMajority is a key protocol whose peers do not answer.
type noMajority struct{ Keys }

func (noMajority) AskMembers(context.Context, *board.Epoch) (*board.Epoch, bool) { return nil, false }

// storeWith holds one epoch.
type storeWith struct {
	Store
	epoch *board.Epoch
}

func (s storeWith) Get(context.Context, string) (platform.Entry, error) {
	if s.epoch == nil {
		return platform.Entry{}, platform.ErrNotFound
	}
	value, err := json.Marshal(s.epoch)
	return platform.Entry{Value: value, Revision: 1}, err
}

// Guards against a confirmation by a store that lost its last writes: a higher
// epoch may be in force although it holds none.
func TestOnlyTheSameEpochInTheStoreConfirms(t *testing.T) {
	epochAt := func(number uint64) *board.Epoch {
		return &board.Epoch{Service: "s", Number: number, Members: []board.EpochMember{{Instance: "n0"}}}
	}
	cases := map[string]struct {
		stored    *board.Epoch
		confirmed bool
		higher    bool
	}{
		"same":   {epochAt(5), true, false},
		"older":  {epochAt(4), false, false},
		"none":   {nil, false, false},
		"higher": {epochAt(6), false, true},
	}
	for name, c := range cases {
		controller := &Controller{keys: noMajority{}, store: storeWith{epoch: c.stored}}
		higher, confirmed := controller.askForHigher(context.Background(), epochAt(5))
		require.Equal(t, c.confirmed, confirmed, name)
		require.Equal(t, c.higher, higher != nil, name)
	}
}
