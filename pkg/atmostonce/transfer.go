package atmostonce

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/keyhome"
	"mangostand.example/mangostand/pkg/wire"
)

// Errors of Fetch.
const (
	// ErrNotAdopted: the member does not have the epoch yet and has now heard
	// of it.
	ErrNotAdopted = errors.ConstError("member has not adopted the epoch")
	// ErrNoRoom: key_memory does not hold the transferred records.
	ErrNoRoom = errors.ConstError("no room for transferred key records")
)

// maxPageSize bounds the records of a page in bytes; with the last record it
// stays below the limit of a frame.
const maxPageSize = 1 << 20

// servedTransfer names a transfer that has been answered to its end.
type servedTransfer struct {
	service   string
	epoch     uint64
	requester board.InstanceID
}

// HandleTransfer answers a node that asks for an epoch or for its records. A
// node that sends records has adopted the epoch of the request.
func (k *KeyController) HandleTransfer(t *wire.Transfer) *wire.TransferPage {
	page := &wire.TransferPage{Incarnation: k.Incarnation}
	view := k.view(t.Service)
	if view != nil {
		page.Epoch = view.Epoch.Number
		page.NewerEpoch = newerThan(view, t.KnownEpoch)
	}
	k.learnEpoch(t.Epoch)
	if t.KnownEpoch > page.Epoch {
		k.ForwardEpochNotice(wire.EpochNotice{Service: t.Service, EpochNumber: t.KnownEpoch, SourceAddr: k.addrOf(t.Requester)})
	}
	if t.EpochOnly || t.Epoch == nil || view == nil || view.Epoch.Number != t.Epoch.Number {
		return page
	}
	page.EpochAdopted = true
	page.Horizon = view.FormerHorizon
	k.fillPage(page, view, t)
	if page.NextCursor == "" {
		k.served.Store(servedTransfer{t.Service, view.Epoch.Number, t.Requester}, struct{}{})
	}
	return page
}

func (k *KeyController) addrOf(id board.InstanceID) string {
	m, _ := k.Board.Members.Load().Get(id)
	return m.PeerAddr
}

// candidate is a record to be sent with its place in the order of pages.
type candidate struct {
	cursor string
	key    wire.TransferRecord
}

// fillPage adds the records after the cursor in the order of their cursors.
func (k *KeyController) fillPage(page *wire.TransferPage, view *board.EpochView, t *wire.Transfer) {
	candidates := k.candidates(view, t)
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cursor, b.cursor) })
	size := int64(0)
	for i, c := range candidates {
		if size > maxPageSize {
			page.NextCursor = candidates[i-1].cursor
			return
		}
		page.Records = append(page.Records, c.key)
		size += board.KeyRecordSize(c.key.ID, &c.key.Record)
	}
}

func (k *KeyController) candidates(view *board.EpochView, t *wire.Transfer) []candidate {
	var out []candidate
	now := time.Now()
	add := func(prefix string) func(board.KeyID, *board.KeyRecord) bool {
		return func(id board.KeyID, r *board.KeyRecord) bool {
			cursor := prefix + id.Caller + "\x00" + id.Key
			if id.Service != t.Service || cursor <= t.Cursor || now.After(r.ExpiresAt) {
				return true
			}
			if home, _ := keyhome.Home(view.Epoch.Members, id); home.Instance == t.Requester {
				out = append(out, candidate{cursor, wire.TransferRecord{ID: id, Record: *r}})
			}
			return true
		}
	}
	k.Board.Keys.HomeRecords.Each(add("h"))
	k.Board.Keys.ExecutorRecords.Each(add("r"))
	return out
}

// Fetch asks a member of the former epoch for the records of keys whose home
// this node is in the epoch, and merges them. An answer with a newer epoch is
// passed to the epoch controller and ends the fetch.
func (k *KeyController) Fetch(ctx context.Context, epoch *board.Epoch, from board.EpochMember) (keyhome.MemberTransfer, error) {
	request := &wire.Transfer{Service: epoch.Service, KnownEpoch: epoch.Number, Epoch: epoch, Requester: k.Self}
	for {
		page, err := k.fetchPage(ctx, from, request)
		if err != nil {
			return keyhome.MemberTransfer{}, errors.Trace(err)
		}
		k.learnEpoch(page.NewerEpoch)
		if page.Incarnation != from.Incarnation {
			return keyhome.MemberTransfer{Ended: true}, nil
		}
		if !page.EpochAdopted {
			return keyhome.MemberTransfer{}, errors.Trace(ErrNotAdopted)
		}
		for i := range page.Records {
			if !k.mergeHome(page.Records[i].ID, &page.Records[i].Record) {
				return keyhome.MemberTransfer{}, errors.Trace(ErrNoRoom)
			}
		}
		if page.NextCursor == "" {
			return keyhome.MemberTransfer{Complete: true, Horizon: page.Horizon}, nil
		}
		request.Cursor = page.NextCursor
	}
}

func (k *KeyController) fetchPage(ctx context.Context, from board.EpochMember, request *wire.Transfer) (*wire.TransferPage, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return k.transferFrom(ctx, from, request)
}

// pageTimeout bounds the exchange of one page of up to 2 MB.
const pageTimeout = 2 * time.Second

// Pull asks a node for its epoch of a service when that is above known, 0 for
// any. It returns the number and the incarnation of the node.
func (k *KeyController) Pull(ctx context.Context, service string, known uint64, from board.EpochMember) (*wire.TransferPage, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	return k.Peers.Transfer(ctx, from, &wire.Transfer{Service: service, EpochOnly: true, KnownEpoch: known, Requester: k.Self})
}

// Announce tells a node an epoch.
func (k *KeyController) Announce(ctx context.Context, epoch *board.Epoch, to board.EpochMember) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	_, err := k.Peers.Transfer(ctx, to, &wire.Transfer{
		Service: epoch.Service, EpochOnly: true, KnownEpoch: epoch.Number, Epoch: epoch, Requester: k.Self,
	})
	return errors.Trace(err)
}
