package mesh

import (
	"slices"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/evacuation"
)

// evacuatedRetryAfter is the Retry-After while all backend servers of a service are in
// evacuated failure domains. Operators end an evacuation at any time; a second bounds
// the rate of the retries.
const evacuatedRetryAfter = time.Second

// evacuated reports whether the backend server beside this node gets no calls because
// its failure domain is evacuated.
func (x *Executor) evacuated() bool {
	return x.Board.Evacuation.Load().Includes(x.Board.Self.FailureDomain)
}

// mayAcceptFrom reports whether an executor may run calls of an entry, given what the
// entry knows about the configuration. An executor with a configuration knows the
// evacuated failure domains itself.
func (x *Executor) mayAcceptFrom(entry board.ConfigAdvertisement) bool {
	if x.Board.Routes.Load().Version > 0 {
		return true
	}
	store := x.Board.Store.Load()
	unreachable := !store.Reachable && !store.ReachabilityChangedAt.IsZero()
	return evacuation.AcceptsBeforeConfiguration(time.Duration(entry.ConfirmedAgeMillis)*time.Millisecond, x.EvacuationTime, unreachable)
}

// refuseHop returns the result of a call of another node that is refused before it is
// admitted.
func (x *Executor) refuseHop(c *Call, reason board.Reason, receivedAt time.Time) *Result {
	result, load := notSent(reason), x.LoadReport()
	result.Load = &load
	x.Metrics.RecordExecutorCall(result.Outcome.String(), string(reason), time.Since(receivedAt))
	x.logExecuted(c, result, receivedAt)
	return result
}

// evacuatedDomains returns a function that reports whether a failure domain is evacuated,
// as the board or the refusals of executors say, or nil if none is.
func (f *forwarder) evacuatedDomains() func(domain string) bool {
	state := f.entry.Board.Evacuation.Load()
	if len(state.Domains) == 0 && len(f.refusedAsEvacuated) == 0 {
		return nil
	}
	return func(domain string) bool {
		return state.Includes(domain) || slices.Contains(f.refusedAsEvacuated, domain)
	}
}

// allEvacuated reports whether the service has backend servers and all of them are in
// evacuated failure domains.
func (f *forwarder) allEvacuated() bool {
	evacuated := f.evacuatedDomains()
	if evacuated == nil {
		return false
	}
	endpoints := f.entry.Board.Fleet.Load().ByService[f.call.Service]
	for _, endpoint := range endpoints {
		if !evacuated(endpoint.Record.FailureDomain) {
			return false
		}
	}
	return len(endpoints) > 0
}
