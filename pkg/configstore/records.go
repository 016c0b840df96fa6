package configstore

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/decide/configversion"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/platform"
)

// maxTrimmed bounds the old documents that one change deletes. More than one
// is left over only when earlier changes could not delete theirs.
const maxTrimmed = 10

// EnsureRecords writes the audit entry and the kept copy of an accepted
// document unless they exist, and drops documents that are no longer kept. It
// may be repeated and may run at several places at once.
func EnsureRecords(ctx context.Context, store Store, document *dynconf.Document, raw []byte) error {
	if document == nil {
		return nil
	}
	if err := ensureAudit(ctx, store, document); err != nil {
		return errors.Annotatef(err, "audit entry of version %d", document.Version)
	}
	if err := create(ctx, store, versionKey(document.Version), raw); err != nil && !errors.Is(err, platform.ErrConflict) {
		return errors.Annotatef(err, "copy of version %d", document.Version)
	}
	return errors.Annotate(trim(ctx, store, document.Version), "dropping old versions")
}

func ensureAudit(ctx context.Context, store Store, document *dynconf.Document) error {
	value, err := json.Marshal(auditEntryOf(document))
	if err != nil {
		return errors.Trace(err)
	}
	err = create(ctx, store, auditKey(document.Version), value)
	if !errors.Is(err, platform.ErrConflict) {
		return errors.Trace(err)
	}
	// The entry exists. That of another change must not hide this one.
	existing, err := ReadAuditEntry(ctx, store, document.Version)
	if err != nil {
		return errors.Trace(err)
	}
	if existing.ChangeID == document.ChangeID {
		return nil
	}
	err = create(ctx, store, collisionKey(StampOf(document)), value)
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return errors.Trace(err)
}

// create writes a key that must not exist. The read before it saves the store
// a write in the usual case that another writer was first.
func create(ctx context.Context, store Store, key string, value []byte) error {
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

// trim drops the document that leaves the kept range and those below it that
// earlier changes left over.
func trim(ctx context.Context, store Store, version uint64) error {
	for range maxTrimmed {
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
	return readAudit(ctx, store, auditKey(version))
}

// accepted reports whether a change has its audit entry, and with it whether
// it took effect at some time.
func accepted(ctx context.Context, store Store, stamp configversion.Stamp) (bool, error) {
	entry, err := ReadAuditEntry(ctx, store, stamp.Version)
	if err == nil && entry.ChangeID == stamp.ChangeID {
		return true, nil
	}
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return false, errors.Trace(err)
	}
	_, err = readAudit(ctx, store, collisionKey(stamp))
	if errors.Is(err, platform.ErrNotFound) {
		return false, nil
	}
	return err == nil, errors.Trace(err)
}

func readAudit(ctx context.Context, store Store, key string) (AuditEntry, error) {
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

// ReadAuditTrail reads the newest audit entries, newest first, at most limit. Versions
// without an entry are left out: their author crashed and no later change or
// watching node has repaired them yet.
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
