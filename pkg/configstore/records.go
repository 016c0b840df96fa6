package configstore

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/decide/configversion"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/platform"
)

// maxDeletionsPerChange limits the copies of old versions that one change deletes.
// There is more than one only if earlier changes failed to delete theirs.
const maxDeletionsPerChange = 10

// EnsureRecords writes the audit entry and the retained copy of an accepted
// document unless they exist, and deletes the copies that are no longer
// retained. It is idempotent and may run in several processes at once.
func EnsureRecords(ctx context.Context, store Store, document *dynconf.Document, encoded []byte) error {
	if document == nil {
		return nil
	}
	if err := ensureAuditEntry(ctx, store, document); err != nil {
		return errors.Annotatef(err, "audit entry of version %d", document.Version)
	}
	if err := createKey(ctx, store, versionKey(document.Version), encoded); err != nil && !errors.Is(err, platform.ErrConflict) {
		return errors.Annotatef(err, "copy of version %d", document.Version)
	}
	return errors.Annotate(deleteOldVersions(ctx, store, document.Version), "deleting old versions")
}

// ensureAuditEntry writes the audit entry of an accepted document unless it
// exists.
func ensureAuditEntry(ctx context.Context, store Store, document *dynconf.Document) error {
	value, err := json.Marshal(newAuditEntry(document))
	if err != nil {
		return errors.Trace(err)
	}
	err = createKey(ctx, store, auditKey(document.Version), value)
	if !errors.Is(err, platform.ErrConflict) {
		return errors.Trace(err)
	}
	// The version has an entry. If it belongs to another change, the entry of
	// this one is written under another key, so that both are kept.
	existing, err := ReadAuditEntry(ctx, store, document.Version)
	if err != nil {
		return errors.Trace(err)
	}
	if existing.ChangeID == document.ChangeID {
		return nil
	}
	err = createKey(ctx, store, auditCollisionKey(StampOf(document)), value)
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return errors.Trace(err)
}

// createKey writes a key, or returns platform.ErrConflict if it exists. It
// reads the key first, which saves the store a write in the usual case that the key
// exists.
func createKey(ctx context.Context, store Store, key string, value []byte) error {
	_, err := store.Get(ctx, key)
	if err == nil {
		return platform.ErrConflict
	}
	if !errors.Is(err, platform.ErrNotFound) {
		return errors.Trace(err)
	}
	_, err = store.CompareAndSwap(ctx, key, 0, value, "")
	return errors.Trace(err)
}

// deleteOldVersions deletes the copy of the newest version that is no longer
// retained, and older copies that earlier changes failed to delete.
func deleteOldVersions(ctx context.Context, store Store, version uint64) error {
	for range maxDeletionsPerChange {
		if version <= RetainedVersions {
			return nil
		}
		key := versionKey(version - RetainedVersions)
		entry, err := store.Get(ctx, key)
		if err == nil {
			err = store.Delete(ctx, key, entry.Revision)
		}
		if errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrConflict) {
			return nil
		}
		if err != nil {
			return errors.Trace(err)
		}
		version--
	}
	return nil
}

// ReadAuditEntry reads the audit entry of a version.
func ReadAuditEntry(ctx context.Context, store Store, version uint64) (AuditEntry, error) {
	return readAuditEntryAt(ctx, store, auditKey(version))
}

// wasAccepted reports whether a change has an audit entry, which means that it
// took effect at some time.
func wasAccepted(ctx context.Context, store Store, stamp configversion.Stamp) (bool, error) {
	entry, err := ReadAuditEntry(ctx, store, stamp.Version)
	if err == nil && entry.ChangeID == stamp.ChangeID {
		return true, nil
	}
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return false, errors.Trace(err)
	}
	_, err = readAuditEntryAt(ctx, store, auditCollisionKey(stamp))
	if errors.Is(err, platform.ErrNotFound) {
		return false, nil
	}
	return err == nil, errors.Trace(err)
}

func readAuditEntryAt(ctx context.Context, store Store, key string) (AuditEntry, error) {
	var entry AuditEntry
	stored, err := store.Get(ctx, key)
	if err != nil {
		return entry, errors.Trace(err)
	}
	if err := json.Unmarshal(stored.Value, &entry); err != nil {
		return entry, errors.Annotatef(err, "audit entry %s", key)
	}
	return entry, nil
}

// ReadAuditTrail reads at most limit audit entries, newest first. Versions
// without an entry are omitted: their author crashed, and no later change or
// node that watches the store has written the entry yet.
func ReadAuditTrail(ctx context.Context, store Store, limit int) ([]AuditEntry, error) {
	current, err := ReadCurrent(ctx, store)
	if err != nil {
		return nil, errors.Trace(err)
	}
	entries := []AuditEntry{}
	for version := current.Stamp().Version; version > 0 && len(entries) < limit; version-- {
		entry, err := ReadAuditEntry(ctx, store, version)
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, errors.Trace(err)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}
