package agent

import (
	"sync"
	"time"

	"kingcupwood.example/kingcupwood/agent/backend"
	"kingcupwood.example/kingcupwood/agent/peer/probe"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/membership"
)

// recordKeeper updates the endpoint record of this instance to the state of its backend server.
type recordKeeper struct {
	prober *probe.Prober
	// mu keeps a late announcement from overwriting the draining state.
	mu       sync.Mutex
	draining bool
	// versioned means that the record contains the version of the backend server.
	versioned bool
}

// backendChanged applies a change of the backend server to the record.
func (k *recordKeeper) backendChanged(status backend.Status) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.update(func(r *endpoint.Record) {
		r.Service, r.Slots = status.Service, status.Slots
		if k.versioned {
			r.Version = endpoint.VersionKey(status.Version)
		}
		k.setState(r, status.State)
		r.ServerLeft = status.State == endpoint.Draining
	})
}

// serverDeparted announces a departure before it is confirmed, so that other daemons can tell the next process of this
// daemon of it.
func (k *recordKeeper) serverDeparted(mark endpoint.DepartureMark) {
	k.update(func(r *endpoint.Record) { r.LeftServer, r.LeftStartMS = mark.Server, mark.LastStartMS })
	k.prober.PushLocal()
}

// drain announces that this instance accepts no new requests, whatever its backend server
// announces.
func (k *recordKeeper) drain() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.draining = true
	k.update(func(r *endpoint.Record) { k.setState(r, r.State) })
}

// setRollouts announces the roll-outs that this daemon coordinates.
func (k *recordKeeper) setRollouts(text string) {
	k.update(func(r *endpoint.Record) { r.Rollouts = text })
}

// setRolloutBad announces the order whose target version has responded badly here, zero for none.
func (k *recordKeeper) setRolloutBad(order uint64) {
	k.update(func(r *endpoint.Record) { r.RolloutBad = order })
}

func (k *recordKeeper) setState(r *endpoint.Record, state endpoint.State) {
	if k.draining && state != endpoint.Gone {
		state = endpoint.Draining
	}
	if state == endpoint.Ready && r.State != endpoint.Ready {
		r.ReadySinceMS = time.Now().UnixMilli()
	}
	r.State = state
}

func (k *recordKeeper) update(change func(r *endpoint.Record)) {
	k.prober.Do(func(now time.Time, s *membership.State) {
		record := s.Local()
		change(&record)
		s.SetLocal(now, record)
	})
}

func (k *recordKeeper) instance() endpoint.InstanceID {
	var id endpoint.InstanceID
	k.prober.Do(func(_ time.Time, s *membership.State) { id = s.Local().Instance })
	return id
}
