package agent

import (
	"net/http"

	"kingcupwood.example/kingcupwood/pkg/burn"
)

// burnReport serves the service-level report of this daemon as JSON.
type burnReport struct{ tracker *burn.Tracker }

// ServeHTTP implements http.Handler.
func (b burnReport) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = b.tracker.Report().WriteJSON(w) // fails only if the client has disconnected
}
