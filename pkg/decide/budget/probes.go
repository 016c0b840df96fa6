package budget

import "time"

// Limits on load probes, which are sent to instances of unknown load.
const (
	// ReportTTL is the age from which a load report says nothing about the
	// current load, which changes within milliseconds.
	ReportTTL = time.Second
	// probesPerCall allows one probe for four calls, half of the permitted rate
	// of one probe for two calls.
	probesPerCall = 0.25
	// maxProbeAllowance bounds the probe allowance that accumulates in a burst
	// of calls.
	maxProbeAllowance = 50
)

// NeedsProbe reports whether the load of an instance must be probed: its last
// report is missing or too old, and no call is in flight whose response will
// bring a new one.
func NeedsProbe(reported bool, age time.Duration, ownInFlight int64) bool {
	if ownInFlight > 0 {
		return false
	}
	return !reported || age > ReportTTL
}

// ProbeAllowance returns the number of probes that may be sent after more
// calls, given the number left before. Without calls nothing is probed.
func ProbeAllowance(left float64, calls uint64) float64 {
	return min(maxProbeAllowance, left+probesPerCall*float64(calls))
}
