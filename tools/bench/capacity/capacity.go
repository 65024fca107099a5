package capacity

import (
	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/tools/bench/convergence"
	"kingcupwood.example/kingcupwood/tools/bench/row"
)

// Sizes that differ from the target, so that the share of each size can be told apart.
const (
	fewRecords  = 1_000
	fewServices = 100
	fastChanges = 2.0
	largeDomain = 60
)

// Variation is a deployment with its rate of changes per second.
type Variation struct {
	convergence.Spec
	Changes float64
}

// Variations returns deployments of n daemons that differ from the target in one size each.
func Variations(n int) []Variation {
	target := convergence.Target(n)
	records, services, domains := target, target, target
	records.Records, services.Services = fewRecords, fewServices
	// One large failure domain is the longest lever for the share of its size.
	domains.Daemons, domains.Domains = largeDomain, 1
	return []Variation{
		{Spec: domains, Changes: row.TargetChanges},
		{Spec: records, Changes: row.TargetChanges},
		{Spec: services, Changes: row.TargetChanges},
		{Spec: target, Changes: fastChanges},
	}
}

// figure is a quantity of a daemon.
type figure struct {
	name, unit string
	bound      float64
	value      func(convergence.Usage) float64
}

var figures = []figure{
	{"cpu", "%core", row.CPUPercent, func(u convergence.Usage) float64 { return u.CPUPercent }},
	{"memory", "MB", row.MemoryMB, func(u convergence.Usage) float64 { return u.MemoryMB }},
	{"bytes-sent", "kB/s", 0, convergence.Usage.Sent},
	{"bytes-received", "kB/s", 0, convergence.Usage.Received},
	{"bytes", "kB/s", row.KilobytesPerSecond, func(u convergence.Usage) float64 { return u.Sent() + u.Received() }},
}

var roles = []struct {
	name string
	list func(convergence.Window) []convergence.Usage
}{
	{"daemon", func(w convergence.Window) []convergence.Usage { return w.Plain }},
	{"lease-candidate", func(w convergence.Window) []convergence.Usage { return w.Candidates }},
	{"lease-holder", func(w convergence.Window) []convergence.Usage { return w.Holders }},
}

var slopeNames = [sizes]string{"constant", "per-daemon-of-domain", "per-1000-records", "per-100-services", "per-change/s"}

// slopeUnits makes slopes readable: they are printed for that many daemons, records and so on.
var slopeUnits = [sizes]float64{1, 1, 1000, 100, 1}

func targetSizes() [sizes]float64 {
	return [sizes]float64{
		constant: 1, perDaemon: float64(row.TargetDaemons) / row.TargetDomains, perRecord: row.TargetDaemons,
		perService: row.TargetServices, perChange: row.TargetChanges,
	}
}

func sizesOf(w convergence.Window) [sizes]float64 {
	return [sizes]float64{
		constant: 1, perDaemon: float64(w.Spec.Daemons) / float64(w.Spec.Domains), perRecord: float64(w.Spec.Records),
		perService: float64(w.Spec.Services), perChange: w.Changes,
	}
}

// Rows fits the windows and returns the slopes and what is needed at the target.
func Rows(windows []convergence.Window) ([]row.Row, error) {
	var rows []row.Row
	for _, role := range roles {
		for _, f := range figures {
			var list []observation
			for _, w := range windows {
				if usages := role.list(w); len(usages) > 0 {
					list = append(list, observation{x: sizesOf(w), y: convergence.Median(usages, f.value)})
				}
			}
			model, err := leastSquares(list)
			if err != nil {
				return rows, errors.Wrapf(err, "%s of %s", f.name, role.name)
			}
			rows = append(rows, describe("capacity/"+role.name+"/"+f.name, f, model, largestDomain(list))...)
		}
	}
	return append(rows, platformRows(windows)...), nil
}

func largestDomain(list []observation) float64 {
	largest := 0.0
	for _, o := range list {
		largest = max(largest, o.x[perDaemon])
	}
	return largest
}

// describe lists the slopes of a model and its value at the target. Since 842 daemons of a domain
// are far outside of what was measured, noise of that slope can outweigh everything else; a second
// value therefore keeps the largest domain that was measured.
func describe(name string, f figure, model fit, domain float64) []row.Row {
	var rows []row.Row
	for i, slope := range model {
		rows = append(rows, row.Row{Name: name + "/" + slopeNames[i], Value: slope * slopeUnits[i], Unit: f.unit})
	}
	target, measured := targetSizes(), targetSizes()
	measured[perDaemon] = domain
	return append(rows,
		row.Row{Name: name + "/at-target", Value: model.at(target), Unit: f.unit, Bound: f.bound},
		row.Row{Name: name + "/at-target-but-domain-as-measured", Value: model.at(measured), Unit: f.unit, Bound: f.bound})
}

// platformRows scales the requests of the measured failure domains to all domains of the target.
// They depend on the number of domains and changes, not on that of daemons.
func platformRows(windows []convergence.Window) []row.Row {
	var rows []row.Row
	for _, f := range []struct {
		name  string
		bound float64
		value func(convergence.Window) float64
	}{
		{"reads", row.PlatformReads, func(w convergence.Window) float64 { return w.Reads }},
		{"writes", row.PlatformWrites, func(w convergence.Window) float64 { return w.Writes }},
	} {
		perDomain, changing := 0.0, 0.0
		for _, w := range windows {
			scaled := f.value(w) / float64(w.Spec.Domains)
			if w.Changes == 0 {
				perDomain = max(perDomain, scaled)
			} else if w.Changes < 2*row.TargetChanges {
				changing = max(changing, scaled)
			}
		}
		rows = append(rows,
			row.Row{Name: "capacity/platform/" + f.name + "/idle-per-domain", Value: perDomain, Unit: f.name + "/s"},
			// A domain fetches each change itself, so the share of changes grows with the domains too.
			row.Row{Name: "capacity/platform/" + f.name + "/at-target", Value: max(perDomain, changing) * row.TargetDomains,
				Unit: f.name + "/s", Bound: f.bound})
	}
	return rows
}
