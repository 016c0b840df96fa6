package configstore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/standin/store"
	"mangostand.example/mangostand/platform"
)

// setUp returns a store with version 1 and what an operator read from it.
func setUp(t *testing.T) (*store.Store, *platform.Client, StoredDocument) {
	s := store.New(time.Now)
	s.SetFaults(store.Faults{})
	client := platform.NewClient("http://store", platform.WithTransport(s.Transport()))
	require.NoError(t, Apply(t.Context(), client, StoredDocument{}, change("first")))
	return s, client, read(t, client)
}

func read(t *testing.T, client *platform.Client) StoredDocument {
	stored, err := ReadCurrent(t.Context(), client)
	require.NoError(t, err)
	return stored
}

func change(id string) *dynconf.Document {
	return &dynconf.Document{ChangeID: id, Author: id, Base: "# " + id + "\n"}
}

func withTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// hooked runs a function once before the first write of the current document.
type hooked struct {
	Store
	before func()
}

func (h *hooked) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease string) (uint64, error) {
	if before := h.before; key == dynconf.CurrentKey && before != nil {
		h.before = nil
		before()
	}
	return h.Store.CompareAndSwap(ctx, key, expect, value, lease)
}

// Guards against two operators of whom the second overwrites the first.
func TestSecondOperatorGetsConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client, start := setUp(t)
		second := &hooked{Store: client, before: func() {
			require.NoError(t, Apply(t.Context(), client, start, change("quick")))
		}}
		require.ErrorIs(t, Apply(t.Context(), second, start, change("late")), ErrConcurrentChange)
		require.Equal(t, "quick", read(t, client).Document.ChangeID)
	})
}

// Guards against a lost answer that is reported as a failure or leads to a
// second version, and against a lost request that is reported as accepted.
func TestLostAnswersAreSettled(t *testing.T) {
	for name, faults := range map[string]store.Faults{
		"answer lost":             {LoseResponses: 1},
		"request lost":            {LoseRequests: 1},
		"requests and answer":     {LoseRequests: 2, LoseResponses: 1},
		"slow and an answer lost": {LoseResponses: 1, DelayMillis: 500},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, client, start := setUp(t)
				operator := &hooked{Store: client, before: func() { s.SetFaults(faults) }}
				require.NoError(t, Apply(withTimeout(t, 20*time.Second), operator, start, change("second")))
				s.SetFaults(store.Faults{})
				current := read(t, client)
				require.Equal(t, "second", current.Document.ChangeID)
				require.EqualValues(t, 2, current.Document.Version)
			})
		})
	}
}

// Guards against a lost answer that is taken for a conflict because another
// operator built on the change before it was read back.
func TestLostAnswerOfSupersededChange(t *testing.T) {
	for name, faults := range map[string]store.Faults{"answer lost": {LoseResponses: 1}, "request lost": {LoseRequests: 1}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, client, start := setUp(t)
				next := false
				operator := &racing{Store: client, lost: func() {
					if next {
						return
					}
					next = true
					require.NoError(t, Apply(t.Context(), client, read(t, client), change("third")))
					require.NoError(t, Apply(t.Context(), client, read(t, client), change("fourth")))
				}}
				hook := &hooked{Store: operator, before: func() { s.SetFaults(faults) }}
				err := Apply(withTimeout(t, 20*time.Second), hook, start, change("second"))
				if faults.LoseResponses > 0 {
					require.NoError(t, err)
				} else {
					require.ErrorIs(t, err, ErrConcurrentChange)
				}
			})
		})
	}
}

// racing runs a function after a write whose answer was lost.
type racing struct {
	Store
	lost func()
}

func (r *racing) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease string) (uint64, error) {
	revision, err := r.Store.CompareAndSwap(ctx, key, expect, value, lease)
	if errors.Is(err, platform.ErrIndeterminate) {
		r.lost()
	}
	return revision, err
}

