// Command flood runs admission control and selection of the daemon in virtual time under floods and
// failures, beside a FIFO and a strict-priority baseline. It prints a row for each kind and exits
// with 1 if a bound of section 9 of the design is passed. The outcome depends only on the seed.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Seed     uint64 `long:"seed" default:"1" description:"seed of the runs"`
	Scenario string `long:"scenario" description:"run only this scenario"`
	Policy   string `long:"policy" description:"run only this policy"`
}

// gcPercent lets the heap grow to five times the live data. A run keeps little alive and allocates
// for each event, so that the default spends more time on collection than on the run.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	over, err := report(opts)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if over > 0 {
		fmt.Fprintf(os.Stderr, "%d bounds passed\n", over)
		os.Exit(1)
	}
}

// report prints the rows of all selected runs and returns the number of bounds passed.
func report(opts options) (int, error) {
	over := 0
	for _, u := range users() {
		for _, sc := range scenarios {
			for _, policy := range policies {
				if opts.skips(sc.name, policy) {
					continue
				}
				for _, r := range rows(u, sc, policy, runScenario(u, sc, policy, opts.Seed)) {
					if r.over() {
						over++
					}
					if err := r.write(os.Stdout); err != nil {
						return over, err
					}
				}
			}
		}
	}
	return over, nil
}

func (o options) skips(scenario, policy string) bool {
	return o.Scenario != "" && o.Scenario != scenario || o.Policy != "" && o.Policy != policy
}
