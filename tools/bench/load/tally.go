package main

import (
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// Range and precision of the histograms.
const (
	maxLatencyMicros  = int64(5 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// answer is what the caller of one request got.
type answer struct {
	status  int // zero if there was no response
	verdict verdict.Verdict
	latency time.Duration // since the time at which the request was due
}

// tally counts the answers to the requests of one kind that were due in the measured window. Failed
// requests have run without success, unknown ones may have run.
type tally struct {
	mu                                           sync.Mutex
	sent, inTime, late, refused, failed, unknown int
	latency                                      *hdrhistogram.Histogram // of served requests
	// told holds the verdict of each request of a non-idempotent kind, also outside the window.
	told map[string]verdict.Verdict
	// failure is the first request that was not served, with the reason.
	failure string
}

func newTally() *tally {
	return &tally{latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits), told: map[string]verdict.Verdict{}}
}

// add counts a request with its answer.
func (t *tally) add(a answer, deadline time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	served := a.verdict == verdict.Ran && a.status >= http.StatusOK && a.status < http.StatusMultipleChoices
	switch {
	case served && a.latency <= deadline:
		t.inTime++
	case served:
		t.late++
	case a.verdict == verdict.NotRun:
		t.refused++
	case a.verdict == verdict.Ran:
		t.failed++
	default:
		t.unknown++
	}
	if served {
		_ = t.latency.RecordValue(min(a.latency.Microseconds(), maxLatencyMicros)) // within the range
	}
}

// tell notes the verdict that a request got.
func (t *tally) tell(id string, v verdict.Verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.told[id] = v
}

// note keeps the first failure.
func (t *tally) note(id string, reason error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failure == "" {
		t.failure = id + ": " + reason.Error()
	}
}

// runFaults are violations of invariants 5 and 6 of the design page.
type runFaults struct{ repeated, falseNotRun int }

// check compares what callers were told with the number of runs of each request.
func (t *tally) check(runs map[string]int) runFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	var f runFaults
	for id, v := range t.told {
		if runs[id] > 1 {
			f.repeated++
		}
		if runs[id] > 0 && v == verdict.NotRun {
			f.falseNotRun++
		}
	}
	return f
}
