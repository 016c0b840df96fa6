package call

import (
	"time"

	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
)

// Observer is notified of each finished call. The elapsed time ends at the
// head of the response and is 0 for calls that were refused before routing.
type Observer interface {
	CallFinished(service string, outcome board.Outcome, elapsed time.Duration)
}

// unknownServiceName replaces the names of services that are not configured.
// Callers choose them freely, so they would create metrics without bound.
const unknownServiceName = "other"

// reportFinished logs a finished call and notifies the observer.
func (e *Entry) reportFinished(req *Request, result *Result, config *dynconf.Config, elapsed time.Duration) {
	if e.Observer != nil {
		service := req.Service
		if config.Services[service] == nil {
			service = unknownServiceName
		}
		e.Observer.CallFinished(service, result.Outcome, elapsed)
	}
	e.logEvent(result.Outcome).Str("request_id", req.ID).Str("service", req.Service).Str("caller", req.Caller).
		Str("backend_server", string(result.Instance)).Int("attempt", result.Attempts).
		Stringer("outcome", result.Outcome).Str("reason", string(result.Reason)).
		Int("status", result.Status).Uint64("config_version", config.Version).
		Dur("elapsed_ms", elapsed).Msg("call finished")
}

// logEvent returns a log event at the level for an outcome. Successes are
// logged at debug level, so they cost almost nothing at the default level.
func (e *Entry) logEvent(outcome board.Outcome) *zerolog.Event {
	switch outcome {
	case board.OutcomeSucceeded:
		return e.Log.Debug()
	case board.OutcomeUnknown:
		return e.Log.Warn()
	}
	return e.Log.Info()
}
