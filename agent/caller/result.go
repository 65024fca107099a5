package caller

import (
	"time"

	"kingcupwood.example/kingcupwood/pkg/selection"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// unknownLoad marks a result without a load of the backend server.
const unknownLoad = -1

// pickResult tells selection what came of an attempt. A refusal by admission control is no failure
// of the endpoint; a broken connection or an unusable response is.
func pickResult(a *attemptResult, latency time.Duration) selection.Result {
	r := selection.Result{Verdict: a.verdict, Load: unknownLoad, Latency: latency}
	if a.response == nil {
		r.Failed = true
		return r
	}
	r.Load = a.response.Load
	r.Draining = a.response.Draining
	r.Failed = a.err != nil && a.verdict != verdict.NotRun
	return r
}
