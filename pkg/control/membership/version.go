package membership

import (
	"strings"

	"mangostand.example/mangostand/pkg/board"
	decide "mangostand.example/mangostand/pkg/decide/membership"
)

// maxVersions bounds the version numbers that a peer may state: the
// configuration and the epochs of the services, with room to spare.
const maxVersions = 256

// raiseVersion stores a version number of this node.
func (c *Controller) raiseVersion(v board.NamedVersion) {
	old := c.versions.Load()
	next := old.WithAtLeast(v.Name, v.Number, decide.HashVersions)
	if next != old {
		c.versions.Publish(next)
	}
}

// compareVersions tells the controllers which versions a peer has ahead of
// this node.
func (c *Controller) compareVersions(message board.GossipMessage) {
	if len(message.Versions) == 0 || len(message.Versions) > maxVersions {
		return
	}
	peer, found := c.table.members[message.From]
	if !found {
		return
	}
	for _, v := range decide.NewerVersions(c.versions.Load().Numbers, message.Versions) {
		ahead := board.PeerVersion{
			Name: v.Name, Number: v.Number,
			Peer: board.Neighbour{Instance: peer.Instance, Addr: peer.PeerAddr},
		}
		switch {
		case v.Name == board.ConfigVersionName:
			c.board.ConfigVersions.Post(ahead)
		case strings.HasPrefix(v.Name, board.EpochVersionPrefix):
			c.board.EpochVersions.Post(ahead)
		}
	}
}
