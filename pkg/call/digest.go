package call

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"mangostand.example/mangostand/pkg/wire"
)

const (
	// digestSize is the part of the SHA-256 that is used, in bytes. 128 bits
	// keep two requests apart and rumors short.
	digestSize = 16
	// maxSummary bounds the summary of a request in bytes.
	maxSummary = 200
)

// contentDigest identifies a request for the quarantine: by the key that its
// caller sent, else by service, method, path, query and body. The callers of a
// key are told apart, so that one cannot get another's request refused.
func contentDigest(service, method, path, query, caller, callerKey string, body []byte) string {
	parts := [][]byte{[]byte("content"), []byte(service), []byte(method), []byte(path), []byte(query), body}
	if callerKey != "" {
		parts = [][]byte{[]byte("key"), []byte(service), []byte(caller), []byte(callerKey)}
	}
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

// digestOf returns the digest of a request at its entry.
func digestOf(r *Request) string {
	return contentDigest(r.Service, r.Method, r.Path, r.Query, r.Caller, r.callerKey, r.Body)
}

// digestOfCall returns the digest of a call at its executor. It is equal to
// that at the entry.
func digestOfCall(m *wire.Call) string {
	return contentDigest(m.Service, m.Method, m.Path, m.Query, m.Caller, m.CallerKey, m.Body)
}

// summaryOf names a call for operators.
func summaryOf(m *wire.Call) string {
	summary := m.Method + " /" + m.Service + m.Path
	return summary[:min(len(summary), maxSummary)]
}
