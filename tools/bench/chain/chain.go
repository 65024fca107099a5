package chain

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/standin/backend"
	"kingcupwood.example/kingcupwood/tools/bench/row"
	"kingcupwood.example/kingcupwood/tools/fleet"
)

const (
	warmupCalls = 100
	calls       = 1000
	// callRate is that of each way, below the expected rate of the answers.
	callRate     = 25
	failureCalls = 250
	loopCalls    = 20
	// mostRuns bounds the runs of a request at a service that works: one, and the retry budget of a kind,
	// which is a tenth of its requests and at least 3/s. Only the hop that meets the failure may retry.
	mostRuns = 1 + max(0.1, 3.0/callRate)
	// maxLatencyMicros and significantDigits are those of the histograms.
	maxLatencyMicros  = int64(10 * time.Second / time.Microsecond)
	significantDigits = 3
	// lateAllowance is the time that the caller and a busy machine may add to the deadline.
	lateAllowance = 200 * time.Millisecond
)

// Run measures the chain and reports the rows.
func Run(ctx context.Context, binary string, emit func(row.Row)) error {
	dir, err := os.MkdirTemp("", "kingcupwood-chain-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	f, err := fleet.New(binary, dir)
	if err != nil {
		return err
	}
	defer f.Close()
	d, err := deploy(ctx, f)
	if err != nil {
		return err
	}
	for _, measure := range []func(context.Context, func(row.Row)) error{
		d.measureLatency, d.measureLoop, d.measureKilled, d.measureFrozen,
	} {
		if err := measure(ctx, emit); err != nil {
			return err
		}
	}
	return nil
}

// tally collects the answers to a series of calls.
type tally struct {
	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	// ids are the request IDs sent, good the number of whole answers, late that of answers after the
	// deadline of the first service.
	ids        []string
	good, late int
}

func newTally() *tally {
	return &tally{latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
}

func (t *tally) add(id string, good bool, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ids = append(t.ids, id)
	if good {
		t.good++
	}
	if took > depth*deadlineStep+lateAllowance {
		t.late++
	}
	_ = t.latency.RecordValue(min(max(took.Microseconds(), 1), maxLatencyMicros)) // within the range
}

// milliseconds returns a quantile of the latency.
func (t *tally) milliseconds(percent float64) float64 {
	return float64(t.latency.ValueAtQuantile(percent)) / 1000
}

// send calls the first service of a chain and records the answer.
func (t *tally) send(ctx context.Context, to entryPoint, path, id string) {
	start := time.Now()
	a, err := fleet.Call(ctx, to(), service(0), http.MethodGet, path, http.Header{backend.RequestIDHeader: {id}}, nil)
	whole := err == nil && a.Status == http.StatusOK && len(a.Body) >= len(id) && string(a.Body[:len(id)]) == id
	t.add(id, whole, time.Since(start))
}

// series sends n calls to each way in turn, at callRate calls/s on each.
func series(ctx context.Context, name, path string, n int, ways ...entryPoint) []*tally {
	tallies := make([]*tally, len(ways))
	for w := range ways {
		tallies[w] = newTally()
	}
	ticker := time.NewTicker(time.Second / time.Duration(callRate*len(ways)))
	defer ticker.Stop()
	var sent sync.WaitGroup
	for i := range n * len(ways) {
		<-ticker.C
		w := i % len(ways)
		sent.Go(func() { tallies[w].send(ctx, ways[w], path, fmt.Sprintf("%s-%d", name, i)) })
	}
	sent.Wait()
	return tallies
}

// measureLatency compares the chain through the daemons with the direct one.
func (d *deployment) measureLatency(ctx context.Context, emit func(row.Row)) error {
	series(ctx, "warmup", workPath, warmupCalls, d.entry, d.directEntry)
	results := series(ctx, "latency", workPath, calls, d.entry, d.directEntry)
	via, direct := results[0], results[1]
	if direct.good != calls {
		return errors.Errorf("%d of %d calls to the direct chain failed", calls-direct.good, calls)
	}
	emit(row.Row{Name: "chain/13/failed", Value: float64(calls - via.good), Unit: "calls", Never: true})
	for _, percent := range []float64{50, 99} {
		name := fmt.Sprintf("chain/13/p%.0f", percent)
		emit(row.Row{Name: name + "/direct", Value: direct.milliseconds(percent), Unit: "ms"})
		emit(row.Row{Name: name + "/through_daemons", Value: via.milliseconds(percent), Unit: "ms"})
		added := (via.milliseconds(percent) - direct.milliseconds(percent)) / depth
		emit(row.Row{Name: name + "/added_by_hop", Value: added, Unit: "ms"})
	}
	return nil
}

// measureLoop sends calls that would go round the services without end.
func (d *deployment) measureLoop(ctx context.Context, emit func(row.Row)) error {
	result := series(ctx, "loop", loopPath, loopCalls, d.entry)[0]
	if result.good != 0 {
		return errors.Errorf("%d calls of an endless loop succeeded", result.good)
	}
	runs, err := d.runs(ctx, result.ids, depth)
	if err != nil {
		return err
	}
	emit(row.Row{Name: "chain/loop/runs_of_a_request", Value: float64(runs.most), Unit: "runs", Bound: depth})
	return nil
}

// measureKilled sends calls while the last backend server is dead.
func (d *deployment) measureKilled(ctx context.Context, emit func(row.Row)) error {
	last := d.chain[depth-1]
	last.BackendProcess.Kill()
	if err := d.measureFailure(ctx, "killed", emit); err != nil {
		return err
	}
	if err := d.StartBackend(last); err != nil {
		return err
	}
	return fleet.WaitReady(ctx, d.chain[:1], service(depth-1), 1)
}

// measureFrozen sends calls while the last daemon is frozen.
func (d *deployment) measureFrozen(ctx context.Context, emit func(row.Row)) error {
	last := d.chain[depth-1]
	if err := last.DaemonProcess.Freeze(); err != nil {
		return err
	}
	if err := d.measureFailure(ctx, "frozen", emit); err != nil {
		return err
	}
	return last.DaemonProcess.Resume()
}

// measureFailure reports how often a request ran on the services that still work, and how many callers
// got their error after the deadline.
func (d *deployment) measureFailure(ctx context.Context, name string, emit func(row.Row)) error {
	result := series(ctx, name, workPath, failureCalls, d.entry)[0]
	runs, err := d.runs(ctx, result.ids, depth-1)
	if err != nil {
		return err
	}
	name = "chain/" + name
	emit(row.Row{Name: name + "/good", Value: float64(result.good), Unit: "calls"})
	emit(row.Row{Name: name + "/late", Value: float64(result.late), Unit: "calls", Never: true})
	emit(row.Row{Name: name + "/p50", Value: result.milliseconds(50), Unit: "ms"})
	emit(row.Row{Name: name + "/runs_by_request_and_service", Value: runs.mean, Unit: "runs", Bound: mostRuns})
	emit(row.Row{Name: name + "/runs_by_request_at_the_end", Value: runs.atEnd, Unit: "runs", Bound: mostRuns})
	return nil
}
