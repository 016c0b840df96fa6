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
	// contactPrefix is the store prefix of the contact keys contacts/REGION/N.
	contactPrefix = "contacts/"
	// contactKeysPerRegion is the number of contact keys of a region.
	contactKeysPerRegion = 8
	// contactReleaseRank is the lowest contact rank at which a holder releases
	// its key. It is above contactKeysPerRegion, so that keys do not move when
	// a node joins.
	contactReleaseRank = 2 * contactKeysPerRegion
	// contactLeaseTTL is the lifetime of the lease on a contact key. The holder
	// renews the lease every contactRefreshInterval, about three times per TTL.
	contactLeaseTTL        = 6 * time.Second
	contactRefreshInterval = 2 * time.Second
	// storeCallTimeout limits one store call.
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
	// Token is the fencing token of the lease on the key.
	Token uint64 `json:"token"`
}

// contactManager claims and reads contact keys. These keys in the store publish
// the peer addresses of a few nodes per region, through which other nodes join.
// The manager has a goroutine of its own, because a store call may take long.
type contactManager struct {
	board  *board.Board
	store  ContactStore
	random *rand.Rand
	log    zerolog.Logger

	// storeLease is the lease under which contactLease.Key was written.
	storeLease   platform.Lease
	contactLease board.ContactLease
	// maxTokens holds the highest fencing token seen per key.
	maxTokens map[string]uint64
}

func newContactManager(b *board.Board, store ContactStore, random *rand.Rand, log zerolog.Logger) *contactManager {
	return &contactManager{board: b, store: store, random: random, log: log, maxTokens: map[string]uint64{}}
}

// run refreshes the contact keys until ctx ends and then releases the key that
// it holds. After each refresh it calls onRefresh with that key and the peer
// addresses found in the store, nil if the store was not read.
func (m *contactManager) run(ctx context.Context, onRefresh func(board.ContactLease, []string)) {
	for {
		addrs := m.refresh(ctx)
		onRefresh(m.contactLease, addrs)
		// The jitter keeps nodes that start together from calling the store
		// together.
		if !control.Sleep(ctx, contactRefreshInterval+time.Duration(m.random.Int64N(int64(contactRefreshInterval/8)))) {
			break
		}
	}
	m.releaseKey(context.WithoutCancel(ctx))
}

// refresh renews, claims or releases a key as needed and returns the peer
// addresses found in the store. Nodes that neither hold a key nor may claim one
// call the store only while they know no other node.
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
		m.log.Debug().Err(err).Msg("reading the contact keys failed")
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

// holderAddrs returns the peer addresses in contact keys. It skips a value with
// a lower fencing token than one seen before, because the lease of its holder
// has ended.
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

// firstFreeKey returns the first contact key of a region that is not taken, or
// "". The key is escaped for a URL path, as the store client expects.
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

// claimKey writes a key under a new lease. If the outcome of the write is not
// known, it reads the key to find out.
func (m *contactManager) claimKey(ctx context.Context, self board.Member, key string) {
	if key == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*storeCallTimeout)
	defer cancel()
	requestedAt := time.Now()
	lease, err := m.store.GrantLease(ctx, contactLeaseTTL)
	if err != nil {
		m.log.Debug().Err(err).Msg("granting the lease for a contact key failed")
		return
	}
	value, err := json.Marshal(contactValue{Instance: self.Instance, PeerAddr: self.PeerAddr, Token: lease.Token})
	if err != nil {
		m.log.Error().Err(err).Msg("encoding the value of a contact key failed")
		return
	}
	_, err = m.store.CompareAndSwap(ctx, key, 0, value, lease.ID)
	if errors.Is(err, platform.ErrIndeterminate) && m.keyHasToken(ctx, key, lease.Token) {
		err = nil
	}
	if err != nil {
		m.log.Debug().Err(err).Str("key", key).Msg("claiming a contact key failed")
		_ = m.store.RevokeLease(ctx, lease.ID)
		return
	}
	m.storeLease = lease
	m.contactLease = board.ContactLease{Key: key, Token: lease.Token, ExpiresAt: requestedAt.Add(contactLeaseTTL)}
}

// keyHasToken reports whether the value of a key in the store has the token.
func (m *contactManager) keyHasToken(ctx context.Context, key string, token uint64) bool {
	entry, err := m.store.Get(ctx, key)
	if err != nil {
		return false
	}
	var value contactValue
	return json.Unmarshal(entry.Value, &value) == nil && value.Token == token
}

// renewLease extends the lease. While the store does not respond, the key
// counts as held until the lease has expired by the clock of this node.
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
		m.contactLease.ExpiresAt = requestedAt.Add(contactLeaseTTL)
	case errors.Is(err, platform.ErrNotFound), !time.Now().Before(m.contactLease.ExpiresAt):
		m.contactLease, m.storeLease = board.ContactLease{}, platform.Lease{}
	}
}

// releaseKey releases the key by revoking its lease. If that fails, the lease
// expires by itself.
func (m *contactManager) releaseKey(ctx context.Context) {
	if m.contactLease.Key == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	if err := m.store.RevokeLease(ctx, m.storeLease.ID); err != nil {
		m.log.Debug().Err(err).Str("key", m.contactLease.Key).Msg("revoking the lease of a contact key failed, it will expire")
	}
	m.contactLease, m.storeLease = board.ContactLease{}, platform.Lease{}
}
