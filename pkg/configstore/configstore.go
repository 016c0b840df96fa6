// Package configstore keeps the configuration in the platform's store: the
// current document, the copies of old versions and the audit trail. The
// command line applies changes with it; nodes that watch the store repair with
// it what a crashed author left out.
package configstore

import (
	"context"
	"strconv"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/decide/configversion"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/platform"
)

// Store is the part of the store client that this package needs.
type Store interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease string) (uint64, error)
	Delete(ctx context.Context, key string, expect uint64) error
}

// RetainedVersions is the number of old documents that the store keeps. Audit
// entries are small and are kept without a limit.
const RetainedVersions = 200

const (
	versionPrefix = "config/versions/"
	auditPrefix   = "audit/"
)

// StoredDocument is the current document as it was read.
type StoredDocument struct {
	// Document is nil when the store has none yet.
	Document *dynconf.Document
	// Encoded is the stored form of the document.
	Encoded []byte
	// Revision is the revision of the store key, 0 when there is none.
	Revision uint64
}

// Stamp returns the version and change ID, zero for none.
func (s StoredDocument) Stamp() configversion.Stamp { return StampOf(s.Document) }

// StampOf returns the version and change ID of a document, zero for nil.
func StampOf(d *dynconf.Document) configversion.Stamp {
	if d == nil {
		return configversion.Stamp{}
	}
	return configversion.Stamp{Version: d.Version, ChangeID: d.ChangeID}
}

// ReadCurrent reads the current document. A store without one is no error.
func ReadCurrent(ctx context.Context, store Store) (StoredDocument, error) {
	entry, err := store.Get(ctx, dynconf.CurrentKey)
	if errors.Is(err, platform.ErrNotFound) {
		return StoredDocument{}, nil
	}
	if err != nil {
		return StoredDocument{}, errors.Annotate(err, "reading the current configuration")
	}
	document, err := dynconf.DecodeDocument(entry.Value)
	if err != nil {
		return StoredDocument{}, errors.Trace(err)
	}
	return StoredDocument{Document: document, Encoded: entry.Value, Revision: entry.Revision}, nil
}

// ReadVersion reads one of the kept documents. It returns platform.ErrNotFound
// when the version does not exist or is no longer kept.
func ReadVersion(ctx context.Context, store Store, version uint64) (*dynconf.Document, error) {
	current, err := ReadCurrent(ctx, store)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if current.Stamp().Version == version && version != 0 {
		return current.Document, nil
	}
	entry, err := store.Get(ctx, versionKey(version))
	if err != nil {
		return nil, errors.Annotatef(err, "reading version %d", version)
	}
	document, err := dynconf.DecodeDocument(entry.Value)
	return document, errors.Trace(err)
}

func versionKey(version uint64) string { return versionPrefix + strconv.FormatUint(version, 10) }

// AuditEntry says who changed the configuration, when, and how. All of it comes
// from the accepted document, so any holder of the document can write it.
type AuditEntry struct {
	From       uint64    `json:"from"`
	To         uint64    `json:"to"`
	ChangeID   string    `json:"change_id"`
	Author     string    `json:"author"`
	Time       time.Time `json:"time"`
	Difference string    `json:"difference"`
}

func auditEntryOf(d *dynconf.Document) AuditEntry {
	return AuditEntry{From: d.ParentVersion, To: d.Version, ChangeID: d.ChangeID, Author: d.Author, Time: d.Time, Difference: d.Difference}
}

func auditKey(version uint64) string { return auditPrefix + strconv.FormatUint(version, 10) }

// collisionKey is the key of an entry whose version already has the entry of
// another change, which happens after the store lost an accepted version.
func collisionKey(stamp configversion.Stamp) string {
	return auditKey(stamp.Version) + "/" + stamp.ChangeID
}
