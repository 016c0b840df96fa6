package node

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/control/configsync"
	"mangostand.example/mangostand/pkg/platform"
)

// configSync builds the controller of the configuration. A node without a
// store in its settings runs from its peers.
func (n *Node) configSync() *configsync.Controller {
	options := configsync.Options{
		Board: n.board, Peers: n.peers, Site: n.settings.Site, Addr: n.settings.AdvertisePeers,
		Seed: uint64(time.Now().UnixNano()), Scope: n.scope, Log: n.log,
	}
	if n.settings.Store != "" {
		options.Store = platform.NewClient(n.settings.Store, platform.WithObserver(n.countStoreCall))
	}
	return configsync.New(options)
}

// countRetired exports the table of retired traffic as counters.
func (n *Node) countRetired(key board.RetiredKey) {
	tags := map[string]string{"caller": key.Caller, "service": key.Service}
	n.scope.Tagged(tags).Counter("retired_calls").Inc(1)
}

// countStoreCall counts the calls that this node makes to the store.
func (n *Node) countStoreCall(kind platform.Kind, result platform.Result) {
	tags := map[string]string{"kind": string(kind), "result": string(result)}
	n.scope.Tagged(tags).Counter("store_calls").Inc(1)
}
