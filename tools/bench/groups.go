package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/tools/bench/capacity"
	"kingcupwood.example/kingcupwood/tools/bench/chain"
	"kingcupwood.example/kingcupwood/tools/bench/convergence"
	"kingcupwood.example/kingcupwood/tools/bench/handshake"
	"kingcupwood.example/kingcupwood/tools/bench/latency"
	"kingcupwood.example/kingcupwood/tools/bench/row"
)

// group is a set of figures that can be run alone.
type group struct {
	name string
	run  func(*bench, context.Context) error
}

var groups = []group{
	{"flood", (*bench).runFlood},
	{"latency", (*bench).runLatency},
	{"chain", (*bench).runChain},
	{"handshake", (*bench).runHandshake},
	{"convergence", (*bench).runConvergence},
	{"capacity", (*bench).runCapacity},
	{"load", (*bench).runLoad},
}

func groupNames() []string {
	names := make([]string, len(groups))
	for i, g := range groups {
		names[i] = g.name
	}
	return names
}

// variationDaemons is the size of the deployments that vary records, services and changes. It is the
// smallest one with daemons that are neither lease holders nor candidates.
const variationDaemons = 50

// measurements are the windows measured so far in this run.
type measurements struct{ windows []convergence.Window }

// runFlood runs the flood program, which prints its own rows.
func (b *bench) runFlood(ctx context.Context) error {
	cmd := exec.CommandContext(ctx, "go", "run", "./tools/bench/flood")
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	err := cmd.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() == 1 {
		b.over++
		return nil
	}
	return errors.Wrap(err, "run flood")
}

// stopLimit is the time for a program to end its processes after it is told to stop.
const stopLimit = 10 * time.Second

// runLoad builds the load program and runs it. It prints its own rows. It is not started by "go run",
// which would not pass the signal on and leave the processes of a deployment behind.
func (b *bench) runLoad(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "kingcupwood-bench-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	program := filepath.Join(dir, "load")
	if output, err := exec.CommandContext(ctx, "go", "build", "-o", program, "./tools/bench/load").CombinedOutput(); err != nil {
		return errors.Wrapf(err, "build load: %s", output)
	}
	cmd := exec.CommandContext(ctx, program, "-binary", b.binary)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	cmd.WaitDelay = stopLimit
	err = cmd.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() == 1 {
		b.over++
		return nil
	}
	return errors.Wrap(err, "run load")
}

// runLatency measures what two daemon hops add to a call.
func (b *bench) runLatency(ctx context.Context) error {
	return latency.Run(ctx, b.binary, b.keys, b.emit)
}

// runChain measures a chain of calls of the greatest depth.
func (b *bench) runChain(ctx context.Context) error { return chain.Run(ctx, b.binary, b.emit) }

// runHandshake measures a new connection between authenticated daemons.
func (b *bench) runHandshake(ctx context.Context) error { return handshake.Run(ctx, b.emit) }

func (b *bench) runConvergence(ctx context.Context) error {
	sizes := convergence.Sizes
	if b.sizes != "" {
		sizes = nil
		for _, word := range strings.Split(b.sizes, ",") {
			n, err := strconv.Atoi(word)
			if err != nil {
				return errors.Wrap(err, "option -sizes")
			}
			sizes = append(sizes, n)
		}
	}
	windows, err := convergence.Run(ctx, b.binary, sizes, b.options, b.emit)
	b.measured.windows = windows
	return err
}

// runCapacity fits slopes to the windows of the group convergence and to smaller deployments that
// differ from them in one size. Without the group convergence it measures one size first.
func (b *bench) runCapacity(ctx context.Context) error {
	discard := func(row.Row) {}
	windows := b.measured.windows
	if len(windows) == 0 {
		var err error
		if windows, err = convergence.Run(ctx, b.binary, []int{variationDaemons}, convergence.Options{}, discard); err != nil {
			return err
		}
	}
	for _, v := range capacity.Variations(variationDaemons) {
		idle, changing, err := convergence.Deployment(ctx, b.binary, v.Spec, v.Changes, discard)
		if err != nil {
			return err
		}
		windows = append(windows, idle, changing)
	}
	rows, err := capacity.Rows(windows)
	for _, r := range rows {
		b.emit(r)
	}
	return err
}
