package budget

import "time"

// Gaps in the knowledge of load that a probe fills.
const (
	// ReportTTL is the age from which a load report says nothing about the
	// present load, which changes within milliseconds.
	ReportTTL = time.Second
	// probesPerCall keeps probes at a quarter per call, half of what is agreed.
	probesPerCall = 0.25
	// maxSavedProbes bounds the probes that a burst of calls can save up.
	maxSavedProbes = 50
)

// NeedsProbe reports whether the load of an instance is unknown: it has no
// report, or an old one. An instance with a call in flight will report itself.
func NeedsProbe(reported bool, age time.Duration, ownInFlight int64) bool {
	if ownInFlight > 0 {
		return false
	}
	return !reported || age > ReportTTL
}

// ProbeAllowance returns the probes that may be sent after further calls, out of
// what was left before. Without calls nothing is probed.
func ProbeAllowance(left float64, calls uint64) float64 {
	return min(maxSavedProbes, left+probesPerCall*float64(calls))
}
