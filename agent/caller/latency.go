package caller

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"kingcupwood.example/kingcupwood/pkg/verdict"
)

const (
	// maxLatency and latencyDigits give the range and the precision of the latency histograms.
	maxLatency    = time.Minute
	latencyDigits = 2
	// maxHistograms bounds the number of histograms, about 10 kB each; further services share one.
	maxHistograms = 96
)

// latencies holds histograms of the time from the arrival of a request to its end, by service and
// outcome.
type latencies struct {
	mu        sync.Mutex
	histogram map[string]*hdrhistogram.Histogram
}

// latencySummary is the published summary of a histogram, in milliseconds.
type latencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// outcomeName returns the metric label for the outcome of a request.
func outcomeName(res *result) string {
	switch {
	case res.response != nil:
		return "answered"
	case res.verdict() == verdict.NotRun:
		return "refused"
	}
	return "failed"
}

func (l *latencies) record(service, outcome string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := service + "/" + outcome
	h := l.histogram[key]
	if h == nil && len(l.histogram) >= maxHistograms {
		key = "other/" + outcome
		h = l.histogram[key]
	}
	if h == nil {
		if l.histogram == nil {
			l.histogram = map[string]*hdrhistogram.Histogram{}
		}
		h = hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
		l.histogram[key] = h
	}
	_ = h.RecordValue(min(max(took, time.Microsecond), maxLatency).Microseconds()) // the value is in its range
}

// summaries returns the histograms for publication with expvar.
func (l *latencies) summaries() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[string]latencySummary, len(l.histogram))
	for key, h := range l.histogram {
		at := func(percent float64) float64 { return float64(h.ValueAtPercentile(percent)) / 1000 }
		all[key] = latencySummary{Count: h.TotalCount(), P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: at(100)}
	}
	return all
}
