package configsync

import (
	"context"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/configstore"
	"mangostand.example/mangostand/pkg/control"
	"mangostand.example/mangostand/pkg/decide/configversion"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/platform"
)

const (
	// maxWatchWait is the longest wait of one watch request in the store.
	maxWatchWait = 10 * time.Second
	// storeRetryInterval is the pause after a failed call to the store.
	storeRetryInterval = 500 * time.Millisecond
	// roleCheckInterval is how often a node that does not watch the store checks
	// whether it has to, because it now holds a contact key.
	roleCheckInterval = 500 * time.Millisecond
)

// storeWatcher reads and watches the store while this node holds a contact key.
// It reads the board and delivers documents to the controller, which is the only
// writer.
type storeWatcher struct {
	controller *Controller
	// synced reports whether revision is that of the last read, so that a watch can
	// continue from it. After an error the store may have lost data and use any
	// revision, so the next read returns at once instead of waiting for a change.
	synced   bool
	revision uint64
	// auditedStamp identifies the configuration whose audit entry and archived copy
	// are known to exist in the store.
	auditedStamp configversion.Stamp
}

func (w *storeWatcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !w.controller.WatchesStore() {
			w.synced = false
			w.controller.deliver(ctx, event{fromStore: true})
			control.Sleep(ctx, roleCheckInterval)
			continue
		}
		if err := w.syncOnce(ctx, maxWatchWait); err != nil {
			control.Sleep(ctx, storeRetryInterval)
		}
	}
}

// syncOnce reads the store once, delivers what it read, and repairs the store if
// necessary.
func (w *storeWatcher) syncOnce(ctx context.Context, wait time.Duration) error {
	entry, err := w.readCurrent(ctx, wait)
	if err != nil && !isNotFound(err) {
		w.synced = false
		w.controller.Log.Debug().Err(err).Msg("failed to read the configuration from the store")
		w.controller.deliver(ctx, event{fromStore: true, watching: true})
		return errors.Trace(err)
	}
	w.synced, w.revision = true, entry.Revision
	// The entry is checked even if its revision has not changed: a store that has
	// lost data may reuse a revision.
	w.controller.deliver(ctx, event{data: w.candidateDocument(entry), fromStore: true, watching: true, storeReachable: true})
	return errors.Trace(w.repairStore(ctx, entry))
}

func (w *storeWatcher) readCurrent(ctx context.Context, wait time.Duration) (platform.Entry, error) {
	if !w.synced {
		return w.controller.Store.Get(ctx, dynconf.CurrentKey)
	}
	return w.controller.Store.Watch(ctx, dynconf.CurrentKey, w.revision, wait)
}

// candidateDocument returns the document in the store if the controller must
// handle it. It returns nil if there is none, if the node already has it, or if
// it is older and is therefore overwritten by repairStore.
func (w *storeWatcher) candidateDocument(entry platform.Entry) []byte {
	if entry.Value == nil {
		return nil
	}
	document, err := dynconf.DecodeDocument(entry.Value)
	newest := w.controller.state.Load().Newest
	if err == nil && (configstore.StampOf(document) == newest || configversion.NeedsWriteBack(newest, configstore.StampOf(document))) {
		return nil
	}
	return entry.Value
}

// repairStore writes this node's document back if the store has an older one or
// none, and adds missing records of the current one: its audit entry and archived
// copy.
func (w *storeWatcher) repairStore(ctx context.Context, entry platform.Entry) error {
	state := w.controller.state.Load()
	stored := configversion.Stamp{}
	if entry.Value != nil {
		document, err := dynconf.DecodeDocument(entry.Value)
		if err != nil {
			// An undecodable document is left in place for an operator to inspect.
			return nil
		}
		stored = configstore.StampOf(document)
	}
	if configversion.NeedsWriteBack(state.Newest, stored) {
		return w.writeBack(ctx, entry.Revision, state.Document, stored, state.Newest)
	}
	if stored != state.Newest || stored == w.auditedStamp || stored.Version == 0 {
		return nil
	}
	document, err := dynconf.DecodeDocument(state.Document)
	if err != nil {
		return errors.Trace(err)
	}
	if err := configstore.EnsureRecords(ctx, w.controller.Store, document, state.Document); err != nil {
		w.controller.Log.Warn().Err(err).Msg("failed to complete the records of the configuration")
		return errors.Trace(err)
	}
	w.auditedStamp = stored
	return nil
}

// writeBack replaces the older document in the store. A write conflict or a lost
// response needs no handling: the next read returns what the store holds.
func (w *storeWatcher) writeBack(ctx context.Context, revision uint64, data []byte, stored, newest configversion.Stamp) error {
	w.synced = false
	w.auditedStamp = configversion.Stamp{}
	_, err := w.controller.Store.CompareAndSwap(ctx, dynconf.CurrentKey, revision, data, "")
	log := w.controller.Log.Warn().Uint64("stored", stored.Version).Uint64("config_version", newest.Version)
	if err != nil {
		log.Err(err).Msg("the store lost a configuration; writing it back failed")
		return errors.Trace(err)
	}
	log.Msg("the store lost a configuration; it was written back")
	w.controller.deliver(ctx, event{fromStore: true, watching: true, storeReachable: true, wroteBack: true})
	return nil
}
