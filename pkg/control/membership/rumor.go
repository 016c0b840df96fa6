package membership

import (
	"maps"
	"time"

	"mangostand.example/mangostand/pkg/board"
)

const (
	// maxSeenRumors limits the remembered rumor IDs. Even with 310
	// configuration changes, the epoch changes of 34 restarts, and one crash
	// with 15 suspects per minute the limit is reached only after hours.
	maxSeenRumors = 4096
	// maxRetainedRumors limits the rumors that are retained for nodes that
	// missed them.
	maxRetainedRumors = 512
	// maxRumorIDBytes and maxRumorPayloadBytes limit the size of a rumor.
	maxRumorIDBytes      = 256
	maxRumorPayloadBytes = 1024
)

// rumorSet remembers the IDs of the rumors that were seen, and retains
// unexpired rumors.
type rumorSet struct {
	seen map[string]struct{}
	// seenIDs is a ring buffer of the IDs in seen, and oldestSeen the index of
	// the oldest ID once the buffer is full.
	seenIDs    []string
	oldestSeen int
	retained   map[string]board.Rumor
	// changed is set when retained has changed since the last snapshot.
	changed bool
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
	if r.ExpiresAtMillis > now.UnixMilli() {
		s.retain(r)
	}
	return true
}

// markSeen remembers an ID. At the limit the ID replaces the oldest one.
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

// retain stores a rumor. Above the limit it drops the one that expires first.
func (s *rumorSet) retain(r board.Rumor) {
	s.retained[r.ID] = r
	s.changed = true
	if len(s.retained) <= maxRetainedRumors {
		return
	}
	first := r
	for _, other := range s.retained {
		if other.ExpiresAtMillis < first.ExpiresAtMillis || (other.ExpiresAtMillis == first.ExpiresAtMillis && other.ID < first.ID) {
			first = other
		}
	}
	delete(s.retained, first.ID)
}

func (s *rumorSet) dropExpired(now time.Time) {
	for id, r := range s.retained {
		if r.ExpiresAtMillis <= now.UnixMilli() {
			delete(s.retained, id)
			s.changed = true
		}
	}
}

// snapshot returns a copy of the retained rumors for publication.
func (s *rumorSet) snapshot() map[string]board.Rumor {
	s.changed = false
	return maps.Clone(s.retained)
}

// floodRumor floods a rumor of this node.
func (c *Controller) floodRumor(r board.Rumor, now time.Time) {
	if len(r.ID) > maxRumorIDBytes || len(r.Payload) > maxRumorPayloadBytes {
		c.log.Error().Str("rumor", r.ID).Int("bytes", len(r.Payload)).Msg("rumor is too large and was not sent")
		return
	}
	if c.rumors.add(r, now) {
		c.pendingFlood.addRumor(r, "")
	}
}

// handleRumor posts a new rumor to the controller responsible for its kind, and
// floods it.
func (c *Controller) handleRumor(r board.Rumor, from board.InstanceID, now time.Time) {
	if r.ID == "" || len(r.ID) > maxRumorIDBytes || len(r.Payload) > maxRumorPayloadBytes {
		c.log.Warn().Str("peer", string(from)).Msg("dropped an invalid rumor")
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
