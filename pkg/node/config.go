package node

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/control/configsync"
	"mangostand.example/mangostand/pkg/decide/configversion"
	"mangostand.example/mangostand/platform"
)

// newConfigSync returns the controller that distributes the dynamic configuration.
// store is nil for a node without a store in its settings, which gets the
// configuration from its peers only.
func (n *Node) newConfigSync(store *platform.Client) *configsync.Controller {
	options := configsync.Options{
		Board: n.board, Peers: n.peerTransport, Site: n.settings.Site, Addr: n.settings.AdvertisedPeerAddr,
		Seed: uint64(time.Now().UnixNano()), Scope: n.metricsScope, Log: n.log,
		PullSources:  n.ringPullSources,
		WatchesStore: func() bool { return n.board.Neighbours.Load().HoldsContactLease(time.Now()) },
	}
	if store != nil {
		options.Store = store
	}
	return configsync.New(options)
}

// ringPullSources returns the ring neighbours as the peers to pull the configuration
// from. Pulls then use connections that are open anyway, and their cost does not grow
// with the fleet.
func (n *Node) ringPullSources() []configversion.Source {
	var sources []configversion.Source
	for _, neighbour := range n.board.Neighbours.Load().Ring {
		sources = append(sources, configversion.Source{Addr: neighbour.Addr})
	}
	return sources
}

// countRetiredCall counts a refused call to a retired route or service in the metrics.
func (n *Node) countRetiredCall(key board.RetiredTrafficKey) {
	tags := map[string]string{"caller": key.Caller, "service": key.Service}
	n.metricsScope.Tagged(tags).Counter("retired_calls").Inc(1)
}

// countStoreCall counts a call of this node to the store in the metrics.
func (n *Node) countStoreCall(operation platform.Operation, result platform.Result) {
	tags := map[string]string{"kind": string(operation), "result": string(result)}
	n.metricsScope.Tagged(tags).Counter("store_calls").Inc(1)
}
