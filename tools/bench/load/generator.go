package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
	"kingcupwood.example/kingcupwood/pkg/verdict"
	"kingcupwood.example/kingcupwood/standin/backend"
)

const (
	// maxOpen bounds the requests in flight, and with them connections and goroutines.
	maxOpen = 8000
	// idlePerDaemon is the number of connections to a daemon that are kept for reuse.
	idlePerDaemon = 512
	requestBytes  = 512
	responseBytes = 4 << 10
	arrivalSeed   = 1
)

// stream is the requests of one kind.
type stream struct {
	service  string
	kind     *snapshot.Kind
	rate     float64 // per second
	declared float64 // the direct part of the declared rate, per second
	flooding bool
	delay    time.Duration // between caller and daemon, in one direction
	tally    *tally
}

// generator sends an open loop of requests: their times are drawn in advance and do not depend on
// the answers.
type generator struct {
	streams []*stream
	entries []netip.AddrPort
	client  *http.Client
	// send sends one request; tests replace it.
	send  func(ctx context.Context, s *stream, id string, entry netip.AddrPort) (answer, error)
	start time.Time
	// from and to bound the measured window, since start.
	from, to time.Duration
	// grace is how long answers are awaited after the window.
	grace time.Duration

	open    atomic.Int64
	dropped atomic.Int64
	mu      sync.Mutex
	lag     *hdrhistogram.Histogram // by how much requests are sent after they were due
}

func newGenerator(streams []*stream, entries []netip.AddrPort) *generator {
	transport := &http.Transport{MaxIdleConns: maxOpen, MaxIdleConnsPerHost: idlePerDaemon}
	g := &generator{
		streams: streams, entries: entries, client: &http.Client{Transport: transport},
		lag: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}
	g.send = g.request
	return g
}

// run sends the requests until the window ends and waits for the answers.
func (g *generator) run(ctx context.Context) {
	defer g.client.CloseIdleConnections()
	ctx, cancel := context.WithDeadline(ctx, g.start.Add(g.to+g.grace))
	defer cancel()
	var calls sync.WaitGroup
	defer calls.Wait()
	for n, s := range g.streams {
		rng := rand.New(rand.NewPCG(arrivalSeed, uint64(n)))
		calls.Go(func() { g.arrivals(ctx, &calls, s, rng) })
	}
}

// arrivals sends the requests of s with exponentially distributed gaps.
func (g *generator) arrivals(ctx context.Context, calls *sync.WaitGroup, s *stream, rng *rand.Rand) {
	if s.rate <= 0 {
		return
	}
	var next time.Duration
	for n := 0; ctx.Err() == nil; n++ {
		next += time.Duration(rng.ExpFloat64() * float64(time.Second) / s.rate)
		at := next
		if at >= g.to {
			return
		}
		time.Sleep(time.Until(g.start.Add(at)))
		if g.open.Load() >= maxOpen {
			g.dropped.Add(1)
			continue
		}
		entry := g.entries[rng.IntN(len(g.entries))]
		g.open.Add(1)
		calls.Go(func() {
			defer g.open.Add(-1)
			g.call(ctx, s, fmt.Sprintf("%s-%s-%d", s.service, s.kind.Name, n), at, entry)
		})
	}
}

// call sends one request that is due at a time after the start and counts its answer.
func (g *generator) call(ctx context.Context, s *stream, id string, at time.Duration, entry netip.AddrPort) {
	due, measured := g.start.Add(at), at >= g.from
	if measured {
		g.observeLag(time.Since(due))
	}
	time.Sleep(s.delay)
	a, err := g.send(ctx, s, id, entry)
	time.Sleep(s.delay)
	a.latency = time.Since(due)
	if err != nil {
		s.tally.note(id, err)
	}
	if measured {
		s.tally.add(a, s.kind.Deadline)
	}
	if !s.kind.Idempotent {
		s.tally.tell(id, a.verdict)
	}
}

// request sends a request. The timeout leaves the time that the response needs to reach the caller.
func (g *generator) request(ctx context.Context, s *stream, id string, entry netip.AddrPort) (answer, error) {
	var body io.Reader
	if s.kind.Method == http.MethodPost {
		body = strings.NewReader(strings.Repeat(".", requestBytes))
	}
	req, err := http.NewRequestWithContext(ctx, s.kind.Method, "http://"+entry.String()+path(s.kind), body)
	if err != nil {
		return answer{}, err
	}
	req.Host = s.service
	req.Header.Set(backend.RequestIDHeader, id)
	left := s.kind.Deadline - 2*s.delay
	req.Header.Set(call.TimeoutHeader, strconv.FormatInt(left.Milliseconds(), 10))
	resp, err := g.client.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	a := answer{status: resp.StatusCode}
	a.verdict, _ = verdict.Parse(resp.Header.Get(verdict.Header)) // MayHaveRun if there is none
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}, err
	}
	if a.status >= http.StatusMultipleChoices {
		s.tally.note(id, fmt.Errorf("status %d, %v: %.120s", a.status, a.verdict, text))
	}
	return a, nil
}

func (g *generator) observeLag(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.lag.RecordValue(min(d.Microseconds(), maxLatencyMicros)) // within the range
}
