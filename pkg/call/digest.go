package call

import (
	"mangostand.example/mangostand/pkg/decide/quarantine"
	"mangostand.example/mangostand/pkg/wire"
)

// digestOf returns the digest of a request at its entry.
func digestOf(r *Request) string {
	return quarantine.RequestDigest(r.Service, r.Method, r.Path, r.Query, r.Body)
}

// digestOfCall returns the digest of a call at its executor. It is equal to
// that at the entry.
func digestOfCall(m *wire.Call) string {
	return quarantine.RequestDigest(m.Service, m.Method, m.Path, m.Query, m.Body)
}

// summaryOf names a call for operators.
func summaryOf(m *wire.Call) string {
	return quarantine.RequestSummary(m.Method, m.Service, m.Path)
}
