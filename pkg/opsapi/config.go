package opsapi

import (
	"net/http"

	"mangostand.example/mangostand/pkg/board"
)

// ConfigStatus is the response to GET /v1/config: the configuration in force at
// the node and the documents that the node refused.
type ConfigStatus struct {
	// Version and ChangeID identify the configuration in force; they are 0 and ""
	// when there is none.
	Version  uint64 `json:"version"`
	ChangeID string `json:"change_id"`
	Site     string `json:"site"`
	// NewestSeen is the newest accepted version that the node has seen. It is higher
	// than Version when the newest configuration is not valid for this site;
	// NotAppliedReason says why.
	NewestSeen       uint64 `json:"newest"`
	NotAppliedReason string `json:"problem,omitempty"`
	// WatchingStore is set while this node watches the store. A node that does not
	// watch it gets the configuration from its peers.
	WatchingStore  bool `json:"watching"`
	StoreReachable bool `json:"store_reachable"`
	// RefusedOlder, RefusedConflicts and RefusedInvalid count the documents that
	// the node refused since its start; WrittenBack counts those that it wrote
	// back to the store.
	RefusedOlder     uint64 `json:"refused_older"`
	RefusedConflicts uint64 `json:"refused_conflicts"`
	RefusedInvalid   uint64 `json:"refused_invalid"`
	WrittenBack      uint64 `json:"written_back"`
}

// NewConfigStatus returns the configuration status of the node from its board.
func NewConfigStatus(b *board.Board) ConfigStatus {
	config, state := b.Config.Load(), b.ConfigState.Load()
	return ConfigStatus{
		Version: config.Version, ChangeID: config.ChangeID, Site: config.Site,
		NewestSeen: state.Newest.Version, NotAppliedReason: state.NotAppliedReason,
		WatchingStore: state.Watching, StoreReachable: state.StoreReachable,
		RefusedOlder: state.RefusedOlder, RefusedConflicts: state.RefusedConflicts,
		RefusedInvalid: state.RefusedInvalid, WrittenBack: state.WrittenBack,
	}
}

func newConfigHandler(b *board.Board) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, NewConfigStatus(b)) }
}
