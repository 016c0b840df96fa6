// Package routedoc compresses configuration documents for the transfer between nodes.
// A document is sent whole, or as its difference from an earlier one that the receiver
// has. Each encoding of a document is computed once, by the first request for it, or
// not at all when the node received it from another one.
package routedoc

import (
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"
)

// DocumentTarget is the path at which a node returns its uncompressed configuration
// document. Nodes of earlier releases and operators' tools request it.
const DocumentTarget = "/mesh/table"

// MaxDocumentBytes bounds a document: the largest one that the store accepts, with a
// margin.
const MaxDocumentBytes = 2 << 20

// minWindow is the smallest window size of the encoder in bytes.
const minWindow = 64 << 10

// dictionaryID marks the difference from an earlier document in the header of a
// frame.
const dictionaryID = 1

// Compress returns the compressed document. If base is not empty, it returns the
// difference from base. The result holds a checksum of the document.
func Compress(document, base []byte) ([]byte, error) {
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithEncoderCRC(true), zstd.WithWindowSize(windowSize(len(document) + len(base)))}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Annotate(err, "compressing a configuration document")
	}
	return encoder.EncodeAll(document, nil), nil
}

// windowSize returns the power of two that covers a number of bytes.
func windowSize(bytes int) int {
	size := minWindow
	for size < bytes {
		size *= 2
	}
	return size
}

// Decompress returns the document of which data is the compressed form, or the
// difference from base. It fails if the checksum does not match, as with another base
// than that of the sender.
func Decompress(data, base []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxDocumentBytes), zstd.WithDecoderMaxWindow(uint64(windowSize(2 * MaxDocumentBytes))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Annotate(err, "decompressing a configuration document")
	}
	defer decoder.Close()
	document, err := decoder.DecodeAll(data, nil)
	return document, errors.Annotate(err, "decompressing a configuration document")
}

// Encoded is a document in the form in which it is sent.
type Encoded struct {
	// Base is the version of the document from which Data is the difference, 0 if Data
	// is the whole document.
	Base uint64
	Data []byte
}

// Set holds a document and its encodings. It is immutable but for the encodings, which
// are computed when they are first requested. It is safe for concurrent use.
type Set struct {
	Version  uint64
	Document []byte
	// ReadAt is when the first node read the version from the store.
	ReadAt time.Time

	whole       func() ([]byte, error)
	differences map[uint64]func() ([]byte, error)
	// bases are the earlier documents from which a difference can be sent, the latest
	// one first.
	bases []*Set
}

// maxBases is the number of earlier documents of a Set.
const maxBases = 3

// NewSet returns the set of a document that replaces earlier. The encoding in which the
// document was received is reused; it is empty if the document was not compressed.
func NewSet(version uint64, document []byte, received Encoded, readAt time.Time, earlier *Set) *Set {
	s := &Set{Version: version, Document: document, ReadAt: readAt, differences: map[uint64]func() ([]byte, error){}}
	s.whole = s.encoding(received, 0, nil)
	if earlier == nil || len(earlier.Document) == 0 {
		return s
	}
	s.bases = append(s.bases, &Set{Version: earlier.Version, Document: earlier.Document})
	s.bases = append(s.bases, earlier.bases[:min(len(earlier.bases), maxBases-1)]...)
	for _, base := range s.bases {
		s.differences[base.Version] = s.encoding(received, base.Version, base.Document)
	}
	return s
}

// encoding returns a function that computes an encoding once.
func (s *Set) encoding(received Encoded, base uint64, baseDocument []byte) func() ([]byte, error) {
	if received.Base == base && len(received.Data) > 0 {
		return func() ([]byte, error) { return received.Data, nil }
	}
	return sync.OnceValues(func() ([]byte, error) { return Compress(s.Document, baseDocument) })
}

// Encode returns the document in the smallest form that a receiver with the base
// version can read. Base 0 means that it has no document.
func (s *Set) Encode(base uint64) (Encoded, error) {
	if difference := s.differences[base]; difference != nil {
		data, err := difference()
		return Encoded{Base: base, Data: data}, errors.Trace(err)
	}
	data, err := s.whole()
	return Encoded{Data: data}, errors.Trace(err)
}
