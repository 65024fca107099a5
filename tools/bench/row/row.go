// Package row is the output format of the benchmarks: one line for each figure.
package row

import (
	"fmt"
	"io"
)

// Row is one figure with the bound that the design page sets for it.
type Row struct {
	Name  string
	Value float64
	Unit  string
	// Bound is the largest allowed value; zero means that the design sets none.
	Bound float64
	// Least is the smallest allowed value; zero means that the design sets none.
	Least float64
	// Never marks a figure whose only allowed value is zero.
	Never bool
}

// Over reports whether the bound is passed.
func (r Row) Over() bool {
	return r.Bound > 0 && r.Value > r.Bound || r.Least > 0 && r.Value < r.Least || r.Never && r.Value != 0
}

// Write prints "name value unit bound ok|over" on one line.
func (r Row) Write(out io.Writer) error {
	bound, state := "-", "ok"
	switch {
	case r.Bound > 0:
		bound = fmt.Sprintf("<=%g", r.Bound)
	case r.Least > 0:
		bound = fmt.Sprintf(">=%g", r.Least)
	case r.Never:
		bound = "=0"
	}
	if r.Over() {
		state = "over"
	}
	_, err := fmt.Fprintf(out, "%-56s %12.4g %-10s %8s %s\n", r.Name, r.Value, r.Unit, bound, state)
	return err
}

// Bounds of sections 3 and 9 of the design page.
const (
	// AddedMilliseconds is what two daemon hops may add to a call at p99.
	AddedMilliseconds = 0.7
	// CPUPercent is the share of a core that a daemon may use for the control plane.
	CPUPercent = 4.2
	// MemoryMB is the resident memory of a daemon, in units of 1e6 bytes.
	MemoryMB = 128
	// KilobytesPerSecond is the control-plane traffic of a daemon, in units of 1,000 bytes.
	KilobytesPerSecond = 3
	// MedianSeconds and WorstSeconds bound the time from accept to a version in force.
	MedianSeconds = 1
	WorstSeconds  = 5
	// RestartSeconds bounds the convergence of a mass restart.
	RestartSeconds = 10
	// PlatformReads and PlatformWrites are what the platform provides per second. The page states
	// several hundred writes; the smallest number so described is 200.
	PlatformReads  = 2000
	PlatformWrites = 200
)

// The target of section 3.
const (
	TargetDaemons  = 16_000
	TargetServices = 1_400
	TargetDomains  = 19
	// TargetChanges and TargetEndpointChanges are per second, in total.
	TargetChanges         = 0.27
	TargetEndpointChanges = 0.06
)
