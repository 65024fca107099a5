package backend

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// sampleInterval is the time between two samples of the history.
const sampleInterval = 100 * time.Millisecond

// LoadReport is the response of the load endpoint: the configured slots, those in use and the
// requests that wait for one.
type LoadReport struct {
	Slots   int `json:"slots"`
	Busy    int `json:"busy"`
	Waiting int `json:"waiting"`
}

// sample is the state and load of the server at one time.
type sample struct {
	at    time.Time
	state endpoint.State
	load  LoadReport
}

// history holds the samples of the last report lag, oldest first.
type history struct {
	mu      sync.Mutex
	samples []sample
}

// record adds a sample every sampleInterval until ctx ends. It does nothing if lag is 0.
func (h *history) record(ctx context.Context, lag time.Duration, currentSample func() sample) {
	if lag == 0 {
		return
	}
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		h.add(currentSample(), lag)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (h *history) add(s sample, lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.samples = append(h.samples, s)
	for len(h.samples) > 1 && s.at.Sub(h.samples[1].at) >= lag {
		h.samples = h.samples[1:]
	}
}

// oldest returns the sample that is as old as the lag, or the first one if the server has not run
// for that long. It returns false if there is no sample yet.
func (h *history) oldest() (sample, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.samples) == 0 {
		return sample{}, false
	}
	return h.samples[0], true
}

func (s *Server) currentSample() sample {
	return sample{
		at: time.Now(), state: s.state(),
		load: LoadReport{Slots: cap(s.slots), Busy: len(s.slots), Waiting: int(s.waiting.Load())},
	}
}

// reportedSample returns the sample that the endpoints report: the current one, one as old as the
// report lag, or, with the mislead setting, an idle and ready server.
func (s *Server) reportedSample() sample {
	if s.settings.Failures.Mislead {
		return sample{state: endpoint.Ready, load: LoadReport{Slots: cap(s.slots)}}
	}
	if s.settings.Failures.ReportLag > 0 {
		if old, ok := s.history.oldest(); ok {
			return old
		}
	}
	return s.currentSample()
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	state := s.reportedSample().state
	if state != endpoint.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte(state.String() + "\n"))
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.reportedSample().load) }

func (s *Server) reportRuns(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.runs.report()) }

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
