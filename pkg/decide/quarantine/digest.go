package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

const (
	// digestSize is the part of the SHA-256 that is used, in bytes. 128 bits
	// keep two requests apart and rumors short.
	digestSize = 16
	// maxSummary bounds the summary of a request in bytes.
	maxSummary = 200
)

// RequestDigest identifies a request for the quarantine by its service, method,
// path, query and body. The key is left out, since one key never runs twice: a
// request that crashes backend servers reaches a second one only under another
// key. The caller is left out, since the content is what crashes a backend
// server: the same request of two callers counts as one.
func RequestDigest(service, method, path, query string, body []byte) string {
	parts := [][]byte{[]byte(service), []byte(method), []byte(path), []byte(query), body}
	h := sha256.New()
	var size [8]byte
	for _, part := range parts {
		// The length keeps the parts apart.
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil)[:digestSize])
}

// RequestSummary names a request for operators.
func RequestSummary(method, service, path string) string {
	summary := method + " /" + service + path
	return summary[:min(len(summary), maxSummary)]
}
