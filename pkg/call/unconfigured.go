package call

import (
	"net/http"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
)

// refusedResult returns the result of a call that has no route. A node that
// has just started and has no configuration yet knows nothing of the routes,
// and a key of the caller may have run at another node, so that not-run would
// be false.
func refusedResult(config *dynconf.Config, req *Request, refusal board.Reason) *Result {
	if config.Version > 0 || req.Key == "" {
		return NotRun(refusal)
	}
	result := Unknown(board.ReasonHomeUnavailable)
	result.Status = http.StatusServiceUnavailable
	return result
}
