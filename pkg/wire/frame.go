// Package wire defines the messages between nodes and their encoding: a CBOR
// payload in a length-prefixed frame. It contains no decision logic.
package wire

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// ProtocolVersion is the version of the protocol between nodes. Frames with
// another version are rejected.
const ProtocolVersion = 1

// Limits on the size of a payload in bytes, that is, of a frame without its
// header.
const (
	// MaxControlBytes is the limit for messages without a larger limit below.
	MaxControlBytes = 64 << 10
	// MaxBodyBytes is the limit for a buffered request body.
	MaxBodyBytes = 1 << 20
	// MaxCallBytes is the limit for a Call: header fields and body.
	MaxCallBytes = MaxControlBytes + MaxBodyBytes
	// MaxTransferBytes is the limit for one page of an epoch transfer, for messages
	// that carry a key record, and for a configuration document, which the store
	// limits to 1 MB.
	MaxTransferBytes = 2 << 20
)

// headerBytes is the size of a frame header: version, type, payload length.
const headerBytes = 1 + 1 + 4

// MessageType identifies the type of a message.
type MessageType uint8

// Message types. The numbers are part of the protocol and are never reused.
const (
	TypeCall          MessageType = 1
	TypeCallResponse  MessageType = 2
	TypeClaim         MessageType = 3
	TypeClaimResponse MessageType = 4
	TypeSeal          MessageType = 5
	TypeSealResponse  MessageType = 6
	TypeComplete      MessageType = 7
	TypeAck           MessageType = 8
	TypeTransfer      MessageType = 9
	TypeTransferPage  MessageType = 10
	TypePing          MessageType = 11
	TypePingResponse  MessageType = 12
	TypePingIndirect  MessageType = 13
	TypeDigest        MessageType = 14
	TypeDelta         MessageType = 15
	TypeRumor         MessageType = 16
	TypeConfigPull    MessageType = 17
	TypeConfigDoc     MessageType = 18
	TypeProbe         MessageType = 19
	TypeProbeResponse MessageType = 20
)

// maxPayloadBytes returns the largest payload of the type, 0 for unknown types.
func (t MessageType) maxPayloadBytes() uint32 {
	switch t {
	case TypeCall:
		return MaxCallBytes
	case TypeTransfer, TypeTransferPage, TypeConfigDoc, TypeComplete, TypeSealResponse, TypeClaimResponse:
		return MaxTransferBytes
	}
	if t >= TypeCall && t <= TypeProbeResponse {
		return MaxControlBytes
	}
	return 0
}

// Errors of the decoder. Callers abort the stream on any of them.
const (
	// ErrVersion means that the sender uses another version of the protocol.
	ErrVersion = errors.ConstError("unsupported protocol version")
	// ErrType means that the message type is unknown or not the expected one.
	ErrType = errors.ConstError("unexpected message type")
	// ErrTooLarge means that the payload exceeds the limit of its type.
	ErrTooLarge = errors.ConstError("message too large")
	// ErrMalformed means that the payload is not valid for its type.
	ErrMalformed = errors.ConstError("malformed message")
)

// decMode rejects duplicate map keys and items of indefinite length, and limits the
// nesting, the length of arrays and the size of maps.
var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxNestedLevels:  8,
		MaxArrayElements: 1 << 16,
		MaxMapPairs:      1 << 12,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encMode encodes times with nanosecond precision. The default encoding truncates
// them to seconds, which would shorten the retention of key records.
var encMode = mustEncMode()

func mustEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// WriteMessage encodes a message and writes it as one frame.
func WriteMessage(w io.Writer, t MessageType, message any) error {
	payload, err := encMode.Marshal(message)
	if err != nil {
		return errors.Annotatef(err, "encoding message type %d", t)
	}
	if uint64(len(payload)) > uint64(t.maxPayloadBytes()) {
		return errors.Annotatef(ErrTooLarge, "message type %d with %d bytes", t, len(payload))
	}
	frame := make([]byte, headerBytes, headerBytes+len(payload))
	frame[0] = ProtocolVersion
	frame[1] = byte(t)
	binary.BigEndian.PutUint32(frame[2:], uint32(len(payload)))
	frame = append(frame, payload...)
	_, err = w.Write(frame)
	return errors.Trace(err)
}

// Frame is a received message whose payload is not decoded yet.
type Frame struct {
	Type    MessageType
	Payload []byte
}

// Size returns the size of the frame in bytes, including its header.
func (f Frame) Size() int { return headerBytes + len(f.Payload) }

// ReadFrame reads one frame and checks its version, type and size. It does not
// decode the payload.
func ReadFrame(r io.Reader) (Frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Frame{}, errors.Trace(err)
	}
	if header[0] != ProtocolVersion {
		return Frame{}, errors.Annotatef(ErrVersion, "version %d", header[0])
	}
	t := MessageType(header[1])
	size := binary.BigEndian.Uint32(header[2:])
	limit := t.maxPayloadBytes()
	if limit == 0 {
		return Frame{}, errors.Annotatef(ErrType, "type %d", header[1])
	}
	if size > limit {
		return Frame{}, errors.Annotatef(ErrTooLarge, "type %d with %d bytes", t, size)
	}
	payload, err := readPayload(r, size)
	if err != nil {
		return Frame{}, errors.Trace(err)
	}
	return Frame{Type: t, Payload: payload}, nil
}

// readPayload reads size bytes. The buffer of a large payload grows with the bytes
// that arrive, so that a peer cannot make the node allocate memory by sending only
// a header.
func readPayload(r io.Reader, size uint32) ([]byte, error) {
	if size <= MaxControlBytes {
		payload := make([]byte, size)
		_, err := io.ReadFull(r, payload)
		return payload, err
	}
	var buffer bytes.Buffer
	_, err := io.CopyN(&buffer, r, int64(size))
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	return buffer.Bytes(), err
}

// Decode decodes the payload into message, a pointer to the struct that belongs to
// the frame's type.
func (f Frame) Decode(message any) error {
	if err := decMode.Unmarshal(f.Payload, message); err != nil {
		return errors.Annotatef(ErrMalformed, "type %d: %v", f.Type, err)
	}
	return nil
}

// ReadMessage reads one frame of the expected type and decodes it.
func ReadMessage(r io.Reader, expected MessageType, message any) error {
	frame, err := ReadFrame(r)
	if err != nil {
		return errors.Trace(err)
	}
	if frame.Type != expected {
		return errors.Annotatef(ErrType, "got type %d, expected %d", frame.Type, expected)
	}
	return frame.Decode(message)
}
