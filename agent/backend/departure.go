package backend

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// ErrUnconfirmed means that a message of a backend server is not confirmed yet and should be sent again.
var ErrUnconfirmed = errors.New("not confirmed yet, send it again")

const (
	// recordTimeout limits the recording of a departure. Backend servers wait 1 s for a confirmation.
	recordTimeout = 800 * time.Millisecond
	// loadTimeout limits one attempt to read the last departure.
	loadTimeout = time.Second
	// logPause is the pause after a failed call of the DepartureLog.
	logPause = 200 * time.Millisecond
	// announceWait limits how long an announcement waits until the last departure is known.
	announceWait = 500 * time.Millisecond
	// loadGrace is the time after the start from which announcements are accepted although the last
	// departure cannot be read: in a long outage of the platform, the backend server is still of use.
	loadGrace = 3 * time.Second
)

// DepartureLog keeps the last departure of a backend server on this instance outside of the process, so
// that the confirmation of a departure also binds the next process of this daemon.
type DepartureLog interface {
	// Last returns the last departure, the zero value if there is none.
	Last(ctx context.Context) (endpoint.Departure, error)
	// Record replaces the last departure. After an error it may have been recorded.
	Record(ctx context.Context, d endpoint.Departure) error
}

// loadDeparture reads the last departure of an earlier process of this daemon, and tries until it
// succeeds or b is closed.
func (b *Backend) loadDeparture() {
	defer close(b.loadEnded)
	ctx := b.running
	for failed := false; ctx.Err() == nil; {
		attempt, end := context.WithTimeout(ctx, loadTimeout)
		last, err := b.cfg.Departures.Last(attempt)
		end()
		if err == nil {
			b.applyDeparture(last)
			close(b.loaded)
			return
		}
		if !failed {
			b.log.Log(event.DepartureUnknown, zap.Error(err))
			failed = true
		}
		select {
		case <-time.After(logPause):
		case <-ctx.Done():
		}
	}
}

// applyDeparture applies the last departure of an earlier process of this daemon. The backend server may
// have been accepted already.
func (b *Backend) applyDeparture(last endpoint.Departure) {
	b.mu.Lock()
	if b.departed.ServerID == "" {
		b.departed, b.recorded = last, last
	}
	if b.current.state != 0 && b.departed.Covers(b.current.ID, b.current.StartedMS) {
		b.current.state = endpoint.Draining
		b.pool.wakeWaiters()
	}
	b.mu.Unlock()
	b.report()
}

// awaitDeparture waits until the last departure of a backend server on this instance is known. It
// returns ErrUnconfirmed if it is not within announceWait, until loadGrace has passed since the start.
func (b *Backend) awaitDeparture() error {
	select {
	case <-b.loaded:
		return nil
	default:
	}
	if time.Since(b.started) >= loadGrace {
		return nil
	}
	timer := time.NewTimer(announceWait)
	defer timer.Stop()
	select {
	case <-b.loaded:
		return nil
	case <-b.stop:
	case <-timer.C:
	}
	return ErrUnconfirmed
}

// depart notes that the process of the given lifetime has departed; the caller holds b.mu.
func (b *Backend) depart(serverID string, startedMS int64) {
	if serverID != "" && !b.departed.Covers(serverID, startedMS) {
		b.departed = endpoint.Departure{ServerID: serverID, StartedMS: startedMS, At: b.cfg.Now()}
	}
}

// recordDeparture records the current departure unless that has been done. It returns ErrUnconfirmed if
// that fails: a departure must not be confirmed before it binds the next process of this daemon.
func (b *Backend) recordDeparture() error {
	b.mu.Lock()
	d := b.departed
	done := d == b.recorded
	b.mu.Unlock()
	if done || b.cfg.Departures == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(b.running, recordTimeout)
	defer cancel()
	for {
		err := b.cfg.Departures.Record(ctx, d)
		if err == nil {
			break
		}
		select {
		case <-time.After(logPause):
		case <-ctx.Done():
			b.log.Log(event.DepartureNotRecorded, zap.String("id", d.ServerID), zap.Error(err))
			return ErrUnconfirmed
		}
	}
	b.mu.Lock()
	b.recorded = d
	b.mu.Unlock()
	return nil
}
