// Package configstore keeps the dynamic configuration in the platform's store:
// the current document, copies of recent versions and the audit trail. The
// command line applies changes with it. Nodes that watch the store use it to
// add the records that are missing because the author of a change crashed.
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

// Store is the part of the store client that this package uses.
type Store interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease string) (uint64, error)
	Delete(ctx context.Context, key string, expect uint64) error
}

// RetainedVersions is the number of versions of the document of which the store
// retains a copy. Audit entries are small and are retained without a limit.
const RetainedVersions = 200

const (
	versionPrefix = "config/versions/"
	auditPrefix   = "audit/"
)

// StoredDocument is the current document as it was read from the store.
type StoredDocument struct {
	// Document is nil if the store has none yet.
	Document *dynconf.Document
	// Encoded is the stored form of the document.
	Encoded []byte
	// Revision is the revision of the store key, 0 if there is none.
	Revision uint64
}

// Stamp returns the version and change ID, or the zero stamp if there is no
// document.
func (s StoredDocument) Stamp() configversion.Stamp { return StampOf(s.Document) }

// StampOf returns the version and change ID of a document, or the zero stamp if
// it is nil.
func StampOf(d *dynconf.Document) configversion.Stamp {
	if d == nil {
		return configversion.Stamp{}
	}
	return configversion.Stamp{Version: d.Version, ChangeID: d.ChangeID}
}

// ReadCurrent reads the current document. It is not an error if the store has
// none; the Document of the result is then nil.
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

// ReadVersion reads the current document or a retained copy of an earlier
// version. It returns platform.ErrNotFound if the version does not exist or is
// no longer retained.
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

// AuditEntry records who changed the configuration, when and how. All of it is
// taken from the accepted document, so whoever has the document can write the
// entry.
type AuditEntry struct {
	From       uint64    `json:"from"`
	To         uint64    `json:"to"`
	ChangeID   string    `json:"change_id"`
	Author     string    `json:"author"`
	Time       time.Time `json:"time"`
	Difference string    `json:"difference"`
}

func newAuditEntry(d *dynconf.Document) AuditEntry {
	return AuditEntry{From: d.ParentVersion, To: d.Version, ChangeID: d.ChangeID, Author: d.Author, Time: d.Time, Difference: d.Difference}
}

func auditKey(version uint64) string { return auditPrefix + strconv.FormatUint(version, 10) }

// auditCollisionKey returns the key of an audit entry if its version already has
// the entry of another change, which happens only after the store has lost an
// accepted version.
func auditCollisionKey(stamp configversion.Stamp) string {
	return auditKey(stamp.Version) + "/" + stamp.ChangeID
}
