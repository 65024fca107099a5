package convergence

import (
	"context"
	"slices"
	"time"

	"kingcupwood.example/kingcupwood/lib/traffic"
	"kingcupwood.example/kingcupwood/tools/fleet"
)

// vars are the metrics of a daemon that the benchmark reads.
type vars struct {
	Configuration struct {
		Leading bool `json:"holds_lease"`
	} `json:"configuration"`
	Membership struct {
		Records  int    `json:"records"`
		Sent     uint64 `json:"probe_sent_bytes"`
		Received uint64 `json:"probe_received_bytes"`
	} `json:"membership"`
	Peer     traffic.Stats `json:"peer_traffic"`
	Platform traffic.Stats `json:"platform_traffic"`
}

func readVars(ctx context.Context, i *fleet.Instance) (vars, error) {
	var all struct {
		Daemon vars `json:"kingcupwood"`
	}
	err := i.Vars(ctx, &all)
	return all.Daemon, err
}

// Usage is what a daemon used over a window. Rates of bytes are in units of 1,000 bytes per second,
// without IP, TCP and UDP headers.
type Usage struct {
	CPUPercent, MemoryMB        float64
	ProbeSent, ProbeReceived    float64
	PeerSent, PeerReceived      float64
	PlatformSent, PlatformTaken float64
}

// Sent and Received are the control-plane traffic of the daemon.
func (u Usage) Sent() float64     { return u.ProbeSent + u.PeerSent + u.PlatformSent }
func (u Usage) Received() float64 { return u.ProbeReceived + u.PeerReceived + u.PlatformTaken }

// Window is what the daemons and the platform did over some time.
type Window struct {
	Spec Spec
	// Changes is the rate of accepted changes per second.
	Changes float64
	// Holders are the daemons with a lease throughout the window. Candidates tried for one, Plain are
	// the others. At the target all but 6 daemons of a failure domain are plain.
	Plain, Candidates, Holders []Usage
	// Reads and Writes are those of the platform per second, including the ones of the benchmark.
	Reads, Writes float64
}

// candidateTraffic tells candidates for a lease, which call the platform about once a second, from
// other daemons, which look up a credential when the benchmark reads their metrics. In kB/s.
const candidateTraffic = 0.25

// reading is the state of one daemon at one time.
type reading struct {
	at    time.Time
	vars  vars
	usage fleet.Usage
}

func (w *world) readAll(ctx context.Context) (map[*fleet.Instance]reading, error) {
	all := map[*fleet.Instance]reading{}
	for _, i := range w.fleet.Instances {
		v, err := readVars(ctx, i)
		if err != nil {
			return nil, err
		}
		usage, err := i.DaemonProcess.Usage()
		if err != nil {
			return nil, err
		}
		all[i] = reading{time.Now(), v, usage}
	}
	return all, nil
}

// measure observes all daemons while during runs. during returns the number of changes it made.
func (w *world) measure(ctx context.Context, during func() (changes int, err error)) (Window, error) {
	before, err := w.readAll(ctx)
	if err != nil {
		return Window{}, err
	}
	// The reads of the credential by the metrics above must not count for the platform.
	first, err := w.standin.requests(ctx)
	if err != nil {
		return Window{}, err
	}
	began := time.Now()
	changes, err := during()
	if err != nil {
		return Window{}, err
	}
	elapsed := time.Since(began).Seconds()
	last, err := w.standin.requests(ctx)
	if err != nil {
		return Window{}, err
	}
	after, err := w.readAll(ctx)
	if err != nil {
		return Window{}, err
	}
	window := Window{
		Spec: w.spec, Changes: float64(changes) / elapsed,
		Reads: float64(last.reads-first.reads) / elapsed, Writes: float64(last.writes-first.writes) / elapsed,
	}
	for _, i := range w.fleet.Instances {
		window.add(before[i], after[i])
	}
	return window, nil
}

func (w *Window) add(before, after reading) {
	u := usageBetween(before, after)
	switch {
	case before.vars.Configuration.Leading && after.vars.Configuration.Leading:
		w.Holders = append(w.Holders, u)
	case before.vars.Configuration.Leading || after.vars.Configuration.Leading:
		// The lease changed hands during the window.
	case u.PlatformSent > candidateTraffic:
		w.Candidates = append(w.Candidates, u)
	default:
		w.Plain = append(w.Plain, u)
	}
}

func usageBetween(before, after reading) Usage {
	seconds := after.at.Sub(before.at).Seconds()
	rate := func(from, to uint64) float64 { return float64(to-from) / seconds / 1e3 }
	b, a := before.vars, after.vars
	return Usage{
		CPUPercent:    100 * (after.usage.CPU - before.usage.CPU).Seconds() / seconds,
		MemoryMB:      float64(after.usage.ResidentBytes) / 1e6,
		ProbeSent:     rate(b.Membership.Sent, a.Membership.Sent),
		ProbeReceived: rate(b.Membership.Received, a.Membership.Received),
		PeerSent:      rate(b.Peer.Sent, a.Peer.Sent),
		PeerReceived:  rate(b.Peer.Received, a.Peer.Received),
		PlatformSent:  rate(b.Platform.Sent, a.Platform.Sent),
		PlatformTaken: rate(b.Platform.Received, a.Platform.Received),
	}
}

// Median returns the median of a value over the daemons, 0 without any.
func Median(list []Usage, value func(Usage) float64) float64 { return quantile(list, value, 0.5) }

// Worst returns the highest value over the daemons, 0 without any.
func Worst(list []Usage, value func(Usage) float64) float64 { return quantile(list, value, 1) }

func quantile(list []Usage, value func(Usage) float64, share float64) float64 {
	if len(list) == 0 {
		return 0
	}
	values := make([]float64, len(list))
	for i, u := range list {
		values[i] = value(u)
	}
	slices.Sort(values)
	return values[min(int(share*float64(len(values))), len(values)-1)]
}

// watchReads observes the reads of the platform until the returned function is called, which gives
// the highest rate per second.
func (w *world) watchReads(ctx context.Context) (peak func() float64) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan float64, 1)
	go func() { done <- w.peakReads(ctx) }()
	return func() float64 {
		cancel()
		return <-done
	}
}

// readsWindow is the time over which a peak of the reads is averaged.
const readsWindow = time.Second

func (w *world) peakReads(ctx context.Context) float64 {
	highest := 0.0
	last, err := w.standin.requests(ctx)
	if err != nil {
		return 0
	}
	began := time.Now()
	for pause(ctx, readsWindow) {
		now, err := w.standin.requests(ctx)
		if err != nil {
			continue // ctx has ended, or the next reading covers this one
		}
		highest = max(highest, float64(now.reads-last.reads)/time.Since(began).Seconds())
		last, began = now, time.Now()
	}
	return highest
}
