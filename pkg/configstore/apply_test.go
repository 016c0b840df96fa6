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

// newTestStore returns a store that holds version 1, a client of it and the
// document as an operator has read it.
func newTestStore(t *testing.T) (*store.Store, *platform.Client, StoredDocument) {
	s := store.New(time.Now)
	s.SetFaults(store.Faults{})
	client := platform.NewClient("http://store", platform.WithTransport(s.Transport()))
	require.NoError(t, Apply(t.Context(), client, StoredDocument{}, newChange("first")))
	return s, client, requireCurrent(t, client)
}

func requireCurrent(t *testing.T, client *platform.Client) StoredDocument {
	stored, err := ReadCurrent(t.Context(), client)
	require.NoError(t, err)
	return stored
}

func newChange(id string) *dynconf.Document {
	return &dynconf.Document{ChangeID: id, Author: id, Base: "# " + id + "\n"}
}

func contextWithTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// storeWithWriteHook calls a function once, before the first write of the
// current document.
type storeWithWriteHook struct {
	Store
	beforeWrite func()
}

func (h *storeWithWriteHook) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease string) (uint64, error) {
	if before := h.beforeWrite; key == dynconf.CurrentKey && before != nil {
		h.beforeWrite = nil
		before()
	}
	return h.Store.CompareAndSwap(ctx, key, expect, value, lease)
}

// Guards against an operator who overwrites the concurrent change of another
// operator.
func TestSecondOperatorGetsConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client, start := newTestStore(t)
		hookedStore := &storeWithWriteHook{Store: client, beforeWrite: func() {
			require.NoError(t, Apply(t.Context(), client, start, newChange("quick")))
		}}
		require.ErrorIs(t, Apply(t.Context(), hookedStore, start, newChange("late")), ErrConcurrentChange)
		require.Equal(t, "quick", requireCurrent(t, client).Document.ChangeID)
	})
}

// Guards against a lost response that is reported as a failure or leads to a
// second version, and against a lost request that is reported as accepted.
func TestLostResponsesAreResolved(t *testing.T) {
	for name, faults := range map[string]store.Faults{
		"response lost":           {LoseResponses: 1},
		"request lost":            {LoseRequests: 1},
		"requests, response lost": {LoseRequests: 2, LoseResponses: 1},
		"slow and response lost":  {LoseResponses: 1, DelayMillis: 500},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, client, start := newTestStore(t)
				hookedStore := &storeWithWriteHook{Store: client, beforeWrite: func() { s.SetFaults(faults) }}
				require.NoError(t, Apply(contextWithTimeout(t, 20*time.Second), hookedStore, start, newChange("second")))
				s.SetFaults(store.Faults{})
				current := requireCurrent(t, client)
				require.Equal(t, "second", current.Document.ChangeID)
				require.EqualValues(t, 2, current.Document.Version)
			})
		})
	}
}

// Guards against a lost response that is mistaken for a conflict because another
// operator has replaced the accepted change before the first one reads it back.
func TestLostResponseOfSupersededChange(t *testing.T) {
	for name, faults := range map[string]store.Faults{"response lost": {LoseResponses: 1}, "request lost": {LoseRequests: 1}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, client, start := newTestStore(t)
				superseded := false
				hookedStore := &storeWithLostResponseHook{Store: client, afterLostResponse: func() {
					if superseded {
						return
					}
					superseded = true
					require.NoError(t, Apply(t.Context(), client, requireCurrent(t, client), newChange("third")))
					require.NoError(t, Apply(t.Context(), client, requireCurrent(t, client), newChange("fourth")))
				}}
				faultyStore := &storeWithWriteHook{Store: hookedStore, beforeWrite: func() { s.SetFaults(faults) }}
				err := Apply(contextWithTimeout(t, 20*time.Second), faultyStore, start, newChange("second"))
				if faults.LoseResponses > 0 {
					require.NoError(t, err)
				} else {
					require.ErrorIs(t, err, ErrConcurrentChange)
				}
			})
		})
	}
}

// storeWithLostResponseHook calls a function after each write whose response was
// lost.
type storeWithLostResponseHook struct {
	Store
	afterLostResponse func()
}

