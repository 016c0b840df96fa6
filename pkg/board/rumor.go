package board

// RumorKind selects the controller that receives a rumor.
type RumorKind uint8

// Rumor kinds.
const (
	// RumorConfig announces the version of an accepted configuration.
	RumorConfig RumorKind = 1
	// RumorEpoch announces the epoch of a service.
	RumorEpoch RumorKind = 2
	// RumorQuarantine announces that a backend server crashed while a suspected
	// request ran, or that crashes of a request were cleared because it completed
	// elsewhere or an operator lifted its quarantine.
	RumorQuarantine RumorKind = 3
)

// Rumor is a small message that is flooded to all nodes. A controller posts it to
// Board.OutgoingRumors, and the membership controller sends it to the neighbours.
// Each node that sees it for the first time posts it to the inbox of its kind and
// forwards it.
type Rumor struct {
	Kind RumorKind `cbor:"1,keyasint"`
	// ID identifies the rumor, so that each node forwards it once.
	ID      string `cbor:"2,keyasint"`
	Payload []byte `cbor:"3,keyasint"`
	// ExpiresAtMillis is the expiry in milliseconds since the Unix epoch. Until
	// then nodes retain the rumor and send it to nodes that missed it. 0 means
	// that it is not retained.
	ExpiresAtMillis int64 `cbor:"4,keyasint,omitempty"`
}
