package keys

import (
	"context"
	"time"

	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/agent/caller"
	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

const (
	// moveInterval is how often a Mover looks for a change. It adds to the time in which a new owner
	// lacks the outcomes of its keys.
	moveInterval = 100 * time.Millisecond
	// moveRetryPause separates a failed transfer from the next try.
	moveRetryPause = time.Second
	// moveTimeout bounds one round of transfers.
	moveTimeout = 5 * time.Second
)

// Source is the table of keys of this daemon.
type Source interface {
	RecordOwners(view *endpoint.View)
	MisplacedKeys(view *endpoint.View) map[endpoint.InstanceID][]caller.KeyRecord
	KeysHandedOver(records []caller.KeyRecord, to endpoint.InstanceID)
	TakeHandoverPending() bool
}

// Mover hands outcomes over while the daemon runs, for example to a server that has joined.
type Mover struct {
	source Source
	view   func() *endpoint.View
	dial   Dialer
	log    *event.Logger
}

// NewMover returns a Mover for the keys in source. view returns the current endpoints.
func NewMover(source Source, view func() *endpoint.View, dial Dialer, log *event.Logger) *Mover {
	return &Mover{source: source, view: view, dial: dial, log: log}
}

// Run moves outcomes until ctx ends.
func (m *Mover) Run(ctx context.Context) {
	ticker := time.NewTicker(moveInterval)
	defer ticker.Stop()
	var done *endpoint.View
	for {
		view := m.view()
		m.source.RecordOwners(view)
		if strayed := m.source.TakeHandoverPending(); strayed || view != done {
			done = view
			if !m.move(ctx, view) {
				done = nil
				pause(ctx, moveRetryPause)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// move sends what is misplaced by view. It reports whether everything was sent.
func (m *Mover) move(ctx context.Context, view *endpoint.View) bool {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	complete := true
	for owner, records := range m.source.MisplacedKeys(view) {
		sent, err := send(ctx, m.dial, view.Records[owner].RPCAddr, records)
		m.source.KeysHandedOver(records[:sent], owner)
		complete = complete && err == nil
		m.log.Log(event.KeysMoved, zap.String("owner", string(owner)), zap.Int("keys", len(records)), zap.Int("sent", sent), zap.Error(err))
	}
	return complete
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