func (h *storeWithLostResponseHook) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease string) (uint64, error) {
	revision, err := h.Store.CompareAndSwap(ctx, key, expect, value, lease)
	if errors.Is(err, platform.ErrIndeterminate) {
		h.afterLostResponse()
	}
	return revision, err
}

// Guards against a change that is applied, or reported as applied, while the
// store is down from the start, from the write on, or does not respond.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, client, start := newTestStore(t)
		s.SetFaults(store.Faults{Outage: true})
		err := Apply(contextWithTimeout(t, 5*time.Second), client, start, newChange("second"))
		require.ErrorIs(t, err, platform.ErrUnavailable)

		s.SetFaults(store.Faults{})
		hookedStore := &storeWithWriteHook{Store: client, beforeWrite: func() { s.SetFaults(store.Faults{Outage: true}) }}
		err = Apply(contextWithTimeout(t, 5*time.Second), hookedStore, start, newChange("second"))
		require.ErrorIs(t, err, platform.ErrUnavailable)
		require.ErrorContains(t, err, "nothing was applied")

		s.SetFaults(store.Faults{})
		hookedStore = &storeWithWriteHook{Store: client, beforeWrite: func() { s.SetFaults(store.Faults{Unresponsive: true}) }}
		err = Apply(contextWithTimeout(t, 5*time.Second), hookedStore, start, newChange("second"))
		require.ErrorIs(t, err, ErrOutcomeUnknown)
		s.SetFaults(store.Faults{})
		require.Equal(t, "first", requireCurrent(t, client).Document.ChangeID)
	})
}

// Guards against a false conflict: the store has lost the document, and a node
// has written the same one back under another revision.
func TestSameContentUnderAnotherRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client, start := newTestStore(t)
		_, err := client.CompareAndSwap(t.Context(), dynconf.CurrentKey, start.Revision, start.Encoded, "")
		require.NoError(t, err)
		require.NoError(t, Apply(contextWithTimeout(t, 5*time.Second), client, start, newChange("second")))
	})
}

// Guards against an accepted change that never gets its audit entry because its
// author crashed, and against an entry that hides the one of another change with
// the same version.
func TestMissingAuditEntriesAreWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, client, start := newTestStore(t)
		s.Snapshot("first")
		_, err := ReadAuditEntry(t.Context(), client, 1)
		require.ErrorIs(t, err, platform.ErrNotFound)
		second := newChange("second")
		require.NoError(t, Apply(t.Context(), client, start, second))
		entry, err := ReadAuditEntry(t.Context(), client, 1)
		require.NoError(t, err)
		require.Equal(t, "first", entry.Author)

		current := requireCurrent(t, client)
		require.NoError(t, EnsureRecords(t.Context(), client, current.Document, current.Encoded))
		require.NoError(t, EnsureRecords(t.Context(), client, current.Document, current.Encoded))
		other := newChange("other")
		other.SetParent(start.Document)
		require.NoError(t, EnsureRecords(t.Context(), client, other, nil))
		for _, document := range []*dynconf.Document{second, other} {
			found, err := wasAccepted(t.Context(), client, StampOf(document))
			require.NoError(t, err)
			require.True(t, found)
		}
		trail, err := ReadAuditTrail(t.Context(), client, 10)
		require.NoError(t, err)
		require.Equal(t, []uint64{2, 1}, []uint64{trail[0].To, trail[1].To})
		require.Equal(t, "base\n-1: # first\n+1: # second\n", trail[0].Difference)
	})
}

// Guards against copies of old versions that fill the store, even if the author
// of a change crashed before deleting one.
func TestOldVersionsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client, start := newTestStore(t)
		for version := range uint64(RetainedVersions + 2) {
			if version == RetainedVersions {
				// The author of this version crashes.
				require.NoError(t, createKey(t.Context(), client, versionKey(version+1), start.Encoded))
				continue
			}
			d := newChange("d")
			d.SetParent(&dynconf.Document{Version: version})
			encoded, err := d.Encode()
			require.NoError(t, err)
			require.NoError(t, EnsureRecords(t.Context(), client, d, encoded))
		}
		documents, err := client.List(t.Context(), versionPrefix)
		require.NoError(t, err)
		require.Len(t, documents, RetainedVersions)
		auditEntries, err := client.List(t.Context(), auditPrefix)
		require.NoError(t, err)
		require.Len(t, auditEntries, RetainedVersions+1)
	})
}
