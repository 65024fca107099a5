// Package convergence measures a deployment of real daemons on loopback: how long a change takes to
// be in force everywhere, and what a daemon uses for it, at rest and under failures.
package convergence

import (
	"context"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/agent/store"
	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
	"kingcupwood.example/kingcupwood/tools/bench/row"
	"kingcupwood.example/kingcupwood/tools/bench/synthetic"
	"kingcupwood.example/kingcupwood/tools/fleet"
)

const (
	// realDomains is the usual number of failure domains with real daemons; the synthetic members are
	// in the others, since they answer no long polls and hold no leases.
	realDomains = 5
	// seeds is the number of daemons started first, which the synthetic members join.
	seeds = 3
	// startLimit bounds the start of all daemons until each knows everything.
	startLimit = 3 * time.Minute
	// pollPause separates two looks at logs or metrics.
	pollPause = 50 * time.Millisecond
	// maxLogTail bounds the bytes of a log shown in an error.
	maxLogTail = 500
)

// Spec is the size of a deployment.
type Spec struct {
	// Daemons is the number of processes, Records the number of endpoint records including theirs.
	Daemons, Records, Services int
	// Domains is the number of failure domains over which the processes are spread.
	Domains int
	// Keys tells that the daemons are authenticated to each other.
	Keys bool
}

// world is a running deployment.
type world struct {
	spec     Spec
	fleet    *fleet.Fleet
	standin  platformStandin
	client   *store.Client
	current  *snapshot.Snapshot
	tails    map[*fleet.Instance]*logTail
	changes  int
	close    func()
	coldRate float64
}

// domainName returns the name of a failure domain; the first ones hold the daemons.
func domainName(i int) string { return fmt.Sprintf("zone-%02d", i) }

// start runs a deployment and waits until every daemon has the configuration and all records.
func start(ctx context.Context, binary string, spec Spec) (w *world, err error) {
	if spec.Daemons < seeds {
		return nil, errors.Errorf("%d daemons are too few, at least %d are needed", spec.Daemons, seeds)
	}
	dir, err := os.MkdirTemp("", "kingcupwood-bench-")
	if err != nil {
		return nil, errors.Wrap(err, "directory for settings and logs")
	}
	ctx, cancel := context.WithCancel(ctx)
	w = &world{spec: spec, tails: map[*fleet.Instance]*logTail{}}
	if w.fleet, err = fleet.New(binary, dir); err != nil {
		cancel()
		return nil, err
	}
	w.close = func() {
		cancel()
		w.fleet.Close()
		if w.client != nil {
			w.client.Close()
		}
		_ = os.RemoveAll(dir)
	}
	limited, cancelStart := context.WithTimeout(ctx, startLimit)
	defer cancelStart()
	if err = w.startPlatform(limited); err == nil {
		err = w.startDaemons(ctx, limited)
	}
	if err != nil {
		w.close()
		return nil, errors.Wrapf(err, "start %d daemons", spec.Daemons)
	}
	return w, nil
}

func (w *world) startPlatform(ctx context.Context) error {
	if w.spec.Keys {
		if err := w.fleet.Secure(); err != nil {
			return err
		}
	}
	if err := w.fleet.StartPlatform(); err != nil {
		return err
	}
	w.standin = platformStandin{w.fleet.Platform}
	for {
		_, err := w.standin.requests(ctx)
		if err == nil {
			break
		}
		if !pause(ctx, pollPause) {
			return err
		}
	}
	first, objects, err := buildSnapshot(w.spec.Services)
	if err != nil {
		return err
	}
	w.current = first
	url := "http://" + w.fleet.Platform.String()
	w.client, err = store.NewClient(store.Config{
		TableURL: url, ObjectsURL: url, Table: "kingcupwood", Bucket: "kingcupwood",
		AccessKey: "bench", SecretKey: "bench", Local: func() *snapshot.Snapshot { return w.current },
	}, event.Nop())
	if err != nil {
		return err
	}
	return w.standin.preload(ctx, first, objects)
}

