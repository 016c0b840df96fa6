package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

const (
	// digestSize is the number of bytes of the SHA-256 hash that are used. 128
	// bits distinguish requests and keep rumors short.
	digestSize = 16
	// maxSummary limits the summary of a request in bytes.
	maxSummary = 200
)

// RequestDigest identifies a request by its service, method, path, query and
// body.
//
// The idempotency key is not included: a key never runs twice, so a request
// that crashes backend servers reaches a second one only under another key. The
// caller is not included either: the content is what crashes a backend server,
// so the same request of two callers counts as one.
func RequestDigest(service, method, path, query string, body []byte) string {
	parts := [][]byte{[]byte(service), []byte(method), []byte(path), []byte(query), body}
	h := sha256.New()
	var size [8]byte
	for _, part := range parts {
		// The length prefix makes the boundaries between the parts unambiguous.
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil)[:digestSize])
}

// RequestSummary returns a short description of a request for operators. It is valid
// text, since the messages between nodes are refused as a whole otherwise.
func RequestSummary(method, service, path string) string {
	summary := method + " /" + service + path
	return strings.ToValidUTF8(summary[:min(len(summary), maxSummary)], "")
}
