// Command hop measures the latency that two daemon hops add to a call. It starts a backend server, a
// receiving and a sending daemon as processes on loopback and sends requests in an open loop,
// alternating in one run between the direct way and the way through both daemons.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// options are the parameters of a run.
type options struct {
	rates       []int
	duration    time.Duration
	warmup      time.Duration
	rounds      int
	serviceTime time.Duration
	// maxProcs is GOMAXPROCS of the daemons, 0 for the default.
	maxProcs int
	seed     uint64
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "hop:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	var o options
	flags := flag.NewFlagSet("hop", flag.ContinueOnError)
	role := flags.String("role", "driver", "driver, backend, receiver or sender; the driver starts the others")
	peer := flags.String("peer", "", "address of the process that the role depends on")
	rates := flags.String("rates", "120,1200", "calls per second on each way, comma separated")
	flags.DurationVar(&o.duration, "duration", 10*time.Second, "measured time of a round")
	flags.DurationVar(&o.warmup, "warmup", time.Second, "time before the measurement of a round")
	flags.IntVar(&o.rounds, "rounds", 3, "rounds for each rate")
	flags.DurationVar(&o.serviceTime, "service-time", 2*time.Millisecond, "service time of the backend server")
	flags.IntVar(&o.maxProcs, "daemon-procs", 0, "GOMAXPROCS of the daemons, 0 for the default")
	flags.Uint64Var(&o.seed, "seed", 1, "seed of the arrival times")
	if err := flags.Parse(args); err != nil {
		return err
	}
	switch *role {
	case "driver":
		for part := range strings.SplitSeq(*rates, ",") {
			rate, err := strconv.Atoi(part)
			if err != nil || rate <= 0 {
				return errors.Errorf("rate %q is not a positive number", part)
			}
			o.rates = append(o.rates, rate)
		}
		return drive(o)
	case roleBackend:
		return runBackend(*peer, o.serviceTime)
	case roleReceiver:
		return runReceiver()
	case roleSender:
		return runSender(*peer)
	}
	return errors.Errorf("unknown role %q", *role)
}
