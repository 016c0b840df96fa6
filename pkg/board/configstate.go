package board

import "mangostand.example/mangostand/pkg/decide/configversion"

// ConfigState is what the node knows of the configuration beyond the values in
// force. It is written by configsync.
type ConfigState struct {
	// Newest is the newest accepted configuration that the node has seen.
	Newest configversion.Stamp
	// Document is the newest document in its stored form, for peers that pull
	// it and for the write-back to the store.
	Document []byte
	// NotAppliedReason says why the newest document is not in force at this site, "" when
	// it is. The site then runs on with the version in the Config section.
	NotAppliedReason string
	// Watching is set while this node watches the store itself.
	Watching bool
	// StoreReachable is set when the last read of the store had an answer.
	StoreReachable bool

	// RefusedOlder, RefusedConflicts and RefusedInvalid count documents that
	// were refused since the start.
	RefusedOlder     uint64
	RefusedConflicts uint64
	RefusedInvalid   uint64
	// WrittenBack counts the documents that were put back into the store.
	WrittenBack uint64
}
