package latency

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Range and precision of the histograms.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = int64(callTimeout / time.Microsecond)
	significantDigits = 3
)

// way is one of the two ways of a call, with the latencies of a round.
type way struct {
	url    string
	client *http.Client

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	failed  int
	failure error // the first one
}

// quantiles are latencies of a round in milliseconds.
type quantiles struct{ p50, p99 float64 }

func newWay(addr netip.AddrPort) *way {
	transport := &http.Transport{MaxIdleConns: connections, MaxIdleConnsPerHost: connections}
	return &way{url: "http://" + addr.String() + "/pages/a", client: &http.Client{Transport: transport, Timeout: callTimeout}}
}

func (w *way) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.latency = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
	w.failed, w.failure = 0, nil
}

func (w *way) call(body []byte) {
	start := time.Now()
	err := w.send(body)
	elapsed := time.Since(start)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		if w.failed++; w.failure == nil {
			w.failure = err
		}
		return
	}
	_ = w.latency.RecordValue(min(elapsed.Microseconds(), maxLatencyMicros)) // within the range
}

func (w *way) send(body []byte) error {
	req, err := http.NewRequest(http.MethodPost, w.url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Host = "pages"
	resp, err := w.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || n != responseBytes {
		return errors.Errorf("status %d with %d bytes", resp.StatusCode, n)
	}
	return nil
}

func (w *way) quantiles() quantiles {
	return quantiles{p50: float64(w.latency.ValueAtQuantile(50)) / 1000, p99: float64(w.latency.ValueAtQuantile(99)) / 1000}
}

// measureRound sends rate calls/s on each way and returns the latencies after the warm-up.
func measureRound(ways []*way, rate int, round uint64) []quantiles {
	rng := rand.New(rand.NewPCG(arrivalSeed, round))
	for _, d := range []time.Duration{warmup, roundTime} {
		for _, w := range ways {
			w.reset()
		}
		openLoop(ways, rate*len(ways), d, rng)
	}
	results := make([]quantiles, len(ways))
	for n, w := range ways {
		results[n] = w.quantiles()
	}
	return results
}

// openLoop sends calls with exponentially distributed gaps, in turn on each way.
func openLoop(ways []*way, rate int, d time.Duration, rng *rand.Rand) {
	var calls sync.WaitGroup
	defer calls.Wait()
	body := make([]byte, requestBytes)
	start := time.Now()
	var at time.Duration
	for i := 0; ; i++ {
		at += time.Duration(rng.ExpFloat64() * float64(time.Second) / float64(rate))
		if at > d {
			return
		}
		time.Sleep(time.Until(start.Add(at)))
		w := ways[i%len(ways)]
		calls.Go(func() { w.call(body) })
	}
}
