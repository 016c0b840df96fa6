package call

import (
	"time"

	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
)

// Observer is told of each finished call. The elapsed time counts to the head
// of the answer and is 0 for calls that were refused at once.
type Observer interface {
	CallFinished(service string, outcome board.Outcome, elapsed time.Duration)
}

// unknownServiceName stands in figures for names that the configuration lacks, which
// callers can choose freely.
const unknownServiceName = "other"

// reportFinished logs and counts a finished call.
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

// logEvent returns a log event at the level of an outcome. Successes are only
// logged at debug level, so that they cost next to nothing.
func (e *Entry) logEvent(outcome board.Outcome) *zerolog.Event {
	switch outcome {
	case board.OutcomeSucceeded:
		return e.Log.Debug()
	case board.OutcomeUnknown:
		return e.Log.Warn()
	}
	return e.Log.Info()
}
