package convergence

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/tools/bench/row"
)

// failureDaemons is the size at which the failures are measured; section 9 asks for 100 or more.
const failureDaemons = 100

// memoryLimit bounds the resident memory of all daemons together, in units of 1e6 bytes. The
// machine is shared; the limit leaves half of it to others, even with a second run beside this one.
const memoryLimit = 9_000

// Sizes are the numbers of daemons that are measured.
var Sizes = []int{25, 50, 100, 200}

// Target is the specification of a deployment of n daemons with everything else as at the target.
func Target(n int) Spec {
	return Spec{Daemons: n, Records: row.TargetDaemons, Services: row.TargetServices, Domains: realDomains}
}

// Options change the deployments of Run; zero fields stand for the usual value.
type Options struct {
	// Domains is the number of failure domains with daemons, Records that of the endpoint records.
	Domains, Records int
	// OnlyDaemons leaves out the synthetic members, Keys authenticates the daemons to each other.
	// Synthetic members have no keys.
	OnlyDaemons, Keys bool
}

// Run measures deployments of the given sizes and the failures, and passes each row to emit.
func Run(ctx context.Context, binary string, sizes []int, o Options, emit func(row.Row)) ([]Window, error) {
	var windows []Window
	perDaemon := 0.0
	for _, n := range sizes {
		spec := Target(n)
		if o.Domains > 0 {
			spec.Domains = o.Domains
		}
		if o.Records > 0 {
			spec.Records = o.Records
		}
		spec.Records, spec.Keys = affordable(spec, perDaemon), o.Keys
		if o.OnlyDaemons {
			spec.Records = n
		}
		idle, changing, err := Deployment(ctx, binary, spec, row.TargetChanges, emit)
		if err != nil {
			return windows, err
		}
		windows = append(windows, idle, changing)
		perDaemon = Worst(slices.Concat(idle.Plain, idle.Candidates, idle.Holders), func(u Usage) float64 { return u.MemoryMB })
	}
	return windows, nil
}

// affordable returns the number of records that daemons of the given memory can hold within
// memoryLimit. Fewer are used if the measured memory of a daemon does not allow all of them.
func affordable(spec Spec, perDaemonMB float64) int {
	if need := perDaemonMB * float64(spec.Daemons); need > memoryLimit {
		return int(float64(spec.Records) * memoryLimit / need)
	}
	return spec.Records
}

// Deployment runs one deployment at rest and with changes at the given rate per second, and the
// failures if it has the size for them.
func Deployment(ctx context.Context, binary string, spec Spec, rate float64, emit func(row.Row)) (idle, changing Window, err error) {
	fmt.Printf("# %d daemons in %d failure domains, %d records, %d services, load %s\n", spec.Daemons, spec.Domains, spec.Records, spec.Services, loadAverage())
	w, err := start(ctx, binary, spec)
	if err != nil {
		return idle, changing, err
	}
	defer w.close()
	result, err := w.runSteady(ctx, rate)
	if err != nil {
		return idle, changing, errors.Wrapf(err, "%d daemons", spec.Daemons)
	}
	for _, r := range w.steadyRows(result) {
		emit(r)
	}
	rows, err := w.runOperator(ctx)
	for _, r := range rows {
		emit(r)
	}
	if err != nil {
		return idle, changing, errors.Wrap(err, "operator")
	}
	if spec.Daemons == failureDaemons && spec.Domains == realDomains && spec.Services == row.TargetServices {
		rows, err := w.runFailures(ctx)
		for _, r := range rows {
			emit(r)
		}
		if err != nil {
			return idle, changing, errors.Wrap(err, "failures")
		}
	}
	return result.idle, result.changing, nil
}

// loadAverage returns the load of the machine, which is shared; it belongs to each figure.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(data))[:3], " ")
}
