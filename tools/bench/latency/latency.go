// Package latency measures what two daemon hops add to a call. It starts a deployment with a sending
// daemon, a receiving daemon and a backend server, and sends an open loop of calls that alternates
// between the direct way, the way through the receiving daemon alone, the way through both, and a way
// through two plain TCP relays, so that the load of the machine affects all alike.
package latency

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/tools/bench/row"
	"kingcupwood.example/kingcupwood/tools/fleet"
)

const (
	// warmup is not measured: connections open, and slow start of a new server lasts 10 s.
	warmup = 2 * time.Second
	// roundTime is the measured time of a round.
	roundTime = 10 * time.Second
	rounds    = 3
	// slots and queue exceed the load, so that the run measures hops and not queues. The direct calls
	// share the connections with those of the daemon.
	slots        = 64
	queue        = 4096
	connections  = 2048
	serviceTime  = 2 * time.Millisecond
	requestBytes = 512
	// responseBytes is the size of a response body.
	responseBytes = 4 << 10
	callTimeout   = 5 * time.Second
	arrivalSeed   = 1
)

// Rates are the calls per second on each way: the mean of a daemon at the target and ten times that.
var Rates = []int{120, 1200}

// answers declares a rate above the load, so that admission control does not refuse calls.
const answers = `[service]
name = pages
team = bench
capacity-slots = %d
capacity-connections = %d
servers = 1

[kind view]
match = POST /pages/
rank = 1
idempotent = yes
deadline = 2s
expected-rate = 10000/s
service-time = 2ms
worth = 1
objective = 99%%
`

// Run measures every rate and reports the rows. With keys the daemons are authenticated to each other.
func Run(ctx context.Context, binary string, keys bool, emit func(row.Row)) error {
	dir, err := os.MkdirTemp("", "kingcupwood-latency-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	f, err := fleet.New(binary, dir)
	if err != nil {
		return err
	}
	defer f.Close()
	if keys {
		if err := f.Secure(); err != nil {
			return err
		}
	}
	sender, receiver, err := deploy(ctx, f)
	if err != nil {
		return err
	}
	relays, err := startRelays(f, receiver)
	if err != nil {
		return err
	}
	ways := []*way{newWay(receiver.Backend), newWay(relays.Callers), newWay(receiver.Callers), newWay(sender.Callers)}
	for _, rate := range Rates {
		measure := func() (int, error) { return measureRate(ways, rate, emit) }
		if err := usagePerCall(ctx, fmt.Sprintf("latency/%d/", rate), sender, receiver, emit, measure); err != nil {
			return err
		}
	}
	return nil
}

// deploy starts the sending daemon, and the receiving one with its backend server, in one failure
// domain, and puts the answers in force.
func deploy(ctx context.Context, f *fleet.Fleet) (sender, receiver *fleet.Instance, err error) {
	server := fleet.ServerConfig{Service: "pages", Slots: slots, Connections: connections, Extra: map[string][]string{
		"work": {"service-time = " + serviceTime.String(), fmt.Sprintf("response-bytes = %d", responseBytes), fmt.Sprintf("queue = %d", queue)},
	}}
	if receiver, err = f.Add("receiver", "d1", server); err != nil {
		return nil, nil, err
	}
	if sender, err = f.Add("sender", "d1", fleet.ServerConfig{}); err != nil {
		return nil, nil, err
	}
	if err := f.StartPlatform(); err != nil {
		return nil, nil, err
	}
	for _, start := range []func() error{
		func() error { return f.StartDaemon(receiver) },
		func() error { return f.StartDaemon(sender) },
		func() error { return f.StartBackend(receiver) },
		f.WriteAdministration,
	} {
		if err := start(); err != nil {
			return nil, nil, err
		}
	}
	if err := fleet.WaitReady(ctx, f.Instances, "pages", 1); err != nil {
		return nil, nil, errors.Wrap(err, "wait for the backend server")
	}
	return sender, receiver, accept(ctx, f)
}

func accept(ctx context.Context, f *fleet.Fleet) error {
	file := filepath.Join(f.Dir, "pages.ini")
	if err := os.WriteFile(file, fmt.Appendf(nil, answers, slots, connections), 0o600); err != nil {
		return err
	}
	draft, err := f.Submit(file)
	if err != nil {
		return err
	}
	if _, err := f.Accept("pages", draft, 0); err != nil {
		return err
	}
	_, err = fleet.WaitVersion(ctx, f.Instances, 1)
	return errors.Wrap(err, "wait for the configuration")
}

// measureRate runs the rounds of one rate. The bound applies to the median of the rounds, since a
// single round can be that of a busy machine. It returns the calls on each way.
func measureRate(ways []*way, rate int, emit func(row.Row)) (calls int, err error) {
	names := []string{"two_relays", "one_hop", "two_hops"}
	p50, p99 := make([][]float64, len(names)), make([][]float64, len(names))
	for round := range rounds {
		results := measureRound(ways, rate, uint64(round))
		for _, w := range ways {
			if w.failed > 0 {
				return 0, errors.Errorf("%d of the calls to %s failed, the first one: %v", w.failed, w.url, w.failure)
			}
		}
		direct := results[0]
		emit(row.Row{Name: fmt.Sprintf("latency/%d/round%d/direct_p99", rate, round+1), Value: direct.p99, Unit: "ms"})
		for n, via := range results[1:] {
			p50[n] = append(p50[n], via.p50-direct.p50)
			p99[n] = append(p99[n], via.p99-direct.p99)
			emit(row.Row{Name: fmt.Sprintf("latency/%d/round%d/%s_added_p99", rate, round+1, names[n]), Value: via.p99 - direct.p99, Unit: "ms"})
		}
		calls += rate * int((warmup+roundTime)/time.Second)
	}
	name := fmt.Sprintf("latency/%d/", rate)
	for n, hops := range names {
		emit(row.Row{Name: name + hops + "_added_p50", Value: median(p50[n]), Unit: "ms"})
		bound := row.AddedMilliseconds
		if n == 0 {
			bound = 0 // the relays are a baseline
		}
		emit(row.Row{Name: name + hops + "_added_p99", Value: median(p99[n]), Unit: "ms", Bound: bound})
	}
	return calls, nil
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
