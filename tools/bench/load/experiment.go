package main

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
	"kingcupwood.example/kingcupwood/tools/fleet"
)

const (
	// warmUp is the time before the measured window.
	warmUp = 2 * time.Second
	// graceLimit bounds the wait for answers after the window. Kinds with longer deadlines are cut off.
	graceLimit = 4 * time.Second
	// settleTime lets backend servers start what had left the daemons when the run ended.
	settleTime = 500 * time.Millisecond
	// frozenTime is how long a server is frozen.
	frozenTime = 3 * time.Second
	// floodTimes is the flood in multiples of the capacity (section 9 of the design page).
	floodTimes = 3
	// maxFloodRate is the largest flood in requests per second; the scale is lowered to keep to it. A
	// flood of 7,500/s exceeded the processors of 10 shared cores: the generator sent with a lag of 1 s
	// at p99, and kinds of a service that was not flooded were late as well.
	maxFloodRate = 2500
	// slowFactor multiplies the service times of a slow server.
	slowFactor = 4
	// lostDomain is the failure domain that is killed. In both users at least half of the servers of
	// each service are in other ones.
	lostDomain = "b"
)

// experiment is one thing that goes wrong under declared load.
type experiment struct {
	name string
	// flood is the kind of each service that is flooded in turn.
	flood flood
	// slow and cold prepare the affected server at the start.
	slow, cold bool
	// affects reports whether an instance is no entry for callers; nil means that all are.
	affects func(d *deployment, i *fleet.Instance) bool
	// begin runs at the start of the measured window.
	begin func(ctx context.Context, r *run) error
	// product marks experiments that need failure detection, which the baselines lack.
	product bool
	// once marks experiments that run for the first user only unless they are selected, to keep the
	// time of the whole group under 6 minutes.
	once bool
}

type flood uint8

const (
	floodNone flood = iota
	floodLeast
	floodMost
)

var experiments = []experiment{
	{name: "calm"},
	{name: "flood-least", flood: floodLeast},
	{name: "flood-most", flood: floodMost},
	{name: "slow", slow: true, once: true},
	{name: "cold", cold: true, begin: startLate, once: true},
	{name: "kill", product: true, affects: isVictim, begin: killVictim, once: true},
	{name: "freeze", product: true, affects: isVictim, begin: freezeVictim, once: true},
	{name: "drain", product: true, affects: isVictim, begin: drainVictim, once: true},
	{name: "domain", product: true, affects: isLost, begin: killDomain},
}

// run is one experiment with one user and one policy.
type run struct {
	user       *user
	experiment experiment
	policy     string
	// flooded is the service whose kind is flooded; nil without a flood.
	flooded *snapshot.Service
	window  time.Duration
	// scale is the factor for the rates of this run.
	scale float64

	deployment *deployment
	generator  *generator
	// runs holds the runs of each request ID on the servers of a service that have ended.
	runs map[string]map[string]int
	load float64 // load average of the machine at the start
}

// execute deploys the processes, sends the load and collects the runs.
func (r *run) execute(ctx context.Context, o options) error {
	var err error
	r.runs = map[string]map[string]int{}
	r.deployment, err = deploy(ctx, o, r)
	if r.deployment != nil {
		defer r.deployment.close(o.keep)
	}
	if err != nil {
		return err
	}
	r.load = loadAverage()
	r.generator = newGenerator(r.streams(), r.entries())
	r.generator.start = time.Now()
	r.generator.from, r.generator.to, r.generator.grace = warmUp, warmUp+r.window, r.grace()
	began := make(chan error, 1)
	go func() { began <- r.begin(ctx, o) }()
	r.generator.run(ctx)
	if err := <-began; err != nil {
		return errors.Wrap(err, r.experiment.name)
	}
	time.Sleep(settleTime)
	return r.collect(ctx)
}

func (r *run) begin(ctx context.Context, o options) error {
	time.Sleep(time.Until(r.generator.start.Add(warmUp)))
	if r.experiment.begin != nil {
		if err := r.experiment.begin(ctx, r); err != nil {
			return err
		}
	}
	if !o.diagnose {
		return nil
	}
	time.Sleep(time.Until(r.generator.start.Add(warmUp + r.window*3/4)))
	return r.diagnose(ctx)
}

// grace is the time in which the answers to the last requests of the window arrive.
func (r *run) grace() time.Duration {
	longest := time.Duration(0)
	for _, s := range r.user.services {
		for i := range s.Kinds {
			longest = max(longest, s.Kinds[i].Deadline)
		}
	}
	return min(longest+time.Second, graceLimit)
}

// streams returns the kinds of the user with the rates of this run.
func (r *run) streams() []*stream {
	var list []*stream
	for _, s := range r.user.services {
		for i := range s.Kinds {
			k := &s.Kinds[i]
			direct := r.user.directRate(s, k)
			st := &stream{service: s.Name, kind: k, rate: direct, declared: direct, delay: r.user.callerDelay, tally: newTally()}
			if slices.Contains(r.user.internal, k.Name) {
				st.delay = 0
			}
			if s == r.flooded && k == extreme(s, r.experiment.flood == floodMost) {
				st.flooding, st.rate = true, r.user.floodRate(s, k, floodTimes)
			}
			list = append(list, st)
		}
	}
	return list
}

func (r *run) entries() []netip.AddrPort {
	var list []netip.AddrPort
	for _, i := range r.deployment.fleet.Instances {
		if r.experiment.affects == nil || !r.experiment.affects(r.deployment, i) {
			list = append(list, i.Callers)
		}
	}
	return list
}

// collect adds the runs of the servers that have not been collected yet.
func (r *run) collect(ctx context.Context) error {
	for _, i := range r.deployment.fleet.Instances {
		if i.BackendProcess == nil || !i.BackendProcess.Running() {
			continue
		}
		if err := r.collectFrom(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) collectFrom(ctx context.Context, i *fleet.Instance) error {
	report, err := i.Runs(ctx)
	if err != nil {
		return errors.Wrapf(err, "runs on %s", i.Name)
	}
	total := r.runs[i.Server.Service]
	if total == nil {
		total = map[string]int{}
		r.runs[i.Server.Service] = total
	}
	for id, n := range maps.All(report.Runs) {
		total[id] += n
	}
	return nil
}
