package membership

import (
	"mangostand.example/mangostand/pkg/board"
	decide "mangostand.example/mangostand/pkg/decide/membership"
)

// publish writes the sections that changed.
func (c *Controller) publish() {
	tableChanged, rumorsChanged := c.table.changed, c.rumors.changed
	if tableChanged {
		members := c.table.snapshot()
		c.members.Publish(members)
		c.ring = decide.NewRing(members)
	}
	if tableChanged || rumorsChanged {
		c.publishDigest()
	}
	c.publishNeighbours()
}

func (c *Controller) publishDigest() {
	digest := &board.MemberDigest{RetainedRumors: c.rumors.keptCopy()}
	digest.BucketHashes, digest.RootHash = decide.Digest(c.members.Load())
	digest.RumorsHash = decide.HashRumors(digest.RetainedRumors)
	c.digest.Publish(digest)
}

func (c *Controller) publishNeighbours() {
	next := &board.Neighbours{ContactLease: c.contact, LeftSent: c.leftSent}
	for _, m := range c.ring.Neighbours(c.table.selfID) {
		next.Ring = append(next.Ring, board.Neighbour{Instance: m.Instance, Addr: m.PeerAddr})
	}
	if !sameNeighbours(c.neighbours.Load(), next) {
		c.neighbours.Publish(next)
	}
}

func sameNeighbours(a, b *board.Neighbours) bool {
	if a.ContactLease != b.ContactLease || a.LeftSent != b.LeftSent || len(a.Ring) != len(b.Ring) {
		return false
	}
	for i := range a.Ring {
		if a.Ring[i] != b.Ring[i] {
			return false
		}
	}
	return true
}
