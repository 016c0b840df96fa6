package membership

import (
	"maps"
	"time"

	"mangostand.example/mangostand/pkg/board"
)

const (
	// maxSeen bounds the remembered rumor IDs. 310 configuration changes, the
	// epoch changes of 34 restarts and a crash with 15 suspects a minute fill
	// it in hours.
	maxSeen = 4096
	// maxKept bounds the rumors kept for those that missed them.
	maxKept = 512
	// maxRumorID and maxRumorPayload bound a rumor in bytes.
	maxRumorID      = 256
	maxRumorPayload = 1024
)

// rumorLog remembers which rumors were seen and keeps those with a term.
type rumorLog struct {
	seen    map[string]struct{}
	order   []string
	next    int
	kept    map[string]board.Rumor
	changed bool
}

func newRumorLog() *rumorLog {
	return &rumorLog{seen: map[string]struct{}{}, kept: map[string]board.Rumor{}}
}

// add records a rumor and reports whether it is new.
func (l *rumorLog) add(r board.Rumor, now time.Time) bool {
	if _, found := l.seen[r.ID]; found {
		return false
	}
	if _, found := l.kept[r.ID]; found {
		return false
	}
	l.remember(r.ID)
	if r.ExpiresAtMillis > now.UnixMilli() {
		l.keep(r)
	}
	return true
}

// remember adds an ID in place of the oldest one.
func (l *rumorLog) remember(id string) {
	if len(l.order) < maxSeen {
		l.order = append(l.order, id)
	} else {
		delete(l.seen, l.order[l.next])
		l.order[l.next] = id
		l.next = (l.next + 1) % maxSeen
	}
	l.seen[id] = struct{}{}
}

// keep stores a rumor; above the limit the one that ends first is dropped.
func (l *rumorLog) keep(r board.Rumor) {
	l.kept[r.ID] = r
	l.changed = true
	if len(l.kept) <= maxKept {
		return
	}
	first := r
	for _, other := range l.kept {
		if other.ExpiresAtMillis < first.ExpiresAtMillis || (other.ExpiresAtMillis == first.ExpiresAtMillis && other.ID < first.ID) {
			first = other
		}
	}
	delete(l.kept, first.ID)
}

func (l *rumorLog) dropOld(now time.Time) {
	for id, r := range l.kept {
		if r.ExpiresAtMillis <= now.UnixMilli() {
			delete(l.kept, id)
			l.changed = true
		}
	}
}

// keptCopy returns the kept rumors for publication.
func (l *rumorLog) keptCopy() map[string]board.Rumor {
	l.changed = false
	return maps.Clone(l.kept)
}

// sendRumor passes on a rumor of this node.
func (c *Controller) sendRumor(r board.Rumor, now time.Time) {
	if len(r.ID) > maxRumorID || len(r.Payload) > maxRumorPayload {
		c.log.Error().Str("rumor", r.ID).Int("bytes", len(r.Payload)).Msg("rumor is too large and was not sent")
		return
	}
	if c.rumors.add(r, now) {
		c.flood.addRumor(r, "")
	}
}

// receiveRumor hands a new rumor to its controller and passes it on.
func (c *Controller) receiveRumor(r board.Rumor, from board.InstanceID, now time.Time) {
	if r.ID == "" || len(r.ID) > maxRumorID || len(r.Payload) > maxRumorPayload {
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
	c.flood.addRumor(r, from)
}
