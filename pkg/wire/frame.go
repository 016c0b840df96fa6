// Package wire encodes the messages between nodes: a CBOR payload in a
// length-prefixed frame. It holds no decisions.
package wire

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// Version is the version of the protocol between nodes. A frame with another
// version is refused.
const Version = 1

// Limits on the size of a frame in bytes, without its header.
const (
	// MaxControlSize bounds control messages.
	MaxControlSize = 64 << 10
	// MaxBodyBytes bounds a buffered request body.
	MaxBodyBytes = 1 << 20
	// MaxCallSize bounds the frame of a call: headers and body.
	MaxCallSize = MaxControlSize + MaxBodyBytes
	// MaxTransferSize bounds one page of an epoch transfer and a configuration
	// document, which the store limits to 1 MB.
	MaxTransferSize = 2 << 20
)

// headerSize is the length of a frame header: version, type, payload length.
const headerSize = 1 + 1 + 4

// MessageType identifies the kind of a message.
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

// maxSize returns the limit of a payload of the type, 0 for unknown types.
func (t MessageType) maxSize() uint32 {
	switch t {
	case TypeCall:
		return MaxCallSize
	case TypeTransfer, TypeTransferPage, TypeConfigDoc, TypeComplete, TypeSealResponse, TypeClaimResponse:
		return MaxTransferSize
	}
	if t >= TypeCall && t <= TypeProbeResponse {
		return MaxControlSize
	}
	return 0
}

// Errors of the decoder. Callers close the stream on any of them.
const (
	// ErrVersion: the sender speaks another version of the protocol.
	ErrVersion = errors.ConstError("unsupported protocol version")
	// ErrType: the message type is unknown or not the expected one.
	ErrType = errors.ConstError("unexpected message type")
	// ErrTooLarge: the payload exceeds the limit of its type.
	ErrTooLarge = errors.ConstError("message too large")
	// ErrMalformed: the payload is not valid for its type.
	ErrMalformed = errors.ConstError("malformed message")
)

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

// encMode keeps times exact to the nanosecond: the default encoding cuts them
// to seconds, which would shorten the retention of key records.
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
	if uint64(len(payload)) > uint64(t.maxSize()) {
		return errors.Annotatef(ErrTooLarge, "message type %d with %d bytes", t, len(payload))
	}
	frame := make([]byte, headerSize, headerSize+len(payload))
	frame[0] = Version
	frame[1] = byte(t)
	binary.BigEndian.PutUint32(frame[2:], uint32(len(payload)))
	frame = append(frame, payload...)
	_, err = w.Write(frame)
	return errors.Trace(err)
}

// Frame is a received message that is not decoded yet.
type Frame struct {
	Type    MessageType
	Payload []byte
}

// Size returns the length of the frame in bytes, header included.
func (f Frame) Size() int { return headerSize + len(f.Payload) }

// ReadFrame reads one frame and checks its version, type and size. The
// payload is not decoded.
func ReadFrame(r io.Reader) (Frame, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Frame{}, errors.Trace(err)
	}
	if header[0] != Version {
		return Frame{}, errors.Annotatef(ErrVersion, "version %d", header[0])
	}
	t := MessageType(header[1])
	size := binary.BigEndian.Uint32(header[2:])
	limit := t.maxSize()
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

// readPayload reads size bytes. The memory of a large payload grows with the
// bytes that arrive, so that a header alone cannot claim it.
func readPayload(r io.Reader, size uint32) ([]byte, error) {
	if size <= MaxControlSize {
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

// Decode decodes the payload into message, a pointer to the struct of the
// frame's type.
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
