// Command load measures a deployment of separate processes under the load of the users of the design
// page: at their declared rates, under floods and under failures. It prints a row for each figure and
// exits with 1 if a bound of section 9 of the design page is passed. For comparison, the daemons can
// be replaced by a FIFO queue or by strict priority in front of the same backend servers.
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

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// options are the command line options.
type options struct {
	binary, answers                string
	scale                          float64
	window                         time.Duration
	user, experiment, policy, only string
	keep, diagnose                 bool
	baseline                       baselineOptions
}

func parseOptions() options {
	var o options
	flag.StringVar(&o.binary, "binary", "bin/kingcupwood", "path of the kingcupwood program")
	flag.StringVar(&o.answers, "answers", "examples", "directory with the answers of both users")
	flag.Float64Var(&o.scale, "scale", 0.25, "factor for all rates; service times and deadlines are divided by it")
	flag.DurationVar(&o.window, "window", 6*time.Second, "measured time of an experiment")
	flag.StringVar(&o.user, "user", "", "run only these users, separated by commas")
	flag.StringVar(&o.experiment, "experiment", "", "run only these experiments, separated by commas")
	flag.StringVar(&o.policy, "policy", "", "run only these policies, separated by commas: ranked, fifo, strict")
	flag.StringVar(&o.only, "flooded", "", "flood only these services, separated by commas")
	flag.BoolVar(&o.keep, "keep", false, "keep settings and logs")
	flag.BoolVar(&o.diagnose, "diagnose", false, "print the state of the daemons during each experiment")
	b := &o.baseline
	flag.StringVar(&b.policy, "baseline", "", "internal: run as a baseline process with this policy")
	flag.StringVar(&b.service, "baseline-service", "", "internal: service of the baseline process")
	flag.StringVar(&b.listen, "baseline-listen", "", "internal: address of the baseline process")
	flag.StringVar(&b.backend, "baseline-backend", "", "internal: address of the backend server")
	flag.StringVar(&b.peers, "baseline-peers", "", "internal: addresses of all baseline processes")
	flag.IntVar(&b.slots, "baseline-slots", 1, "internal: slots of the backend server")
	flag.Parse()
	b.answers, b.scale = o.answers, o.scale
	return o
}

func main() {
	o := parseOptions()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if o.baseline.policy != "" {
		exitOn(serveBaseline(ctx, o.baseline))
		return
	}
	over, err := report(ctx, o)
	exitOn(err)
	if over > 0 {
		fmt.Fprintf(os.Stderr, "%d bounds passed\n", over)
		os.Exit(1)
	}
}

func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(2)
	}
}

// report executes the selected runs, prints their rows and returns the number of bounds passed.
func report(ctx context.Context, o options) (int, error) {
	if o.scale <= 0 {
		return 0, errors.New("option -scale must be positive")
	}
	users, err := loadUsers(o.answers, o.scale)
	if err != nil {
		return 0, err
	}
	over := 0
	runs, err := plan(users, o)
	if err != nil {
		return 0, err
	}
	for _, r := range runs {
		if err := r.execute(ctx, o); err != nil {
			return over, errors.Wrapf(err, "%s/%s/%s", r.user.name, r.title(), r.policy)
		}
		for _, row := range r.rows() {
			if row.Over() {
				over++
			}
			if err := row.Write(os.Stdout); err != nil {
				return over, err
			}
		}
		for _, s := range r.generator.streams {
			if s.tally.failure != "" {
				fmt.Fprintf(os.Stderr, "%s/%s/%s: first failure of its kind: %s\n", r.user.name, r.title(), r.policy, s.tally.failure)
			}
		}
	}
	return over, nil
}

// plan returns the selected runs.
func plan(users []*user, o options) ([]*run, error) {
	var list []*run
	for n, u := range users {
		for _, e := range experiments {
			if n > 0 && e.once && o.experiment == "" && o.user == "" {
				continue
			}
			for _, policy := range []string{policyRanked, policyFIFO, policyStrict} {
				if !chosen(o.user, u.name) || !chosen(o.experiment, e.name) || !o.wants(policy, e) {
					continue
				}
				for _, flooded := range e.floods(u, policy, o) {
					r := &run{user: u, experiment: e, policy: policy, flooded: flooded, window: o.window, scale: o.scale}
					if err := r.limitFlood(o.answers); err != nil {
						return nil, err
					}
					list = append(list, r)
				}
			}
		}
	}
	return list, nil
}

// limitFlood lowers the scale of a run whose flood is more than the machine can send.
func (r *run) limitFlood(answers string) error {
	if r.flooded == nil {
		return nil
	}
	rate := r.user.floodRate(r.flooded, extreme(r.flooded, r.experiment.flood == floodMost), floodTimes)
	if rate <= maxFloodRate {
		return nil
	}
	r.scale *= maxFloodRate / rate
	users, err := loadUsers(answers, r.scale)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(users, func(u *user) bool { return u.name == r.user.name })
	r.user, r.flooded = users[i], users[i].service(r.flooded.Name)
	return nil
}

// wants reports whether e runs with policy. Unless selected, the baselines run floods only.
func (o options) wants(policy string, e experiment) bool {
	if policy == policyRanked {
		return chosen(o.policy, policy)
	}
	if o.policy == "" {
		return e.flood != floodNone
	}
	return !e.product && chosen(o.policy, policy)
}

// floods returns the services to flood in runs of their own. Unless selected, the baselines flood
// only one service of each user.
func (e experiment) floods(u *user, policy string, o options) []*snapshot.Service {
	if e.flood == floodNone {
		return []*snapshot.Service{nil}
	}
	var list []*snapshot.Service
	for _, s := range slices.Backward(u.services) {
		if chosen(o.only, s.Name) {
			list = append(list, s)
		}
	}
	if policy != policyRanked && o.only == "" {
		return list[:1]
	}
	return list
}

// chosen reports whether name is in a list separated by commas; an empty list has all names.
func chosen(list, name string) bool {
	return list == "" || slices.Contains(strings.Split(list, ","), name)
}
