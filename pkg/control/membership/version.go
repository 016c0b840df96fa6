package membership

import (
	"strings"

	"mangostand.example/mangostand/pkg/board"
	decide "mangostand.example/mangostand/pkg/decide/membership"
)

// maxPeerVersions limits the version numbers in a message of a peer. A peer
// sends one for the configuration and one per service, which is far fewer.
const maxPeerVersions = 256

// raiseVersion publishes a version number of this node if it is higher than the
// published one.
func (c *Controller) raiseVersion(v board.NamedVersion) {
	old := c.versions.Load()
	next := old.WithAtLeast(v.Name, v.Number, decide.HashVersions)
	if next != old {
		c.versions.Publish(next)
	}
}

// reportNewerVersions posts the versions in which the sender of a message is
// ahead of this node to the controllers responsible for them.
func (c *Controller) reportNewerVersions(message board.GossipMessage) {
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
		case v.Name == board.ConfigVersionName:
			c.board.ConfigVersions.Post(newer)
		case strings.HasPrefix(v.Name, board.EpochVersionPrefix):
			c.board.EpochVersions.Post(newer)
		}
	}
}
