package node

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/control/configsync"
	"mangostand.example/mangostand/pkg/decide/configversion"
	"mangostand.example/mangostand/platform"
)

// configSync builds the controller of the configuration. A node without a
// store in its settings runs from its peers.
func (n *Node) configSync(store *platform.Client) *configsync.Controller {
	options := configsync.Options{
		Board: n.board, Peers: n.peers, Site: n.settings.Site, Addr: n.settings.AdvertisedPeerAddr,
		Seed: uint64(time.Now().UnixNano()), Scope: n.scope, Log: n.log,
		PullSources:  n.ringSources,
		WatchesStore: func() bool { return n.board.Neighbours.Load().HoldsContactLease(time.Now()) },
	}
	if store != nil {
		options.Store = store
	}
	return configsync.New(options)
}

// ringSources lists the ring neighbours, so that pulls use connections that are
// open anyway and their cost does not grow with the fleet.
func (n *Node) ringSources() []configversion.Source {
	var sources []configversion.Source
	for _, neighbour := range n.board.Neighbours.Load().Ring {
		sources = append(sources, configversion.Source{Addr: neighbour.Addr})
	}
	return sources
}

// countRetired exports the table of retired traffic as counters.
func (n *Node) countRetired(key board.RetiredTrafficKey) {
	tags := map[string]string{"caller": key.Caller, "service": key.Service}
	n.scope.Tagged(tags).Counter("retired_calls").Inc(1)
}

// countStoreCall counts the calls that this node makes to the store.
func (n *Node) countStoreCall(kind platform.Operation, result platform.Result) {
	tags := map[string]string{"kind": string(kind), "result": string(result)}
	n.scope.Tagged(tags).Counter("store_calls").Inc(1)
}
