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

// Errors of FetchRecords.
const (
	// ErrNotAdopted: the member had not adopted the epoch; the request has
	// informed it.
	ErrNotAdopted = errors.ConstError("member has not adopted the epoch")
	// ErrMemoryFull: key_memory has no room for the transferred records.
	ErrMemoryFull = errors.ConstError("key_memory has no room for the transferred key records")
)

// maxPageBytes is the size after which a page ends. Including its last record, a
// page stays below the frame limit.
const maxPageBytes = 1 << 20

// completedTransfer identifies a transfer whose last page was sent.
type completedTransfer struct {
	service   string
	epoch     uint64
	requester board.InstanceID
}

// HandleTransfer responds to a node that asks for an epoch or for its records. It
// sends records only when this node has adopted the requested epoch.
func (k *KeyController) HandleTransfer(t *wire.Transfer) *wire.TransferPage {
	page := &wire.TransferPage{Incarnation: k.Incarnation}
	view := k.view(t.Service)
	if view != nil {
		page.Epoch = view.Epoch.Number
		page.NewerEpoch = epochIfNewer(view, t.KnownEpoch)
	}
	k.forwardEpoch(t.Epoch)
	if t.KnownEpoch > page.Epoch {
		k.ForwardEpochNotice(wire.EpochNotice{Service: t.Service, EpochNumber: t.KnownEpoch, SourceAddr: k.peerAddr(t.Requester)})
	}
	if t.EpochOnly || t.Epoch == nil || view == nil || view.Epoch.Number != t.Epoch.Number {
		return page
	}
	page.EpochAdopted = true
	page.Horizon = view.FormerHorizon
	k.fillPage(page, view, t)
	if page.NextCursor == "" {
		k.completedTransfers.Store(completedTransfer{t.Service, view.Epoch.Number, t.Requester}, struct{}{})
	}
	return page
}

func (k *KeyController) peerAddr(id board.InstanceID) string {
	m, _ := k.Board.Members.Load().Get(id)
	return m.PeerAddr
}

// pageRecord is a record to be sent with its position in the order of the
// transfer.
type pageRecord struct {
	cursor string
	record wire.TransferRecord
}

// fillPage adds the records after the request's cursor, in the order of their
// cursors.
func (k *KeyController) fillPage(page *wire.TransferPage, view *board.EpochView, t *wire.Transfer) {
	records := k.recordsToTransfer(view, t)
	slices.SortFunc(records, func(a, b pageRecord) int { return cmp.Compare(a.cursor, b.cursor) })
	size := int64(0)
	for i, item := range records {
		if size > maxPageBytes {
			page.NextCursor = records[i-1].cursor
			return
		}
		page.Records = append(page.Records, item.record)
		size += board.KeyRecordSize(item.record.ID, &item.record.Record)
	}
}

func (k *KeyController) recordsToTransfer(view *board.EpochView, t *wire.Transfer) []pageRecord {
	var records []pageRecord
	now := time.Now()
	collect := func(prefix string) func(board.KeyID, *board.KeyRecord) bool {
		return func(id board.KeyID, r *board.KeyRecord) bool {
			cursor := prefix + id.Caller + "\x00" + id.Key
			if id.Service != t.Service || cursor <= t.Cursor || now.After(r.ExpiresAt) {
				return true
			}
			if home, _ := keyhome.Home(view.Epoch.Members, id); home.Instance == t.Requester {
				records = append(records, pageRecord{cursor, wire.TransferRecord{ID: id, Record: *r}})
			}
			return true
		}
	}
	k.Board.Keys.HomeRecords.Each(collect("h"))
	k.Board.Keys.ExecutorRecords.Each(collect("r"))
	return records
}

// FetchRecords requests from a member of a former epoch the records of the keys
// whose home is this node in the given epoch, and merges them. A newer epoch in a
// response is passed to the epoch controller and ends the fetch with an error.
func (k *KeyController) FetchRecords(ctx context.Context, epoch *board.Epoch, from board.EpochMember) (keyhome.MemberTransfer, error) {
	request := &wire.Transfer{Service: epoch.Service, KnownEpoch: epoch.Number, Epoch: epoch, Requester: k.Self}
	for {
		page, err := k.fetchPage(ctx, from, request)
		if err != nil {
			return keyhome.MemberTransfer{}, errors.Trace(err)
		}
		k.forwardEpoch(page.NewerEpoch)
		if page.Incarnation != from.Incarnation {
			return keyhome.MemberTransfer{Ended: true}, nil
		}
		if !page.EpochAdopted {
			return keyhome.MemberTransfer{}, errors.Trace(ErrNotAdopted)
		}
		for i := range page.Records {
			if !k.mergeHomeRecord(page.Records[i].ID, &page.Records[i].Record) {
				return keyhome.MemberTransfer{}, errors.Trace(ErrMemoryFull)
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
	return k.exchangeTransfer(ctx, from, request)
}

// pageTimeout limits the request for one page of up to 2 MB.
const pageTimeout = 2 * time.Second

// PullEpoch asks a node for its epoch of a service. The page contains the epoch if
// its number is above known, and in any case its number and the incarnation of
// the node.
func (k *KeyController) PullEpoch(ctx context.Context, service string, known uint64, from board.EpochMember) (*wire.TransferPage, error) {
	ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	return k.Peers.Transfer(ctx, from, &wire.Transfer{Service: service, EpochOnly: true, KnownEpoch: known, Requester: k.Self})
}

// AnnounceEpoch sends an epoch to a node.
func (k *KeyController) AnnounceEpoch(ctx context.Context, epoch *board.Epoch, to board.EpochMember) error {
	ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	_, err := k.Peers.Transfer(ctx, to, &wire.Transfer{
		Service: epoch.Service, EpochOnly: true, KnownEpoch: epoch.Number, Epoch: epoch, Requester: k.Self,
	})
	return errors.Trace(err)
}
