package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/url"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/control"
	decide "mangostand.example/mangostand/pkg/decide/membership"
	"mangostand.example/mangostand/platform"
)

const (
	// contactPrefix is the store prefix of the contact keys: PREFIX/REGION/N.
	contactPrefix = "contacts/"
	// contactKeys is the number of contact keys of a region.
	contactKeys = 8
	// contactRelease is the rank from which a holder gives its key up. It lies
	// above contactKeys, so that a join does not move keys.
	contactRelease = 2 * contactKeys
	// contactTTL is the duration of a lease; it is renewed three times as often.
	contactTTL      = 6 * time.Second
	contactInterval = 2 * time.Second
	// storeTimeout bounds one store call.
	storeTimeout = time.Second
)

// ContactStore is the part of the store client that the contact keys need.
// *platform.Client implements it.
type ContactStore interface {
	List(ctx context.Context, prefix string) ([]platform.Entry, error)
	Get(ctx context.Context, key string) (platform.Entry, error)
	CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease string) (uint64, error)
	GrantLease(ctx context.Context, ttl time.Duration) (platform.Lease, error)
	RenewLease(ctx context.Context, id string) error
	RevokeLease(ctx context.Context, id string) error
}

// contactValue is the value of a contact key.
type contactValue struct {
	Instance board.InstanceID `json:"instance"`
	PeerAddr string           `json:"peer_addr"`
	// Token is the fencing token of the holder's lease.
	Token uint64 `json:"token"`
}

// contacts reads and holds contact keys on a goroutine of its own, because the
// store may not answer for a long time.
type contacts struct {
	board  *board.Board
	store  ContactStore
	random *rand.Rand
	log    zerolog.Logger

	lease platform.Lease
	held  board.ContactLease
	// tokens is the highest fencing token seen per key.
	tokens map[string]uint64
}

func newContacts(b *board.Board, store ContactStore, random *rand.Rand, log zerolog.Logger) *contacts {
	return &contacts{board: b, store: store, random: random, log: log, tokens: map[string]uint64{}}
}

// run works until ctx ends, then gives the key up. It reports the held key and
// the addresses found in the store, nil when the store was not read.
func (k *contacts) run(ctx context.Context, report func(board.ContactLease, []string)) {
	for {
		addrs := k.round(ctx)
		report(k.held, addrs)
		// The spread keeps nodes that start together from calling together.
		if !control.Sleep(ctx, contactInterval+time.Duration(k.random.Int64N(int64(contactInterval/8)))) {
			break
		}
	}
	k.release(context.WithoutCancel(ctx))
}

// round renews or claims a key as needed and returns the addresses found.
// Nodes that neither hold a key nor may hold one call the store only while
// they know no other node.
func (k *contacts) round(ctx context.Context) []string {
	members := k.board.Members.Load()
	self := members.ByInstance[members.Self]
	ring := decide.NewRing(members)
	rank := ring.ContactRank(self)
	leaving := self.State >= board.MemberDraining
	if k.held.Key != "" && (leaving || rank >= contactRelease) {
		k.release(ctx)
		return nil
	}
	k.renew(ctx)
	candidate := !leaving && k.held.Key == "" && rank < contactKeys
	if k.held.Key == "" && !candidate && ring.Len() > 1 {
		return nil
	}
	entries, err := k.list(ctx)
	if err != nil {
		k.log.Debug().Err(err).Msg("contact keys cannot be read")
		return nil
	}
	if candidate {
		k.claim(ctx, self, freeKey(entries, self.Region))
	}
	return k.addrs(entries)
}

func (k *contacts) list(ctx context.Context) ([]platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return k.store.List(ctx, contactPrefix)
}

// addrs returns the addresses of contact keys. A value with a lower token than
// one seen before comes from a holder whose lease has ended.
func (k *contacts) addrs(entries []platform.Entry) []string {
	addrs := []string{}
	for _, entry := range entries {
		var value contactValue
		if json.Unmarshal(entry.Value, &value) != nil || value.PeerAddr == "" || value.Token < k.tokens[entry.Key] {
			continue
		}
		k.tokens[entry.Key] = value.Token
		addrs = append(addrs, value.PeerAddr)
	}
	return addrs
}

// freeKey returns the first key of a region that nobody holds, or "". The
// store client takes keys in the escaped form of a URL path.
func freeKey(entries []platform.Entry, region string) string {
	taken := map[string]bool{}
	for _, entry := range entries {
		taken[entry.Key] = true
	}
	for n := range contactKeys {
		if !taken[fmt.Sprintf("%s%s/%d", contactPrefix, region, n)] {
			return fmt.Sprintf("%s%s/%d", contactPrefix, url.PathEscape(region), n)
		}
	}
	return ""
}

// claim takes a key under a new lease. After a lost answer it reads back.
func (k *contacts) claim(ctx context.Context, self board.Member, key string) {
	if key == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	asked := time.Now()
	lease, err := k.store.GrantLease(ctx, contactTTL)
	if err != nil {
		k.log.Debug().Err(err).Msg("no lease for a contact key")
		return
	}
	value, err := json.Marshal(contactValue{Instance: self.Instance, PeerAddr: self.PeerAddr, Token: lease.Token})
	if err != nil {
		k.log.Error().Err(err).Msg("contact key cannot be encoded")
		return
	}
	_, err = k.store.CompareAndSwap(ctx, key, 0, value, lease.ID)
	if errors.Is(err, platform.ErrIndeterminate) && k.wrote(ctx, key, lease.Token) {
		err = nil
	}
	if err != nil {
		k.log.Debug().Err(err).Str("key", key).Msg("contact key was not taken")
		_ = k.store.RevokeLease(ctx, lease.ID)
		return
	}
	k.lease = lease
	k.held = board.ContactLease{Key: key, Token: lease.Token, ExpiresAt: asked.Add(contactTTL)}
}

func (k *contacts) wrote(ctx context.Context, key string, token uint64) bool {
	entry, err := k.store.Get(ctx, key)
	if err != nil {
		return false
	}
	var value contactValue
	return json.Unmarshal(entry.Value, &value) == nil && value.Token == token
}

// renew extends the lease. While the store is down the key counts as held
// until the lease has ended by this node's clock.
func (k *contacts) renew(ctx context.Context) {
	if k.held.Key == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	asked := time.Now()
	err := k.store.RenewLease(ctx, k.lease.ID)
	switch {
	case err == nil:
		k.held.ExpiresAt = asked.Add(contactTTL)
	case errors.Is(err, platform.ErrNotFound), !time.Now().Before(k.held.ExpiresAt):
		k.held, k.lease = board.ContactLease{}, platform.Lease{}
	}
}

// release gives the key up.
func (k *contacts) release(ctx context.Context) {
	if k.held.Key == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := k.store.RevokeLease(ctx, k.lease.ID); err != nil {
		k.log.Debug().Err(err).Str("key", k.held.Key).Msg("lease of a contact key ends by itself")
	}
	k.held, k.lease = board.ContactLease{}, platform.Lease{}
}
