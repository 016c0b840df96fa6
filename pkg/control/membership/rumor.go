package membership

import (
	"maps"
	"time"

	"mangostand.example/mangostand/pkg/board"
)

const (
	// maxSeenRumors bounds the remembered rumor IDs. 310 configuration changes, the
	// epoch changes of 34 restarts and a crash with 15 suspects a minute fill
	// it in hours.
	maxSeenRumors = 4096
	// maxRetainedRumors bounds the rumors kept for those that missed them.
	maxRetainedRumors = 512
	// maxRumorIDBytes and maxRumorPayload bound a rumor in bytes.
	maxRumorIDBytes      = 256
	maxRumorPayloadBytes = 1024
)

// rumorSet remembers which rumors were seen and keeps those with a term.
type rumorSet struct {
	seen       map[string]struct{}
	seenIDs    []string
	oldestSeen int
	retained   map[string]board.Rumor
	changed    bool
}

func newRumorSet() *rumorSet {
	return &rumorSet{seen: map[string]struct{}{}, retained: map[string]board.Rumor{}}
}

// add records a rumor and reports whether it is new.
func (s *rumorSet) add(r board.Rumor, now time.Time) bool {
	if _, found := s.seen[r.ID]; found {
		return false
	}
	if _, found := s.retained[r.ID]; found {
		return false
	}
	s.markSeen(r.ID)
	if r.Until > now.UnixMilli() {
		s.retain(r)
	}
	return true
}

// markSeen adds an ID in place of the oldest one.
func (s *rumorSet) markSeen(id string) {
	if len(s.seenIDs) < maxSeenRumors {
		s.seenIDs = append(s.seenIDs, id)
	} else {
		delete(s.seen, s.seenIDs[s.oldestSeen])
		s.seenIDs[s.oldestSeen] = id
		s.oldestSeen = (s.oldestSeen + 1) % maxSeenRumors
	}
	s.seen[id] = struct{}{}
}

// retain stores a rumor; above the limit the one that ends first is dropped.
func (s *rumorSet) retain(r board.Rumor) {
	s.retained[r.ID] = r
	s.changed = true
	if len(s.retained) <= maxRetainedRumors {
		return
	}
	first := r
	for _, other := range s.retained {
		if other.Until < first.Until || (other.Until == first.Until && other.ID < first.ID) {
			first = other
		}
	}
	delete(s.retained, first.ID)
}

func (s *rumorSet) dropExpired(now time.Time) {
	for id, r := range s.retained {
		if r.Until <= now.UnixMilli() {
			delete(s.retained, id)
			s.changed = true
		}
	}
}

// snapshot returns the kept rumors for publication.
func (s *rumorSet) snapshot() map[string]board.Rumor {
	s.changed = false
	return maps.Clone(s.retained)
}

// sendRumor passes on a rumor of this node.
func (c *Controller) sendRumor(r board.Rumor, now time.Time) {
	if len(r.ID) > maxRumorIDBytes || len(r.Payload) > maxRumorPayloadBytes {
		c.log.Error().Str("rumor", r.ID).Int("bytes", len(r.Payload)).Msg("rumor is too large and was not sent")
		return
	}
	if c.rumors.add(r, now) {
		c.pendingFlood.addRumor(r, "")
	}
}

// handleRumor hands a new rumor to its controller and passes it on.
func (c *Controller) handleRumor(r board.Rumor, from board.InstanceID, now time.Time) {
	if r.ID == "" || len(r.ID) > maxRumorIDBytes || len(r.Payload) > maxRumorPayloadBytes {
		c.log.Warn().Str("peer", string(from)).Msg("refused an invalid rumor")
		return
	}
	if !c.rumors.add(r, now) {
		return
	}
	switch r.Kind {
	case board.RumorConfig:
		c.board.ConfigRumors.Post(r)
	case board.RumorEpoch:
		c.board.EpochRumors.Post(r)
	case board.RumorQuarantine:
		c.board.QuarantineRumors.Post(r)
	}
	c.pendingFlood.addRumor(r, from)
}
