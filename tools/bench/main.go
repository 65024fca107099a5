// Command bench runs the benchmarks of the design page with real processes on loopback and prints a
// row for each figure: name, value, unit, bound, and whether the bound is kept. It exits with 1 if a
// bound is passed. It ends only processes that it has started.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"kingcupwood.example/kingcupwood/tools/bench/convergence"
	"kingcupwood.example/kingcupwood/tools/bench/latency"
	"kingcupwood.example/kingcupwood/tools/bench/row"
)

// groupLimit bounds the time of one group.
const groupLimit = 30 * time.Minute

func main() {
	binary := flag.String("binary", "bin/kingcupwood", "path of the kingcupwood program")
	sizes := flag.String("sizes", "", "numbers of daemons of the group convergence, separated by commas")
	domains := flag.Int("domains", 0, "number of failure domains with daemons in the group convergence; 0 stands for 5")
	relay := flag.String("relay", "", "run as a TCP relay for LISTEN,TARGET; the group latency starts such processes")
	records := flag.Int("records", 0, "number of endpoint records in the group convergence, for less memory; 0 stands for 16000")
	keys := flag.Bool("keys", false, "authenticate the daemons to each other in the groups latency and convergence; implies -only-daemons")
	onlyDaemons := flag.Bool("only-daemons", false, "no records besides those of the daemons in the group convergence")
	flag.Usage = func() {
		fmt.Fprintf(flag.CommandLine.Output(), "usage: bench [options] [group ...]\ngroups: %s\n", strings.Join(groupNames(), " "))
		flag.PrintDefaults()
	}
	flag.Parse()
	if *relay != "" {
		fmt.Fprintln(os.Stderr, "bench:", latency.Relay(*relay))
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	b := &bench{binary: *binary, sizes: *sizes, keys: *keys, options: convergence.Options{
		Domains: *domains, Records: *records, Keys: *keys, OnlyDaemons: *onlyDaemons || *keys,
	}}
	if err := b.run(ctx, flag.Args()); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		stop()
		os.Exit(2)
	}
	if b.over > 0 {
		fmt.Fprintf(os.Stderr, "%d bounds passed\n", b.over)
		stop()
		os.Exit(1)
	}
}

// bench is the state shared by the groups of one run.
type bench struct {
	binary, sizes string
	keys          bool
	options       convergence.Options
	// over counts the rows whose bound is passed.
	over int
	// measured keeps the windows of the group convergence for the group capacity.
	measured measurements
}

// run runs the named groups, or all of them, in their fixed order.
func (b *bench) run(ctx context.Context, names []string) error {
	for _, name := range names {
		if !slices.Contains(groupNames(), name) {
			return fmt.Errorf("unknown group %q, expected one of %s", name, strings.Join(groupNames(), ", "))
		}
	}
	for _, g := range groups {
		if len(names) > 0 && !slices.Contains(names, g.name) {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, groupLimit)
		err := g.run(b, limited)
		cancel()
		if err != nil {
			return fmt.Errorf("group %s: %w", g.name, err)
		}
	}
	return nil
}

// emit prints a row and notes whether its bound is passed.
func (b *bench) emit(r row.Row) {
	if r.Over() {
		b.over++
	}
	_ = r.Write(os.Stdout) // the exit code still tells whether the bounds are kept
}
