package backend

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// sampleInterval is the resolution of the reported history.
const sampleInterval = 100 * time.Millisecond

// LoadReport is the answer of the load endpoint.
type LoadReport struct {
	Slots   int `json:"slots"`
	Busy    int `json:"busy"`
	Waiting int `json:"waiting"`
}

// sample is the state of the server at one time.
type sample struct {
	at    time.Time
	state endpoint.State
	load  LoadReport
}

// history holds the samples of the report lag.
type history struct {
	mu      sync.Mutex
	samples []sample
}

// sample records measure until ctx ends; it does nothing without a lag.
func (h *history) sample(ctx context.Context, lag time.Duration, measure func() sample) {
	if lag == 0 {
		return
	}
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		h.add(measure(), lag)
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

// oldest returns the sample that is as old as the lag, or the first one after the start.
func (h *history) oldest() (sample, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.samples) == 0 {
		return sample{}, false
	}
	return h.samples[0], true
}

func (s *Server) measure() sample {
	return sample{
		at: time.Now(), state: s.state(),
		load: LoadReport{Slots: cap(s.slots), Busy: len(s.slots), Waiting: int(s.waiting.Load())},
	}
}

// reported returns what the endpoints report: the truth, an old state, or a pretended one.
func (s *Server) reported() sample {
	if s.settings.Failures.Mislead {
		return sample{state: endpoint.Ready, load: LoadReport{Slots: cap(s.slots)}}
	}
	if s.settings.Failures.ReportLag > 0 {
		if old, ok := s.history.oldest(); ok {
			return old
		}
	}
	return s.measure()
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	state := s.reported().state
	if state != endpoint.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte(state.String() + "\n"))
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.reported().load) }

func (s *Server) reportRuns(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.runs.report()) }

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
