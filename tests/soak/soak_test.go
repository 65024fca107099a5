// Package soak runs daemons as separate processes, harms them, their links, their servers and the store at random
// times, and checks the promises of the system from what clients and servers see. A run is given by its seed;
// what is drawn from the seed are the faults and their times, not the order of events in the processes.
package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"
)

var (
	seedFlag     = flag.Uint64("soak.seed", 0, "run this seed only")
	seedsFlag    = flag.Int("soak.seeds", 0, "run this number of fresh seeds")
	lengthFlag   = flag.Duration("soak.length", 6*time.Second, "time in which faults happen")
	machinesFlag = flag.Int("soak.machines", 6, "machines of a run")
	keepFlag     = flag.String("soak.keep", "", "directory for the logs of failed runs")
)

// ciSeeds are run without flags: one run with planned work only and one with everything.
var ciSeeds = []uint64{3, 4}

// binary is the program under test.
var binary string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	flag.Parse()
	dir, err := os.MkdirTemp("", "kingcupwood-soak-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "kingcupwood")
	if output, err := exec.Command("go", "build", "-o", binary, "../../cmd/kingcupwood").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

func TestSoak(t *testing.T) {
	for _, r := range chosenRuns() {
		t.Run(fmt.Sprint(r.seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, r.seed, r.length)
		})
	}
}

// chosenRuns returns the runs that the flags ask for, those of CI without any.
func chosenRuns() []regression {
	switch {
	case *seedFlag != 0:
		return []regression{{seed: *seedFlag, length: *lengthFlag}}
	case *seedsFlag > 0:
		var runs []regression
		for range *seedsFlag {
			runs = append(runs, regression{seed: 1 + rand.Uint64N(1e6), length: *lengthFlag})
		}
		return runs
	}
	runs := slices.Clone(regressions)
	for _, seed := range ciSeeds {
		runs = append(runs, regression{seed: seed, length: *lengthFlag})
	}
	return runs
}

// runSeed runs a deployment with the faults of seed and fails t for each broken promise.
func runSeed(t *testing.T, seed uint64, length time.Duration) {
	steps, planned := plan(seed, *machinesFlag, length)
	w := newWorld(t, *machinesFlag)
	w.heals()
	w.planned = planned
	ctx, endLoad := context.WithCancel(context.Background())
	defer endLoad()
	for _, m := range w.machines {
		w.runClients(ctx, m)
		w.jobs.Go(func() { w.watchVersion(ctx, m) })
	}
	var running sync.WaitGroup
	for _, s := range steps {
		running.Go(func() {
			time.Sleep(s.at)
			t.Logf("%s %s on m%d for %s, choice %d", time.Now().Format("15:04:05.000"), s.fault.name, s.machine, s.last, s.choice)
			s.fault.run(w, w.machines[s.machine], s.last, s.choice)
		})
	}
	running.Wait()
	w.heals()
	for _, m := range w.machines {
		w.checkMetrics(m)
	}
	endLoad()
	w.end()
	w.jobs.Wait()
	for _, violation := range w.ledger.settle() {
		t.Errorf("seed %d: %s", seed, violation)
	}
	all, good := w.ledger.counts()
	t.Logf("seed %d: %d of %d requests served, %d versions", seed, good, all, w.version.Load())
	if t.Failed() && *keepFlag != "" {
		w.keepLogs(filepath.Join(*keepFlag, fmt.Sprint(seed)))
	}
}

// keepLogs copies the logs of the daemons to dir.
func (w *world) keepLogs(dir string) {
	if err := os.CopyFS(dir, os.DirFS(w.dir)); err != nil {
		w.t.Logf("logs are not kept: %v", err)
	}
}
