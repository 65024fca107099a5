package convergence

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	api "kingcupwood.example/kingcupwood/agent/operator"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
	"kingcupwood.example/kingcupwood/tools/bench/row"
	"kingcupwood.example/kingcupwood/tools/fleet"
)

// operatorChanges is the number of changes made through one daemon; the first finds empty caches.
const operatorChanges = 4

// operatorChange is what one submit and accept through a daemon took.
type operatorChange struct {
	took, cpu time.Duration
	reads     uint64
}

// runOperator makes changes through the administration API of one daemon and describes what they
// cost this daemon and the platform. The CPU time includes the other work of the daemon meanwhile.
func (w *world) runOperator(ctx context.Context) ([]row.Row, error) {
	serving := w.fleet.Instances[len(w.fleet.Instances)-1]
	var list []operatorChange
	for range operatorChanges {
		c, err := w.changeThrough(ctx, serving)
		if err != nil {
			return nil, err
		}
		list = append(list, c)
	}
	usage, err := serving.DaemonProcess.Usage()
	if err != nil {
		return nil, err
	}
	first, later := list[0], list[1:]
	slices.SortFunc(later, func(a, b operatorChange) int { return int(a.took - b.took) })
	median := later[len(later)/2]
	return []row.Row{
		{Name: w.name("operator/first-change/time"), Value: first.took.Seconds(), Unit: "s"},
		{Name: w.name("operator/first-change/cpu"), Value: first.cpu.Seconds(), Unit: "s"},
		{Name: w.name("operator/first-change/platform-reads"), Value: float64(first.reads), Unit: "reads", Bound: row.PlatformReads},
		{Name: w.name("operator/later-change/time"), Value: median.took.Seconds(), Unit: "s"},
		{Name: w.name("operator/later-change/cpu"), Value: median.cpu.Seconds(), Unit: "s"},
		{Name: w.name("operator/later-change/platform-reads"), Value: float64(median.reads), Unit: "reads"},
		{Name: w.name("operator/memory-after"), Value: float64(usage.ResidentBytes) / 1e6, Unit: "MB", Bound: row.MemoryMB},
	}, nil
}

// changeThrough submits and accepts the next change through the daemon of an instance.
func (w *world) changeThrough(ctx context.Context, serving *fleet.Instance) (operatorChange, error) {
	w.changes++
	service, rate := w.changes*changeStride%w.spec.Services, baseRate+w.changes
	config, err := generate(service, rate)
	if err != nil {
		return operatorChange{}, err
	}
	if _, err := w.converge(ctx, []*fleet.Instance{serving}, w.current.Version, time.Now()); err != nil {
		return operatorChange{}, err
	}
	usage, err := serving.DaemonProcess.Usage()
	if err != nil {
		return operatorChange{}, err
	}
	requests, err := w.standin.requests(ctx)
	if err != nil {
		return operatorChange{}, err
	}
	began := time.Now()
	if err := w.acceptThrough(ctx, serving, config, answerFile(service, rate)); err != nil {
		return operatorChange{}, err
	}
	c := operatorChange{took: time.Since(began)}
	after, err := serving.DaemonProcess.Usage()
	if err != nil {
		return operatorChange{}, err
	}
	c.cpu = after.CPU - usage.CPU
	last, err := w.standin.requests(ctx)
	c.reads = last.reads - requests.reads
	return c, err
}

func (w *world) acceptThrough(ctx context.Context, serving *fleet.Instance, config *snapshot.Service, answers []byte) error {
	client := serving.AdminClient()
	d, err := client.Submit(ctx, config.Name, answers)
	if err != nil {
		return errors.Wrap(err, "submit through a daemon")
	}
	outcome, err := client.Accept(ctx, config.Name, api.AcceptRequest{
		Draft: d.Hash, Seen: w.current.Version, Token: fmt.Sprintf("operator-%d", w.changes),
	})
	if err != nil {
		return errors.Wrap(err, "accept through a daemon")
	}
	if outcome.Change == nil {
		return errors.Errorf("accept through a daemon: outcome %v", outcome.State)
	}
	next, err := w.current.With(outcome.Change.Version, config, outcome.Change.Revision)
	if err == nil {
		w.current = next
	}
	return err
}
