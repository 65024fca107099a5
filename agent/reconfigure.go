package agent

import (
	"context"
	"time"

	"kingcupwood.example/kingcupwood/agent/backend"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// reconfigureInterval is the interval between checks for a new snapshot, view or announcement. It
// adds to the time until a draining server receives no new requests, which may be 3 s.
const reconfigureInterval = 50 * time.Millisecond

// inputs are the values from which selection and admission control are configured. All pointers
// refer to immutable values, so that a change is detected by comparing pointers.
type inputs struct {
	snapshot *snapshot.Snapshot
	view     *endpoint.View
	status   backend.Status
	// traffic is the number of the state of d.versions.
	traffic uint64
	// bad is the order that this daemon has announced as bad.
	bad uint64
}

// reconfigure updates selection and admission control when their inputs change, until ctx ends.
func (d *Daemon) reconfigure(ctx context.Context) {
	ticker := time.NewTicker(reconfigureInterval)
	defer ticker.Stop()
	var last inputs
	for {
		next := inputs{snapshot: d.store.Load(), view: d.prober.View(), status: d.backend.Status()}
		d.updateSelection(&next, &last)
		if next != last {
			d.configureAdmission(next)
			last = next
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (d *Daemon) configureAdmission(in inputs) {
	if in.snapshot == nil || in.status.Service == "" {
		return
	}
	service, ok := in.snapshot.Services[in.status.Service]
	if !ok {
		return
	}
	ready := max(in.view.ReadyCount(service.Name), 1)
	d.receiver.admission.Configure(admissionConfig(in.snapshot, service, in.status.Slots, ready))
}
