package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"strings"
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

// process is a child of the driver.
type process struct{ cmd *exec.Cmd }

// startProcess starts role and returns the addresses that it prints.
func startProcess(role, peer string, o options) (*process, []string, error) {
	cmd := exec.Command(os.Args[0], "-role", role, "-peer", peer, "-service-time", o.serviceTime.String())
	cmd.Stderr = os.Stderr
	if o.maxProcs > 0 && role != roleBackend {
		cmd.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", o.maxProcs))
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, nil, errors.Wrapf(err, "start %s", role)
	}
	p := &process{cmd: cmd}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		p.stop()
		return nil, nil, errors.Wrapf(err, "read addresses of %s", role)
	}
	return p, strings.Fields(line), nil
}

func (p *process) stop() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// cpuTime returns the processor time of a stopped process. It varies less than the latencies on a
// machine that runs other work.
func (p *process) cpuTime() time.Duration {
	return p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
}

// way is one of the two ways of a call, with the latencies of a round.
type way struct {
	url    string
	client *http.Client

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	total   int // calls of all rounds
	failed  int
	failure error // the first one
}

func newWay(addr string) *way {
	transport := &http.Transport{MaxIdleConns: connections, MaxIdleConnsPerHost: connections}
	return &way{url: "http://" + addr + "/pages/a", client: &http.Client{Transport: transport, Timeout: callTimeout}}
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
	w.total++
	if err != nil {
		if w.failed++; w.failure == nil {
			w.failure = err
		}
		return
	}
	_ = w.latency.RecordValue(min(elapsed.Microseconds(), maxLatencyMicros))
}

func (w *way) send(body []byte) error {
	resp, err := w.client.Post(w.url, "text/plain", bytes.NewReader(body))
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

// quantile returns a latency in milliseconds.
func (w *way) quantile(q float64) float64 { return float64(w.latency.ValueAtQuantile(q)) / 1000 }

func drive(o options) error {
	receiver, addrs, err := startProcess(roleReceiver, "", o)
	if err != nil {
		return err
	}
	defer receiver.stop()
	server, direct, err := startProcess(roleBackend, addrs[1], o)
	if err != nil {
		return err
	}
	defer server.stop()
	sender, via, err := startProcess(roleSender, addrs[0], o)
	if err != nil {
		return err
	}
	defer sender.stop()
	ways := []*way{newWay(direct[0]), newWay(via[0])}
	fmt.Println("| calls/s | round | direct p50 / p99 ms | two hops p50 / p99 ms | added p50 ms | added p99 ms | calls | failed |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, rate := range o.rates {
		for round := range o.rounds {
			measure(ways, rate, o, uint64(round))
			report(ways, rate, round+1)
		}
	}
	receiver.stop()
	sender.stop()
	fmt.Printf("processor time per call: sending daemon %v, receiving daemon %v\n",
		sender.cpuTime()/time.Duration(ways[1].total), receiver.cpuTime()/time.Duration(ways[1].total))
	return nil
}

// measure sends rate calls/s on each way with exponentially distributed gaps.
func measure(ways []*way, rate int, o options, round uint64) {
	rng := rand.New(rand.NewPCG(o.seed, round))
	send := func(d time.Duration) {
		for _, w := range ways {
			w.reset()
		}
		openLoop(ways, rate*len(ways), d, rng)
	}
	send(o.warmup)
	send(o.duration)
}

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

func report(ways []*way, rate, round int) {
	direct, via := ways[0], ways[1]
	fmt.Printf("| %d | %d | %.2f / %.2f | %.2f / %.2f | %.2f | %.2f | %d | %d |\n", rate, round,
		direct.quantile(50), direct.quantile(99), via.quantile(50), via.quantile(99),
		via.quantile(50)-direct.quantile(50), via.quantile(99)-direct.quantile(99),
		direct.latency.TotalCount()+via.latency.TotalCount(), direct.failed+via.failed)
	for _, w := range ways {
		if w.failed > 0 {
			fmt.Fprintf(os.Stderr, "hop: %d of the calls to %s failed, the first one: %v\n", w.failed, w.url, w.failure)
		}
	}
}
