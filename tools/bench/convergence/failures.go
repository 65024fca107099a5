package convergence

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	standin "kingcupwood.example/kingcupwood/standin/platform"
	"kingcupwood.example/kingcupwood/tools/bench/row"
	"kingcupwood.example/kingcupwood/tools/fleet"
)

const (
	// killedShare is the share of the daemons killed at the moment of a change.
	killedShare = 0.1
	// outageTime is the length of the platform outage.
	outageTime = 10 * time.Second
	// slowDelay is added to each request to the slow platform.
	slowDelay = 500 * time.Millisecond
	// slowWarmUp lets requests in progress see the delay before the change is made.
	slowWarmUp = 5 * time.Second
	// recoverTime passes between two failures.
	recoverTime = 10 * time.Second
)

// victims returns n daemons: the lease holders of one failure domain first, so that no daemon of it
// reads the head, then random ones.
func (w *world) victims(ctx context.Context, n int, rng *rand.Rand) (killed, rest []*fleet.Instance, err error) {
	order := append([]*fleet.Instance(nil), w.fleet.Instances...)
	rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	domain := domainName(0)
	for _, i := range order {
		v, err := readVars(ctx, i)
		if err != nil {
			return nil, nil, err
		}
		if i.Domain == domain && v.Configuration.Leading {
			killed = append(killed, i)
		} else {
			rest = append(rest, i)
		}
	}
	missing := max(0, n-len(killed))
	return append(killed, rest[:missing]...), rest[missing:], nil
}

// kill ends the daemons at once.
func kill(instances []*fleet.Instance) {
	var g errgroup.Group
	for _, i := range instances {
		g.Go(func() error {
			i.DaemonProcess.Kill()
			return nil
		})
	}
	_ = g.Wait() // the functions above return no errors
}

// killed measures a change at whose moment a tenth of the daemons die, and starts them again.
func (w *world) killed(ctx context.Context, rng *rand.Rand) ([]row.Row, error) {
	n := int(killedShare * float64(len(w.fleet.Instances)))
	victims, rest, err := w.victims(ctx, n, rng)
	if err != nil {
		return nil, err
	}
	d, err := w.submit(ctx)
	if err != nil {
		return nil, err
	}
	// The kills take effect while the accept writes the head.
	killing := make(chan struct{})
	go func() { defer close(killing); kill(victims) }()
	version, at, err := w.accept(ctx, d)
	<-killing
	if err != nil {
		return nil, err
	}
	times, err := w.converge(ctx, rest, version, at)
	if err != nil {
		return nil, err
	}
	_, err = w.restart(ctx, victims)
	return w.delayRows("killed-10%", times, row.MedianSeconds), err
}

// outage measures a change accepted right after the platform was down.
func (w *world) outage(ctx context.Context) ([]row.Row, error) {
	d, err := w.submit(ctx)
	if err != nil {
		return nil, err
	}
	if err := w.standin.inject(ctx, standin.Fault{Kind: standin.Outage}); err != nil {
		return nil, err
	}
	pause(ctx, outageTime)
	if err := w.standin.clear(ctx); err != nil {
		return nil, err
	}
	end := time.Now()
	version, _, err := w.accept(ctx, d)
	if err != nil {
		return nil, err
	}
	times, err := w.converge(ctx, w.fleet.Instances, version, end)
	// Section 9 bounds only the worst case after an outage.
	return w.delayRows("outage-10s", times, 0), err
}

// slow measures a change while each request to the platform takes slowDelay.
func (w *world) slow(ctx context.Context) ([]row.Row, error) {
	if err := w.standin.inject(ctx, standin.Fault{Kind: standin.Slow, DelayMS: slowDelay.Milliseconds()}); err != nil {
		return nil, err
	}
	pause(ctx, slowWarmUp)
	version, at, err := w.change(ctx)
	if err != nil {
		return nil, err
	}
	times, err := w.converge(ctx, w.fleet.Instances, version, at)
	if err != nil {
		return nil, err
	}
	// Section 9 has no bound of the median for a slow platform; the 5 s of section 3 hold.
	return w.delayRows("platform-slow-500ms", times, 0), w.standin.clear(ctx)
}

// massRestart kills half of the daemons and starts them at once.
func (w *world) massRestart(ctx context.Context, rng *rand.Rand) ([]row.Row, error) {
	half, _, err := w.victims(ctx, len(w.fleet.Instances)/2, rng)
	if err != nil {
		return nil, err
	}
	kill(half)
	peak := w.watchReads(ctx)
	times, err := w.restart(ctx, half)
	if err != nil {
		return nil, err
	}
	pause(ctx, readsWindow)
	return []row.Row{
		{Name: w.name("mass-restart/median"), Value: times.median(), Unit: "s"},
		{Name: w.name("mass-restart/worst"), Value: times.worst(), Unit: "s", Bound: row.RestartSeconds},
		{Name: w.name("mass-restart/platform-reads-peak"), Value: peak(), Unit: "reads/s", Bound: row.PlatformReads},
	}, nil
}

// restart starts killed daemons and returns how long each took until it had the present version.
func (w *world) restart(ctx context.Context, instances []*fleet.Instance) (delays, error) {
	began := time.Now()
	for _, i := range instances {
		if err := w.tails[i].restarted(); err != nil {
			return delays{}, err
		}
		if err := w.fleet.StartDaemon(i); err != nil {
			return delays{}, err
		}
	}
	return w.converge(ctx, instances, w.current.Version, began)
}

// runFailures measures all failures, one after the other.
func (w *world) runFailures(ctx context.Context) ([]row.Row, error) {
	rng := rand.New(rand.NewPCG(uint64(w.spec.Daemons), 1))
	var all []row.Row
	for _, scenario := range []func() ([]row.Row, error){
		func() ([]row.Row, error) { return w.killed(ctx, rng) },
		func() ([]row.Row, error) { return w.outage(ctx) },
		func() ([]row.Row, error) { return w.slow(ctx) },
		func() ([]row.Row, error) { return w.massRestart(ctx, rng) },
	} {
		rows, err := scenario()
		if err != nil {
			return all, err
		}
		all = append(all, rows...)
		pause(ctx, recoverTime)
	}
	return all, nil
}
