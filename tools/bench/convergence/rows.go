package convergence

import (
	"fmt"

	"kingcupwood.example/kingcupwood/tools/bench/row"
)

// name returns the name of a figure of this deployment.
func (w *world) name(figure string) string {
	return fmt.Sprintf("convergence/N=%d/%s", w.spec.Daemons, figure)
}

// delayRows describes how long a change took. A medianBound of 0 stands for none.
func (w *world) delayRows(scenario string, d delays, medianBound float64) []row.Row {
	return []row.Row{
		{Name: w.name(scenario + "/median"), Value: d.median(), Unit: "s", Bound: medianBound},
		{Name: w.name(scenario + "/worst"), Value: d.worst(), Unit: "s", Bound: row.WorstSeconds},
	}
}

func (w *world) steadyRows(s steady) []row.Row {
	rows := w.delayRows("change", s.delays, row.MedianSeconds)
	rows = append(rows, row.Row{Name: w.name("cold-start/platform-reads-peak"), Value: s.cold, Unit: "reads/s", Bound: row.PlatformReads})
	rows = append(rows, w.windowRows("start", s.start)...)
	rows = append(rows, w.windowRows("idle", s.idle)...)
	return append(rows, w.windowRows("changes", s.changing)...)
}

// windowRows describes what daemons and platform used over a window.
func (w *world) windowRows(window string, m Window) []row.Row {
	rows := []row.Row{
		{Name: w.name(window + "/platform/reads"), Value: m.Reads, Unit: "reads/s", Bound: row.PlatformReads},
		{Name: w.name(window + "/platform/writes"), Value: m.Writes, Unit: "writes/s", Bound: row.PlatformWrites},
	}
	rows = append(rows, w.usageRows(window+"/daemon", m.Plain)...)
	rows = append(rows, w.usageRows(window+"/lease-candidate", m.Candidates)...)
	return append(rows, w.usageRows(window+"/lease-holder", m.Holders)...)
}

// usageRows describes daemons of one role. The bounds are those of a daemon at the target, which a
// smaller deployment must keep all the more.
func (w *world) usageRows(role string, list []Usage) []row.Row {
	if len(list) == 0 {
		return nil
	}
	cpu := func(u Usage) float64 { return u.CPUPercent }
	memory := func(u Usage) float64 { return u.MemoryMB }
	both := func(u Usage) float64 { return u.Sent() + u.Received() }
	return []row.Row{
		{Name: w.name(role + "/count"), Value: float64(len(list)), Unit: "daemons"},
		{Name: w.name(role + "/cpu/median"), Value: Median(list, cpu), Unit: "%core", Bound: row.CPUPercent},
		{Name: w.name(role + "/cpu/worst"), Value: Worst(list, cpu), Unit: "%core"},
		{Name: w.name(role + "/memory/median"), Value: Median(list, memory), Unit: "MB", Bound: row.MemoryMB},
		{Name: w.name(role + "/memory/worst"), Value: Worst(list, memory), Unit: "MB", Bound: row.MemoryMB},
		{Name: w.name(role + "/bytes/sent"), Value: Median(list, Usage.Sent), Unit: "kB/s"},
		{Name: w.name(role + "/bytes/received"), Value: Median(list, Usage.Received), Unit: "kB/s"},
		{Name: w.name(role + "/bytes/median"), Value: Median(list, both), Unit: "kB/s", Bound: row.KilobytesPerSecond},
		{Name: w.name(role + "/bytes/worst"), Value: Worst(list, both), Unit: "kB/s", Bound: row.KilobytesPerSecond},
		{Name: w.name(role + "/bytes/probes"), Value: Median(list, func(u Usage) float64 { return u.ProbeSent + u.ProbeReceived }), Unit: "kB/s"},
		{Name: w.name(role + "/bytes/peers"), Value: Median(list, func(u Usage) float64 { return u.PeerSent + u.PeerReceived }), Unit: "kB/s"},
		{Name: w.name(role + "/bytes/platform"), Value: Median(list, func(u Usage) float64 { return u.PlatformSent + u.PlatformTaken }), Unit: "kB/s"},
	}
}