// Guards against a change that is applied or reported as applied while the
// store is down, before the write and after it.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, client, start := setUp(t)
		s.SetFaults(store.Faults{Outage: true})
		err := Apply(withTimeout(t, 5*time.Second), client, start, change("second"))
		require.ErrorIs(t, err, platform.ErrUnavailable)

		s.SetFaults(store.Faults{})
		operator := &hooked{Store: client, before: func() { s.SetFaults(store.Faults{Outage: true}) }}
		err = Apply(withTimeout(t, 5*time.Second), operator, start, change("second"))
		require.ErrorIs(t, err, platform.ErrUnavailable)
		require.ErrorContains(t, err, "nothing was applied")

		s.SetFaults(store.Faults{})
		operator = &hooked{Store: client, before: func() { s.SetFaults(store.Faults{Unresponsive: true}) }}
		err = Apply(withTimeout(t, 5*time.Second), operator, start, change("second"))
		require.ErrorIs(t, err, ErrOutcomeUnknown)
		s.SetFaults(store.Faults{})
		require.Equal(t, "first", read(t, client).Document.ChangeID)
	})
}

// Guards against a conflict that nobody caused: the store lost the document and
// a node wrote the same one back under another revision.
func TestSameContentUnderAnotherRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client, start := setUp(t)
		_, err := client.CompareAndSwap(t.Context(), dynconf.CurrentKey, start.Revision, start.Encoded, "")
		require.NoError(t, err)
		require.NoError(t, Apply(withTimeout(t, 5*time.Second), client, start, change("second")))
	})
}

// Guards against an accepted change without its audit entry after its author
// crashed, and against an entry that hides another change of its version.
func TestAuditEntriesAreCompleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, client, start := setUp(t)
		s.Snapshot("first")
		_, err := ReadAuditEntry(t.Context(), client, 1)
		require.ErrorIs(t, err, platform.ErrNotFound)
		second := change("second")
		require.NoError(t, Apply(t.Context(), client, start, second))
		entry, err := ReadAuditEntry(t.Context(), client, 1)
		require.NoError(t, err)
		require.Equal(t, "first", entry.Author)

		current := read(t, client)
		require.NoError(t, EnsureRecords(t.Context(), client, current.Document, current.Encoded))
		require.NoError(t, EnsureRecords(t.Context(), client, current.Document, current.Encoded))
		other := change("other")
		other.SetParent(start.Document)
		require.NoError(t, EnsureRecords(t.Context(), client, other, nil))
		for _, stamp := range []*dynconf.Document{second, other} {
			found, err := accepted(t.Context(), client, StampOf(stamp))
			require.NoError(t, err)
			require.True(t, found)
		}
		trail, err := ReadAuditTrail(t.Context(), client, 10)
		require.NoError(t, err)
		require.Equal(t, []uint64{2, 1}, []uint64{trail[0].To, trail[1].To})
		require.Equal(t, "base\n-1: # first\n+1: # second\n", trail[0].Difference)
	})
}

// Guards against old documents that fill the store, also after a change whose
// author could not drop one.
func TestOldVersionsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client, start := setUp(t)
		for version := range uint64(RetainedVersions + 2) {
			if version == RetainedVersions {
				// The author of this version crashes.
				require.NoError(t, create(t.Context(), client, versionKey(version+1), start.Encoded))
				continue
			}
			d := change("d")
			d.SetParent(&dynconf.Document{Version: version})
			raw, err := d.Encode()
			require.NoError(t, err)
			require.NoError(t, EnsureRecords(t.Context(), client, d, raw))
		}
		entries, err := client.List(t.Context(), versionPrefix)
		require.NoError(t, err)
		require.Len(t, entries, RetainedVersions)
		trail, err := client.List(t.Context(), auditPrefix)
		require.NoError(t, err)
		require.Len(t, trail, RetainedVersions+1)
	})
}
