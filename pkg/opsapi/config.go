package opsapi

import (
	"net/http"

	"mangostand.example/mangostand/pkg/board"
)

// ConfigStatus is the answer of GET /v1/config: which configuration is in force
// at the node and what it refused.
type ConfigStatus struct {
	// Version and ChangeID are those in force, 0 and "" for none.
	Version  uint64 `json:"version"`
	ChangeID string `json:"change_id"`
	Site     string `json:"site"`
	// NewestSeen is the newest accepted version that the node has seen. It is above
	// Version when it is not valid for this site; Problem says why.
	NewestSeen       uint64 `json:"newest"`
	NotAppliedReason string `json:"problem,omitempty"`
	// Watching is set when the node watches the store itself.
	Watching         bool   `json:"watching"`
	StoreReachable   bool   `json:"store_reachable"`
	RefusedOlder     uint64 `json:"refused_older"`
	RefusedConflicts uint64 `json:"refused_conflicts"`
	RefusedInvalid   uint64 `json:"refused_invalid"`
	WrittenBack      uint64 `json:"written_back"`
}

// NewConfigStatus reads the board.
func NewConfigStatus(b *board.Board) ConfigStatus {
	config, state := b.Config.Load(), b.ConfigState.Load()
	return ConfigStatus{
		Version: config.Version, ChangeID: config.ChangeID, Site: config.Site,
		NewestSeen: state.Newest.Version, NotAppliedReason: state.NotAppliedReason,
		Watching: state.Watching, StoreReachable: state.StoreReachable,
		RefusedOlder: state.RefusedOlder, RefusedConflicts: state.RefusedConflicts,
		RefusedInvalid: state.RefusedInvalid, WrittenBack: state.WrittenBack,
	}
}

func handleConfig(b *board.Board) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, NewConfigStatus(b)) }
}
