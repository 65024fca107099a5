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
	// moveInterval is the time between two checks for a change. It adds to the time in which a new
	// owner lacks the outcomes of its keys.
	moveInterval = 100 * time.Millisecond
	// moveRetryDelay is the delay before a failed transfer is retried.
	moveRetryDelay = time.Second
	// moveTimeout bounds one round of transfers.
	moveTimeout = 5 * time.Second
)

// Source is the key table of this daemon.
type Source interface {
	RecordOwners(view *endpoint.View)
	MisplacedKeys(view *endpoint.View) map[endpoint.InstanceID][]caller.KeyRecord
	KeysHandedOver(records []caller.KeyRecord, to endpoint.InstanceID)
	TakeHandoverPending() bool
}

// Mover hands over outcomes while the daemon is running, for example to a server that has joined.
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

// Run hands over outcomes until ctx ends.
func (m *Mover) Run(ctx context.Context) {
	ticker := time.NewTicker(moveInterval)
	defer ticker.Stop()
	var lastView *endpoint.View
	for {
		view := m.view()
		m.source.RecordOwners(view)
		if pending := m.source.TakeHandoverPending(); pending || view != lastView {
			lastView = view
			if !m.move(ctx, view) {
				lastView = nil
				pause(ctx, moveRetryDelay)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// move sends the outcomes that are misplaced according to view. It reports whether all were sent.
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
