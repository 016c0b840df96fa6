package board

// RumorKind says which controller a rumor is for.
type RumorKind uint8

// Kinds of rumors.
const (
	// RumorConfig carries the version of an accepted configuration.
	RumorConfig RumorKind = 1
	// RumorEpoch carries the epoch of a service.
	RumorEpoch RumorKind = 2
	// RumorQuarantine carries a death of a backend server with its suspects,
	// a completion or a lift.
	RumorQuarantine RumorKind = 3
)

// Rumor is a small message that floods to every node. A controller posts it to
// Board.RumorsOut; the membership controller passes it to the neighbours; each
// node that has not seen it yet posts it to the inbox of its kind and passes
// it on.
type Rumor struct {
	Kind RumorKind `cbor:"1,keyasint"`
	// ID identifies the rumor, so that a node passes it on once.
	ID      string `cbor:"2,keyasint"`
	Payload []byte `cbor:"3,keyasint"`
	// ExpiresAtMillis is when the rumor becomes obsolete, in milliseconds since the Unix
	// epoch. Nodes keep the rumor until then and hand it to those that missed
	// it. 0 means that it is not kept.
	ExpiresAtMillis int64 `cbor:"4,keyasint,omitempty"`
}
