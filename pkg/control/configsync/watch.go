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
	// watchWait is how long one watch waits in the store.
	watchWait = 10 * time.Second
	// retryInterval spaces the calls while the store is down.
	retryInterval = 500 * time.Millisecond
	// idleInterval is how often a node that does not watch asks whether it
	// holds a contact key.
	idleInterval = 500 * time.Millisecond
)

// watcher reads the store for a node that holds a contact key. It reads the
// board and hands documents to the controller, which alone publishes.
type watcher struct {
	controller *Controller
	// synced is set when the revision below is that of the last read. After an
	// error the store may hold older data under any revision, so the next read
	// does not wait.
	synced   bool
	revision uint64
	// recorded is the version whose audit entry is known to exist.
	recorded configversion.Stamp
}

func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !w.controller.WatchesStore() {
			w.synced = false
			w.controller.deliver(ctx, event{fromStore: true})
			control.Sleep(ctx, idleInterval)
			continue
		}
		if err := w.step(ctx, watchWait); err != nil {
			control.Sleep(ctx, retryInterval)
		}
	}
}

// step does one read of the store and what follows from it.
func (w *watcher) step(ctx context.Context, wait time.Duration) error {
	entry, err := w.read(ctx, wait)
	if err != nil && !isMissing(err) {
		w.synced = false
		w.controller.Log.Debug().Err(err).Msg("configuration not read from the store")
		w.controller.deliver(ctx, event{fromStore: true, watching: true})
		return errors.Trace(err)
	}
	w.synced, w.revision = true, entry.Revision
	// The entry is looked at even when its revision is the same: a store that
	// lost data may use a revision twice.
	w.controller.deliver(ctx, event{data: w.offer(entry), fromStore: true, watching: true, reachable: true})
	return errors.Trace(w.repair(ctx, entry))
}

func (w *watcher) read(ctx context.Context, wait time.Duration) (platform.Entry, error) {
	if !w.synced {
		return w.controller.Store.Get(ctx, dynconf.CurrentKey)
	}
	return w.controller.Store.Watch(ctx, dynconf.CurrentKey, w.revision, wait)
}

// offer returns a document that the controller has to judge, nil when the
// store has what the node has or something older, which is written back.
func (w *watcher) offer(entry platform.Entry) []byte {
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

// repair puts a newer document back into the store and completes the records
// of an accepted one.
func (w *watcher) repair(ctx context.Context, entry platform.Entry) error {
	state := w.controller.state.Load()
	stored := configversion.Stamp{}
	if entry.Value != nil {
		document, err := dynconf.DecodeDocument(entry.Value)
		if err != nil {
			// What cannot be read is left for an operator to look at.
			return nil
		}
		stored = configstore.StampOf(document)
	}
	if configversion.NeedsWriteBack(state.Newest, stored) {
		return w.writeBack(ctx, entry.Revision, state.Document, stored, state.Newest)
	}
	if stored != state.Newest || stored == w.recorded || stored.Version == 0 {
		return nil
	}
	document, err := dynconf.DecodeDocument(state.Document)
	if err != nil {
		return errors.Trace(err)
	}
	if err := configstore.EnsureRecords(ctx, w.controller.Store, document, state.Document); err != nil {
		w.controller.Log.Warn().Err(err).Msg("records of the configuration not completed")
		return errors.Trace(err)
	}
	w.recorded = stored
	return nil
}

// writeBack replaces an older document. A conflict or a lost answer needs no
// care: the next read shows what the store holds.
func (w *watcher) writeBack(ctx context.Context, revision uint64, data []byte, stored, newest configversion.Stamp) error {
	w.synced = false
	w.recorded = configversion.Stamp{}
	_, err := w.controller.Store.CompareAndSwap(ctx, dynconf.CurrentKey, revision, data, "")
	log := w.controller.Log.Warn().Uint64("stored", stored.Version).Uint64("config_version", newest.Version)
	if err != nil {
		log.Err(err).Msg("the store lost a configuration; it was not written back yet")
		return errors.Trace(err)
	}
	log.Msg("the store lost a configuration; it was written back")
	w.controller.deliver(ctx, event{fromStore: true, watching: true, reachable: true, wroteBack: true})
	return nil
}
