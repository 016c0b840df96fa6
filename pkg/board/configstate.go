package board

import "mangostand.example/mangostand/pkg/decide/configversion"

// ConfigState holds the state of configuration distribution at this node, beside
// the configuration in force. The configsync controller writes it.
type ConfigState struct {
	// Newest is the newest accepted configuration that the node has seen.
	Newest configversion.Stamp
	// Document is the encoded form of the newest configuration, for peers that
	// pull it and for the write-back to the store.
	Document []byte
	// NotAppliedReason says why the newest configuration is not in force at this
	// site; "" means that it is. The site keeps the version in the Config
	// section meanwhile.
	NotAppliedReason string
	// Watching is set while this node watches the store.
	Watching bool
	// StoreReachable is set when the store answered the last read.
	StoreReachable bool

	// RefusedOlder, RefusedConflicts and RefusedInvalid count the documents that
	// were refused since the start of the node.
	RefusedOlder     uint64
	RefusedConflicts uint64
	RefusedInvalid   uint64
	// WrittenBack counts the documents that were written back to the store.
	WrittenBack uint64
}
