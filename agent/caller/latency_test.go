package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against latencies that are missing in the metrics, or recorded under another outcome or in
// another unit.
func TestLatenciesInMetrics(t *testing.T) {
	is := is.New(t)
	b := newRoutedBench(t, "i1")
	for range 3 {
		is.Equal(b.serveHTTP(routedRequest("GET", "/view/a")).Code, http.StatusOK)
	}
	b.remote.do = answerBusy
	is.Equal(b.serveHTTP(routedRequest("GET", "/view/a")).Code, http.StatusServiceUnavailable)
	var got struct {
		Latency map[string]latencySummary `json:"latency"`
	}
	is.NoErr(json.Unmarshal([]byte(b.Metrics().String()), &got))
	is.Equal(got.Latency["pages/answered"].Count, int64(3))
	is.Equal(got.Latency["pages/refused"].Count, int64(1))
	var l latencies
	l.record("pages", "answered", 250*time.Millisecond)
	l.record("pages", "answered", time.Hour)
	all := l.summaries().(map[string]latencySummary)
	is.True(all["pages/answered"].P50 > 245 && all["pages/answered"].P50 < 255)
	is.True(all["pages/answered"].Max > 59_000)
}

// Guards against unbounded growth of histograms as services are added and removed.
func TestLatenciesAreBounded(t *testing.T) {
	is := is.New(t)
	var l latencies
	for n := range 10 * maxHistograms {
		l.record(fmt.Sprint("s", n), "answered", time.Millisecond)
	}
	is.Equal(len(l.histogram), maxHistograms+1)
	is.Equal(l.histogram["other/answered"].TotalCount(), int64(9*maxHistograms))
}
