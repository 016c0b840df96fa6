package wire

import "mangostand.example/mangostand/pkg/board"

// Delta carries member records that the receiver may not have. The answer is a
// Delta with the records that the sender may not have.
type Delta struct {
	Members []board.Member `cbor:"1,keyasint"`
}
