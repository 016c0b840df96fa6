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
	// contactKeysPerRegion is the number of contact keys of a region.
	contactKeysPerRegion = 8
	// contactReleaseRank is the rank from which a holder gives its key up. It lies
	// above contactKeys, so that a join does not move keys.
	contactReleaseRank = 2 * contactKeysPerRegion
	// contactLeaseTTL is the duration of a lease; it is renewed three times as often.
	contactLeaseTTL        = 6 * time.Second
	contactRefreshInterval = 2 * time.Second
	// storeCallTimeout bounds one store call.
	storeCallTimeout = time.Second
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

// contactManager reads and holds contact keys on a goroutine of its own, because the
// store may not answer for a long time.
type contactManager struct {
	board  *board.Board
	store  ContactStore
	random *rand.Rand
	log    zerolog.Logger

	storeLease   platform.Lease
	contactLease board.Contact
	// maxTokens is the highest fencing token seen per key.
	maxTokens map[string]uint64
}

func newContactManager(b *board.Board, store ContactStore, random *rand.Rand, log zerolog.Logger) *contactManager {
	return &contactManager{board: b, store: store, random: random, log: log, maxTokens: map[string]uint64{}}
}

// run works until ctx ends, then gives the key up. It reports the held key and
// the addresses found in the store, nil when the store was not read.
func (m *contactManager) run(ctx context.Context, onRefresh func(board.Contact, []string)) {
	for {
		addrs := m.refresh(ctx)
		onRefresh(m.contactLease, addrs)
		// The spread keeps nodes that start together from calling together.
		if !control.Sleep(ctx, contactRefreshInterval+time.Duration(m.random.Int64N(int64(contactRefreshInterval/8)))) {
			break
		}
	}
	m.releaseKey(context.WithoutCancel(ctx))
}

// refresh renews or claims a key as needed and returns the addresses found.
// Nodes that neither hold a key nor may hold one call the store only while
// they know no other node.
func (m *contactManager) refresh(ctx context.Context) []string {
	members := m.board.Members.Load()
	self := members.ByInstance[members.Self]
	ring := decide.NewRing(members)
	rank := ring.ContactRank(self)
	leaving := self.State >= board.MemberDraining
	if m.contactLease.Key != "" && (leaving || rank >= contactReleaseRank) {
		m.releaseKey(ctx)
		return nil
	}
	m.renewLease(ctx)
	mayClaim := !leaving && m.contactLease.Key == "" && rank < contactKeysPerRegion
	if m.contactLease.Key == "" && !mayClaim && ring.Len() > 1 {
		return nil
	}
	entries, err := m.listKeys(ctx)
	if err != nil {
		m.log.Debug().Err(err).Msg("contact keys cannot be read")
		return nil
	}
	if mayClaim {
		m.claimKey(ctx, self, firstFreeKey(entries, self.Region))
	}
	return m.holderAddrs(entries)
}

func (m *contactManager) listKeys(ctx context.Context) ([]platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	return m.store.List(ctx, contactPrefix)
}

// holderAddrs returns the addresses of contact keys. A value with a lower token than
// one seen before comes from a holder whose lease has ended.
func (m *contactManager) holderAddrs(entries []platform.Entry) []string {
	addrs := []string{}
	for _, entry := range entries {
		var value contactValue
		if json.Unmarshal(entry.Value, &value) != nil || value.PeerAddr == "" || value.Token < m.maxTokens[entry.Key] {
			continue
		}
		m.maxTokens[entry.Key] = value.Token
		addrs = append(addrs, value.PeerAddr)
	}
	return addrs
}

// firstFreeKey returns the first key of a region that nobody holds, or "". The
// store client takes keys in the escaped form of a URL path.
func firstFreeKey(entries []platform.Entry, region string) string {
	taken := map[string]bool{}
	for _, entry := range entries {
		taken[entry.Key] = true
	}
	for n := range contactKeysPerRegion {
		if !taken[fmt.Sprintf("%s%s/%d", contactPrefix, region, n)] {
			return fmt.Sprintf("%s%s/%d", contactPrefix, url.PathEscape(region), n)
		}
	}
	return ""
}

// claimKey takes a key under a new lease. After a lost answer it reads back.
func (m *contactManager) claimKey(ctx context.Context, self board.Member, key string) {
	if key == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*storeCallTimeout)
	defer cancel()
	requestedAt := time.Now()
	lease, err := m.store.GrantLease(ctx, contactLeaseTTL)
	if err != nil {
		m.log.Debug().Err(err).Msg("no lease for a contact key")
		return
	}
	value, err := json.Marshal(contactValue{Instance: self.Instance, PeerAddr: self.PeerAddr, Token: lease.Token})
	if err != nil {
		m.log.Error().Err(err).Msg("contact key cannot be encoded")
		return
	}
	_, err = m.store.CompareAndSwap(ctx, key, 0, value, lease.ID)
	if errors.Is(err, platform.ErrIndeterminate) && m.keyHasToken(ctx, key, lease.Token) {
		err = nil
	}
	if err != nil {
		m.log.Debug().Err(err).Str("key", key).Msg("contact key was not taken")
		_ = m.store.RevokeLease(ctx, lease.ID)
		return
	}
	m.storeLease = lease
	m.contactLease = board.Contact{Key: key, Token: lease.Token, Until: requestedAt.Add(contactLeaseTTL)}
}

func (m *contactManager) keyHasToken(ctx context.Context, key string, token uint64) bool {
	entry, err := m.store.Get(ctx, key)
	if err != nil {
		return false
	}
	var value contactValue
	return json.Unmarshal(entry.Value, &value) == nil && value.Token == token
}

// renewLease extends the lease. While the store is down the key counts as held
// until the lease has ended by this node's clock.
func (m *contactManager) renewLease(ctx context.Context) {
	if m.contactLease.Key == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	requestedAt := time.Now()
	err := m.store.RenewLease(ctx, m.storeLease.ID)
	switch {
	case err == nil:
		m.contactLease.Until = requestedAt.Add(contactLeaseTTL)
	case errors.Is(err, platform.ErrNotFound), !time.Now().Before(m.contactLease.Until):
		m.contactLease, m.storeLease = board.Contact{}, platform.Lease{}
	}
}

// releaseKey gives the key up.
func (m *contactManager) releaseKey(ctx context.Context) {
	if m.contactLease.Key == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	if err := m.store.RevokeLease(ctx, m.storeLease.ID); err != nil {
		m.log.Debug().Err(err).Str("key", m.contactLease.Key).Msg("lease of a contact key ends by itself")
	}
	m.contactLease, m.storeLease = board.Contact{}, platform.Lease{}
}
