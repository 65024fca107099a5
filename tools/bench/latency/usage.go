package latency

import (
	"context"
	"time"

	"kingcupwood.example/kingcupwood/tools/bench/row"
	"kingcupwood.example/kingcupwood/tools/fleet"
)

// usage is what a daemon has used since its start.
type usage struct {
	cpu      time.Duration
	Memstats struct{ Mallocs, TotalAlloc uint64 }
}

func usageOf(ctx context.Context, i *fleet.Instance) (usage, error) {
	var u usage
	process, err := i.DaemonProcess.Usage()
	if err != nil {
		return u, err
	}
	u.cpu = process.CPU
	return u, i.Vars(ctx, &u)
}

// usagePerCall runs measure and reports what the daemons used for each call, the control plane included. measure
// returns the calls on each way; the receiver serves those of one hop and those of two. The design states no
// requirement on allocations, so that these rows have no bound.
func usagePerCall(ctx context.Context, name string, sender, receiver *fleet.Instance, emit func(row.Row), measure func() (int, error)) error {
	daemons := []struct {
		name     string
		instance *fleet.Instance
		ways     int
	}{{"sender", sender, 1}, {"receiver", receiver, 2}}
	before := make([]usage, len(daemons))
	for n, d := range daemons {
		var err error
		if before[n], err = usageOf(ctx, d.instance); err != nil {
			return err
		}
	}
	calls, err := measure()
	if err != nil {
		return err
	}
	for n, d := range daemons {
		after, err := usageOf(ctx, d.instance)
		if err != nil {
			return err
		}
		served := float64(calls * d.ways)
		objects := float64(after.Memstats.Mallocs - before[n].Memstats.Mallocs)
		bytes := float64(after.Memstats.TotalAlloc - before[n].Memstats.TotalAlloc)
		cpu := (after.cpu - before[n].cpu) / time.Duration(calls)
		emit(row.Row{Name: name + d.name + "_cpu_per_call", Value: float64(cpu.Microseconds()), Unit: "us"})
		emit(row.Row{Name: name + d.name + "_allocations_per_call", Value: objects / served, Unit: "objects"})
		emit(row.Row{Name: name + d.name + "_allocated_per_call", Value: bytes / served / 1000, Unit: "kB"})
	}
	return nil
}
