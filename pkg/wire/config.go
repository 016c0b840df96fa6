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

// ConfigPull requests the configuration document of the receiver if it is newer
// than the sender's. Version and ChangeID are those of the sender's document. The
// response is a ConfigDoc.
type ConfigPull struct {
	Version  uint64 `cbor:"1,keyasint,omitempty"`
	ChangeID string `cbor:"2,keyasint,omitempty"`
	// Addr is the peer address of the sender.
	Addr string `cbor:"3,keyasint,omitempty"`
}

// ConfigDoc is the response to a ConfigPull.
type ConfigDoc struct {
	// Version is the newest version that the responding node has, 0 for none.
	Version uint64 `cbor:"1,keyasint,omitempty"`
	// Document is empty unless Version is newer than that of the ConfigPull.
	Document []byte `cbor:"2,keyasint,omitempty"`
	ChangeID string `cbor:"3,keyasint,omitempty"`
}

// EncodeConfigRumor encodes the payload of a configuration rumor.
func EncodeConfigRumor(r ConfigRumor) ([]byte, error) {
	data, err := cbor.Marshal(r)
	return data, errors.Trace(err)
}

// DecodeConfigRumor decodes the payload of a configuration rumor.
func DecodeConfigRumor(payload []byte) (ConfigRumor, error) {
	var r ConfigRumor
	if err := decMode.Unmarshal(payload, &r); err != nil {
		return r, errors.Annotatef(ErrMalformed, "configuration rumor: %v", err)
	}
	return r, nil
}
