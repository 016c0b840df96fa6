package wire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// ConfigRumor is the payload of a rumor of kind RumorConfig.
type ConfigRumor struct {
	Version  uint64 `cbor:"1,keyasint"`
	ChangeID string `cbor:"2,keyasint"`
	// Addr is the peer address of a node that has the document.
	Addr string `cbor:"3,keyasint"`
}

// ConfigPull asks for the configuration document when the receiver has a newer
// one than the sender. It also tells the receiver what the sender has.
type ConfigPull struct {
	Version  uint64 `cbor:"1,keyasint,omitempty"`
	ChangeID string `cbor:"2,keyasint,omitempty"`
	// Addr is the peer address of the sender.
	Addr string `cbor:"3,keyasint,omitempty"`
}

// ConfigDoc answers a ConfigPull.
type ConfigDoc struct {
	// Version is the newest version of the answering node, 0 for none.
	Version uint64 `cbor:"1,keyasint,omitempty"`
	// Document is empty when Version is not newer than what the sender has.
	Document []byte `cbor:"2,keyasint,omitempty"`
	ChangeID string `cbor:"3,keyasint,omitempty"`
}

// EncodeConfigRumor returns the payload of a rumor.
func EncodeConfigRumor(r ConfigRumor) ([]byte, error) {
	data, err := cbor.Marshal(r)
	return data, errors.Trace(err)
}

// DecodeConfigRumor reads the payload of a rumor.
func DecodeConfigRumor(payload []byte) (ConfigRumor, error) {
	var r ConfigRumor
	if err := decMode.Unmarshal(payload, &r); err != nil {
		return r, errors.Annotatef(ErrMalformed, "configuration rumor: %v", err)
	}
	return r, nil
}