// startDaemons starts the seeds, announces the synthetic members to them and starts the rest. The
// synthetic members live as long as ctx, the start ends with limited.
func (w *world) startDaemons(ctx, limited context.Context) error {
	peak := w.watchReads(limited)
	if err := w.startSome(limited, seeds); err != nil {
		return err
	}
	members, err := w.startSynthetic(ctx, limited)
	if err != nil {
		return err
	}
	if err := w.startSome(limited, w.spec.Daemons-seeds); err != nil {
		return err
	}
	w.coldRate = peak()
	if members != nil {
		for _, i := range w.fleet.Instances {
			members.Probe(endpoint.InstanceID(i.Name), net.UDPAddrFromAddrPort(i.ProbeAddr()))
		}
	}
	return w.awaitRecords(limited, w.fleet.Instances)
}

// startSome starts n more daemons and waits until they have a configuration. Their ports are chosen
// only now, so that no other process takes them before the daemons listen.
func (w *world) startSome(ctx context.Context, n int) error {
	first := len(w.fleet.Instances)
	for k := first; k < first+n; k++ {
		if _, err := w.fleet.Add(fmt.Sprintf("daemon-%03d", k), domainName(k%w.spec.Domains), fleet.ServerConfig{}); err != nil {
			return err
		}
	}
	instances := w.fleet.Instances[first:]
	for _, i := range instances {
		if err := w.fleet.StartDaemon(i); err != nil {
			return err
		}
		w.tails[i] = &logTail{path: i.DaemonProcess.LogPath()}
	}
	_, missing, err := w.await(ctx, instances, w.current.Version)
	if err == nil && missing > 0 {
		err = errors.Errorf("%d of %d daemons have no configuration", missing, len(instances))
	}
	return err
}

// checkRunning returns an error with the end of the log of a daemon that has ended by itself.
func checkRunning(instances []*fleet.Instance) error {
	for _, i := range instances {
		if !i.DaemonProcess.Running() {
			data, _ := os.ReadFile(i.DaemonProcess.LogPath()) // the error below is the one that matters
			return errors.Errorf("%s has ended: %s", i.Name, data[max(0, len(data)-maxLogTail):])
		}
	}
	return nil
}

func (w *world) startSynthetic(ctx, limited context.Context) (*synthetic.Members, error) {
	if w.spec.Records <= w.spec.Daemons {
		return nil, nil
	}
	cfg := synthetic.Config{Members: w.spec.Records - w.spec.Daemons, ChangesPerSecond: row.TargetEndpointChanges}
	for i := w.spec.Domains; i < row.TargetDomains; i++ {
		cfg.Domains = append(cfg.Domains, domainName(i))
	}
	for i := range w.spec.Services {
		cfg.Services = append(cfg.Services, serviceName(i))
	}
	members, err := synthetic.Start(ctx, cfg)
	if err != nil {
		return nil, err
	}
	for _, i := range w.fleet.Instances[:seeds] {
		if err := members.Join(limited, i.RPC.String()); err != nil {
			return nil, err
		}
	}
	return members, nil
}

// awaitRecords waits until the daemons know all records.
func (w *world) awaitRecords(ctx context.Context, instances []*fleet.Instance) error {
	for _, i := range instances {
		for {
			v, err := readVars(ctx, i)
			if err == nil && v.Membership.Records >= w.spec.Records {
				break
			}
			if !pause(ctx, pollPause) {
				return errors.Errorf("%s knows %d of %d records", i.Name, v.Membership.Records, w.spec.Records)
			}
		}
	}
	return nil
}

// await returns when each of the daemons had version v in force, and how many have not when ctx ends.
func (w *world) await(ctx context.Context, instances []*fleet.Instance, v snapshot.Version) (times []time.Time, missing int, err error) {
	for {
		times, missing = nil, 0
		for _, i := range instances {
			if err := w.tails[i].read(); err != nil {
				return nil, 0, err
			}
			if at, ok := w.tails[i].reached(v); ok {
				times = append(times, at)
			} else {
				missing++
			}
		}
		if missing == 0 {
			return times, 0, nil
		}
		if err := checkRunning(instances); err != nil {
			return times, missing, err
		}
		if !pause(ctx, pollPause) {
			return times, missing, nil
		}
	}
}

// pause waits for d and reports whether ctx is still live.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
