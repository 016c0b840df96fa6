package opsapi

import (
	"context"
	"net/http"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/keyhome"
	"mangostand.example/mangostand/pkg/wire"
)

// KeyLookup asks the home of a key for its record without changing it.
type KeyLookup interface {
	Lookup(ctx context.Context, id board.KeyID) (*wire.ClaimResponse, error)
}

// Knowledge of a key, the field "state" of KeyOutcome.
const (
	// KeyRecorded: the call has ended; the outcome is that of the call.
	KeyRecorded = "recorded"
	// KeyInProgress: the call may be running.
	KeyInProgress = "in-progress"
	// KeyNotRun: the call has not run so far.
	KeyNotRun = "not-run"
	// KeyUnknown: the call may have run.
	KeyUnknown = "unknown"
	// KeyUnavailable: the home of the key cannot be asked now.
	KeyUnavailable = "unavailable"
)

// KeyOutcome is the answer to GET /v1/outcome/{key}?service=&caller=.
type KeyOutcome struct {
	board.KeyID
	State    string           `json:"state"`
	Outcome  string           `json:"outcome,omitempty"`
	Reason   board.Reason     `json:"reason,omitempty"`
	Executor board.InstanceID `json:"executor,omitempty"`
	// Status is the recorded HTTP status, ResponseDigest the SHA-256 of the body.
	Status         uint16 `json:"status,omitempty"`
	ResponseDigest string `json:"response_digest,omitempty"`
	ResponseKept   bool   `json:"response_kept,omitempty"`
	// Expires is when the record may be dropped.
	Expires *time.Time `json:"expires,omitempty"`
	Epoch   uint64     `json:"epoch"`
}

func outcomeHandler(keys KeyLookup) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := board.KeyID{
			Service: r.URL.Query().Get("service"), Caller: r.URL.Query().Get("caller"), Key: r.PathValue("key"),
		}
		if _, ok := keyhome.KeyTime(id.Key); !ok || id.Service == "" || id.Caller == "" {
			http.Error(w, "expected a key (UUID version 7), service and caller", http.StatusBadRequest)
			return
		}
		answer, err := keys.Lookup(r.Context(), id)
		if err != nil {
			answer = &wire.ClaimResponse{Status: wire.ClaimRefused, Reason: board.ReasonKeyHomeUnavailable}
		}
		writeJSON(w, outcomeOf(id, answer))
	}
}

func outcomeOf(id board.KeyID, answer *wire.ClaimResponse) KeyOutcome {
	out := KeyOutcome{KeyID: id, Reason: answer.Reason, Epoch: answer.Epoch, State: KeyUnavailable}
	switch answer.Status {
	case wire.ClaimOutcomeRecorded:
		fillRecorded(&out, answer.Record)
	case wire.ClaimInProgress:
		out.State = KeyInProgress
	case wire.ClaimNotFound:
		out.State = KeyNotRun
	case wire.ClaimOutcomeUnknown:
		out.State = KeyUnknown
	}
	return out
}

func fillRecorded(out *KeyOutcome, record *board.KeyRecord) {
	out.State = KeyRecorded
	out.Outcome, out.Reason = record.Outcome.String(), record.Reason
	out.Executor, out.Expires = record.Executor, &record.ExpiresAt
	if response := record.Response; response != nil {
		out.Status, out.ResponseDigest, out.ResponseKept = response.Status, response.BodyDigest, response.BodyStored
	}
}

// EpochStatus describes the epoch of a service.
type EpochStatus struct {
	Number  uint64             `json:"number"`
	Members []board.InstanceID `json:"members"`
	// Pending is true while records of moved keys have not arrived here.
	Pending bool `json:"pending"`
	// Horizon is the key time up to which records may be lost, when set.
	Horizon *time.Time `json:"horizon,omitempty"`
}

// KeysStatus counts the key records of a node.
type KeysStatus struct {
	Homes int   `json:"homes"`
	Runs  int   `json:"runs"`
	Bytes int64 `json:"bytes"`
}

func keysOf(b *board.Board) KeysStatus {
	return KeysStatus{Homes: b.Keys.HomeRecords.Len(), Runs: b.Keys.ExecutorRecords.Len(), Bytes: b.Keys.SizeBytes()}
}

func epochsOf(b *board.Board) map[string]EpochStatus {
	all := map[string]EpochStatus{}
	for name, view := range b.Epochs.Load().ByService {
		status := EpochStatus{Number: view.Epoch.Number}
		for _, m := range view.Epoch.Members {
			status.Members = append(status.Members, m.Instance)
		}
		horizon, pending := view.Horizon()
		status.Pending = pending
		if !horizon.IsZero() {
			status.Horizon = &horizon
		}
		all[name] = status
	}
	return all
}
