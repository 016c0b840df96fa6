// Package keyhome decides which member of an epoch stores the record of an
// idempotency key (the home of the key), whether a call with a key may still
// run, and what is known about the keys of former epochs after their records
// were transferred. An epoch assigns the keys of a service to the members of
// the service.
//
// The functions take the time as an argument and do no I/O.
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

// Home returns the home of a key: the member with the highest rendezvous hash,
// so that a membership change moves only the keys of the members that changed.
// The second result is false when there are no members.
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

// ProposerRank returns the position of an instance in the order in which the
// proposed members propose the next epoch, 0 for the first. Members of the
// current epoch come before joining members, because they know which transfers
// have ended. The order depends on the epoch number, so that it differs between
// epochs.
func ProposerRank(proposed []board.EpochMember, current *board.Epoch, self board.InstanceID, service string) int {
	var seed [8]byte
	if current != nil {
		binary.BigEndian.PutUint64(seed[:], current.Number)
	}
	seedHash := hashParts(service, string(seed[:]))
	score := func(id board.InstanceID) uint64 { return hashing.Mix(seedHash ^ hashParts(string(id))) }
	isJoining := func(id board.InstanceID) bool {
		if current == nil {
			return false
		}
		_, member := current.Member(id)
		return !member
	}
	rank := 0
	for _, m := range proposed {
		if m.Instance == self {
			continue
		}
		if isJoining(m.Instance) != isJoining(self) {
			if isJoining(self) {
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

// hashParts hashes several strings. Each one is prefixed with its length, so
// that the boundaries between them are unambiguous.
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

// KeyTime returns the timestamp of a key, false for a text that is not a UUID
// version 7.
func KeyTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	var ms [8]byte
	copy(ms[2:], id[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(ms[:]))), true
}

// KeyValidity is the result of CheckKey.
type KeyValidity uint8

// Results of CheckKey.
const (
	// KeyValid: a call with the key may run.
	KeyValid KeyValidity = iota
	// KeyMalformed: the key is not a UUID version 7.
	KeyMalformed
	// KeyExpired: records of the key may have been dropped, so that no call
	// with the key may run.
	KeyExpired
	// KeyInFuture: the timestamp of the key is too far ahead.
	KeyInFuture
)

// CheckKey checks the format of a key, and its timestamp against the time now.
func CheckKey(key string, now time.Time, limits dynconf.AtMostOnce) KeyValidity {
	t, ok := KeyTime(key)
	switch {
	case !ok:
		return KeyMalformed
	case now.Sub(t) > limits.KeyRetention:
		return KeyExpired
	case t.Sub(now) > limits.KeyFutureSkew:
		return KeyInFuture
	}
	return KeyValid
}

// RecordExpiry returns when the records of a key may be dropped. It is one
// clock skew later than the time from which every node rejects the key as
// expired.
func RecordExpiry(key string, limits dynconf.AtMostOnce) time.Time {
	t, _ := KeyTime(key)
	return t.Add(limits.KeyRetention + limits.NodeClockSkew)
}

// HorizonAt returns the highest timestamp that a key claimed until now may
// have. It is the horizon of records that were lost until now, see ProvablyNew.
func HorizonAt(now time.Time, limits dynconf.AtMostOnce) time.Time {
	return now.Add(limits.KeyFutureSkew + limits.NodeClockSkew)
}

// ProvablyNew reports whether the timestamp of a key lies after the horizon of
// lost records. If such a key has no record, no call with it has run. An
// earlier key without a record may have run.
func ProvablyNew(key string, horizon time.Time) bool {
	t, ok := KeyTime(key)
	return ok && t.After(horizon)
}

// NewKey returns the key with the given timestamp and random part. It does not
// use the generator of the uuid package, whose timestamps never go back, so
// that keys would lie in the future after the clock was set back.
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
