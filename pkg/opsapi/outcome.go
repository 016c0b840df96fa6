package opsapi

import (
	"context"
	"net/http"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/keyhome"
	"mangostand.example/mangostand/pkg/wire"
)

// KeyLookup reads the record of an idempotency key from its home, the node that
// keeps the record, without changing it.
type KeyLookup interface {
	Lookup(ctx context.Context, id board.KeyID) (*wire.ClaimResponse, error)
}

// Values of KeyOutcome.State.
const (
	// KeyRecorded: the call has ended, and its outcome is recorded.
	KeyRecorded = "recorded"
	// KeyInProgress: the call may be running now.
	KeyInProgress = "in-progress"
	// KeyNotRun: the call has not been executed so far.
	KeyNotRun = "not-run"
	// KeyUnknown: the call may have been executed.
	KeyUnknown = "unknown"
	// KeyUnavailable: the home of the key cannot be reached or cannot answer now.
	KeyUnavailable = "unavailable"
)

// KeyOutcome is the response to GET /v1/outcome/{key}?service=&caller=.
type KeyOutcome struct {
	board.KeyID
	State    string           `json:"state"`
	Outcome  string           `json:"outcome,omitempty"`
	Reason   board.Reason     `json:"reason,omitempty"`
	Executor board.InstanceID `json:"executor,omitempty"`
	// Status and ResponseDigest are the HTTP status and the SHA-256 of the body of
	// the recorded response. ResponseStored is set when the body is stored as well.
	Status         uint16 `json:"status,omitempty"`
	ResponseDigest string `json:"response_digest,omitempty"`
	ResponseStored bool   `json:"response_kept,omitempty"`
	// ExpiresAt is the time from which the record may be dropped.
	ExpiresAt *time.Time `json:"expires,omitempty"`
	Epoch     uint64     `json:"epoch"`
}

func newOutcomeHandler(keys KeyLookup) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := board.KeyID{
			Service: r.URL.Query().Get("service"), Caller: r.URL.Query().Get("caller"), Key: r.PathValue("key"),
		}
		if _, ok := keyhome.KeyTime(id.Key); !ok || id.Service == "" || id.Caller == "" {
			http.Error(w, "expected a key (UUID version 7), service and caller", http.StatusBadRequest)
			return
		}
		claimResponse, err := keys.Lookup(r.Context(), id)
		if err != nil {
			claimResponse = &wire.ClaimResponse{Status: wire.ClaimRefused, Reason: board.ReasonKeyHomeUnavailable}
		}
		writeJSON(w, newKeyOutcome(id, claimResponse))
	}
}

func newKeyOutcome(id board.KeyID, claimResponse *wire.ClaimResponse) KeyOutcome {
	out := KeyOutcome{KeyID: id, Reason: claimResponse.Reason, Epoch: claimResponse.Epoch, State: KeyUnavailable}
	switch claimResponse.Status {
	case wire.ClaimOutcomeRecorded:
		setRecordedOutcome(&out, claimResponse.Record)
	case wire.ClaimInProgress:
		out.State = KeyInProgress
	case wire.ClaimNotFound:
		out.State = KeyNotRun
	case wire.ClaimOutcomeUnknown:
		out.State = KeyUnknown
	}
	return out
}

func setRecordedOutcome(out *KeyOutcome, record *board.KeyRecord) {
	out.State = KeyRecorded
	out.Outcome, out.Reason = record.Outcome.String(), record.Reason
	out.Executor, out.ExpiresAt = record.Executor, &record.ExpiresAt
	if response := record.Response; response != nil {
		out.Status, out.ResponseDigest, out.ResponseStored = response.Status, response.BodyDigest, response.BodyStored
	}
}

// EpochStatus describes the current epoch of a service.
type EpochStatus struct {
	Number  uint64             `json:"number"`
	Members []board.InstanceID `json:"members"`
	// TransferPending is true while key records are still being transferred to this
	// node from their former homes.
	TransferPending bool `json:"pending"`
	// Horizon is the time up to which records may be missing: a key that was created
	// by then may have been executed although it has no record. It is nil when no
	// record is known to be missing.
	Horizon *time.Time `json:"horizon,omitempty"`
}

// KeysStatus counts the idempotency key records of a node: those that it keeps as
// the home of the key, those of calls that it executed, and the memory of both in
// bytes.
type KeysStatus struct {
	HomeRecords     int   `json:"homes"`
	ExecutorRecords int   `json:"runs"`
	SizeBytes       int64 `json:"bytes"`
}

func newKeysStatus(b *board.Board) KeysStatus {
	return KeysStatus{HomeRecords: b.Keys.HomeRecords.Len(), ExecutorRecords: b.Keys.ExecutorRecords.Len(), SizeBytes: b.Keys.SizeBytes()}
}

func epochStatuses(b *board.Board) map[string]EpochStatus {
	statuses := map[string]EpochStatus{}
	for name, epochView := range b.Epochs.Load().ByService {
		status := EpochStatus{Number: epochView.Epoch.Number}
		for _, m := range epochView.Epoch.Members {
			status.Members = append(status.Members, m.Instance)
		}
		horizon, pending := epochView.Horizon()
		status.TransferPending = pending
		if !horizon.IsZero() {
			status.Horizon = &horizon
		}
		statuses[name] = status
	}
	return statuses
}
