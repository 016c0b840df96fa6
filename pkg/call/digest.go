package call

import (
	"mangostand.example/mangostand/pkg/decide/quarantine"
	"mangostand.example/mangostand/pkg/wire"
)

// requestDigest returns the digest of a request at its entry.
func requestDigest(r *Request) string {
	return quarantine.RequestDigest(r.Service, r.Method, r.Path, r.Query, r.Body)
}

// callDigest returns the digest of a call at its executor. It is equal to
// that at the entry.
func callDigest(m *wire.Call) string {
	return quarantine.RequestDigest(m.Service, m.Method, m.Path, m.Query, m.Body)
}

// callSummary names a call for operators.
func callSummary(m *wire.Call) string {
	return quarantine.RequestSummary(m.Method, m.Service, m.Path)
}
