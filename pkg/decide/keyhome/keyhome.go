// Package keyhome decides which member of an epoch keeps the record of a key,
// whether a key may still run, and what an epoch transfer has proven. Its
// functions are pure.
package keyhome

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"github.com/google/uuid"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/hashing"
	"mangostand.example/mangostand/pkg/dynconf"
)

// Home returns the member that keeps the record of a key: the one with the
// highest rendezvous hash, so that a change of members moves only the keys of
// the members that changed. The second result is false without members.
func Home(members []board.EpochMember, id board.KeyID) (board.EpochMember, bool) {
	if len(members) == 0 {
		return board.EpochMember{}, false
	}
	key := hashParts(id.Service, id.Caller, id.Key)
	best, bestScore := members[0], uint64(0)
	for i, m := range members {
		score := hashing.Mix(key ^ hashParts(string(m.Instance)))
		if i == 0 || score > bestScore || (score == bestScore && m.Instance < best.Instance) {
			best, bestScore = m, score
		}
	}
	return best, true
}

// Moved reports whether a key has another home, or another incarnation of its home,
// in next than in former.
func Moved(former, next []board.EpochMember, id board.KeyID) bool {
	a, okA := Home(former, id)
	b, okB := Home(next, id)
	return okA != okB || a.Instance != b.Instance || a.Incarnation != b.Incarnation
}

// ProposerRank returns the position of an instance in the order in which the members
// of the next epoch propose it, 0 for the first. Members of the current epoch
// come before those that join, because they know which transfers have ended.
// The order differs between epochs.
func ProposerRank(wanted []board.EpochMember, current *board.Epoch, self board.InstanceID, service string) int {
	var seed [8]byte
	if current != nil {
		binary.BigEndian.PutUint64(seed[:], current.Number)
	}
	key := hashParts(service, string(seed[:]))
	score := func(id board.InstanceID) uint64 { return hashing.Mix(key ^ hashParts(string(id))) }
	joins := func(id board.InstanceID) bool {
		if current == nil {
			return false
		}
		_, member := current.Member(id)
		return !member
	}
	rank := 0
	for _, m := range wanted {
		if m.Instance == self {
			continue
		}
		if joins(m.Instance) != joins(self) {
			if joins(self) {
				rank++
			}
			continue
		}
		if score(m.Instance) > score(self) {
			rank++
		}
	}
	return rank
}

func hashParts(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(p)))
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(p))
	}
	return h.Sum64()
}

// KeyTime returns the time in a UUID version 7, false for any other text.
func KeyTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	var ms [8]byte
	copy(ms[2:], id[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(ms[:]))), true
}

// KeyValidity is the judgement of the age of a key.
type KeyValidity uint8

// Ages of a key.
const (
	// KeyValid: the key may run.
	KeyValid KeyValidity = iota
	// KeyMalformed: the key is not a UUID version 7.
	KeyMalformed
	// KeyExpired: records of the key may have been dropped, so it never runs.
	KeyExpired
	// KeyInFuture: the key's time is too far ahead.
	KeyInFuture
)

// CheckKey returns the age of a key at a time.
func CheckKey(key string, now time.Time, limits dynconf.AtMostOnce) KeyValidity {
	t, ok := KeyTime(key)
	switch {
	case !ok:
		return KeyMalformed
	case now.Sub(t) > limits.Retention:
		return KeyExpired
	case t.Sub(now) > limits.FutureSkew:
		return KeyInFuture
	}
	return KeyValid
}

// RecordExpiry returns when the records of a key may be dropped. It lies one clock
// skew behind the time at which any node refuses the key as expired.
func RecordExpiry(key string, limits dynconf.AtMostOnce) time.Time {
	t, _ := KeyTime(key)
	return t.Add(limits.Retention + limits.ClockSkew)
}

// HorizonAt returns the highest time that a key claimed until now may have.
func HorizonAt(now time.Time, limits dynconf.AtMostOnce) time.Time {
	return now.Add(limits.FutureSkew + limits.ClockSkew)
}

// ProvablyNew reports whether a key without a record lies after the horizon.
func ProvablyNew(key string, horizon time.Time) bool {
	t, ok := KeyTime(key)
	return ok && t.After(horizon)
}

// NewKey returns the key of a time with the given random part. The generator of
// the uuid package is not used: it never goes back in time, so that its keys
// lie in the future after the clock was set back.
func NewKey(now time.Time, random [10]byte) string {
	var id uuid.UUID
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(now.UnixMilli()))
	copy(id[:6], ms[2:])
	copy(id[6:], random[:])
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}
