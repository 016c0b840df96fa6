package membership

import (
	"strings"

	"mangostand.example/mangostand/pkg/board"
	decide "mangostand.example/mangostand/pkg/decide/membership"
)

// maxPeerVersions bounds the version numbers that a peer may state: the
// configuration and the epochs of the services, with room to spare.
const maxPeerVersions = 256

// raiseVersion stores a version number of this node.
func (c *Controller) raiseVersion(v board.Version) {
	old := c.versions.Load()
	next := old.With(v.Name, v.Number, decide.HashVersions)
	if next != old {
		c.versions.Publish(next)
	}
}

// reportNewerVersions tells the controllers which versions a peer has ahead of
// this node.
func (c *Controller) reportNewerVersions(message board.Gossip) {
	if len(message.Versions) == 0 || len(message.Versions) > maxPeerVersions {
		return
	}
	peer, found := c.table.members[message.From]
	if !found {
		return
	}
	for _, v := range decide.NewerVersions(c.versions.Load().Numbers, message.Versions) {
		newer := board.PeerVersion{
			Name: v.Name, Number: v.Number,
			Peer: board.Neighbour{Instance: peer.Instance, Addr: peer.PeerAddr},
		}
		switch {
		case v.Name == board.VersionConfig:
			c.board.ConfigVersions.Post(newer)
		case strings.HasPrefix(v.Name, board.VersionEpochPrefix):
			c.board.EpochVersions.Post(newer)
		}
	}
}
