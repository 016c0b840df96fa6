package call

import (
	"mangostand.example/mangostand/pkg/decide/quarantine"
	"mangostand.example/mangostand/pkg/wire"
)

// requestDigest returns the digest by which the quarantine identifies a request
// at its entry.
func requestDigest(r *Request) string {
	return quarantine.RequestDigest(r.Service, r.Method, r.Path, r.Query, r.Body)
}

// callDigest returns the digest by which the quarantine identifies a call at
// its executor. It equals the digest at the entry.
func callDigest(m *wire.Call) string {
	return quarantine.RequestDigest(m.Service, m.Method, m.Path, m.Query, m.Body)
}

// callSummary returns a description of a call for operators.
func callSummary(m *wire.Call) string {
	return quarantine.RequestSummary(m.Method, m.Service, m.Path)
}
