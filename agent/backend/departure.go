package backend

import (
	"context"
	"slices"
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
	// loadTimeout limits one attempt to read the departures.
	loadTimeout = time.Second
	// logPause is the pause after a failed call of the DepartureLog.
	logPause = 200 * time.Millisecond
	// announceWait limits how long an announcement waits until the departures are known.
	announceWait = 500 * time.Millisecond
	// askDelay is the time after the start from which other daemons are asked while the departures cannot be read,
	// askInterval the time between two questions.
	askDelay    = 300 * time.Millisecond
	askInterval = time.Second
	// startSpan is how long the announcements of a process must go on if neither the log nor another daemon tells
	// of departures, or if one that has expired seems to be newer: three in intervals of 1.5 s and less.
	startSpan = 2500 * time.Millisecond
)

const (
	// lateMessages is the longest time that a message takes to arrive.
	lateMessages = 30 * time.Second
	// repeatedLeave is the time within which a server that got no confirmation repeats its departure, and before
	// which a successor under its ID has not departed too.
	repeatedLeave = 5 * time.Second
	// recentDeparture is the age up to which a copy of the platform's store, some seconds old, may lack a
	// departure; recentDelay limits the delay after which it is recorded again. Few servers leave within
	// this time, and until then another process of this daemon would accept messages of the server.
	recentDeparture = time.Minute
	recentDelay     = 200 * time.Millisecond
)

// DepartureLog keeps the departures of the backend servers on this instance outside of the process, so
// that the confirmation of a departure also binds the next process of this daemon.
type DepartureLog interface {
	// Load returns the recorded departures.
	Load(ctx context.Context) (endpoint.Departures, error)
	// Record replaces the recorded departures. After an error they may have been replaced.
	Record(ctx context.Context, list endpoint.Departures) error
}

// loadDepartures reads the departures that earlier processes of this daemon recorded, and tries until it
// succeeds or b is closed.
func (b *Backend) loadDepartures() {
	ctx := b.running
	for failed := false; ctx.Err() == nil; {
		attempt, end := context.WithTimeout(ctx, loadTimeout)
		err := b.readLog(attempt)
		var marks []endpoint.DepartureMark
		if err == nil && b.cfg.Remembered != nil && b.cfg.LogIncomplete() {
			marks, err = b.cfg.Remembered(attempt)
		}
		end()
		if err == nil {
			b.applyDepartures(marks)
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

// askWhileUnknown asks other daemons again and again while the log cannot be read: the next answer may be that of one
// that has heard of a departure in the meantime.
func (b *Backend) askWhileUnknown() {
	for wait := askDelay; ; wait = askInterval {
		select {
		case <-time.After(wait):
		case <-b.loaded:
			return
		case <-b.running.Done():
			return
		}
		attempt, end := context.WithTimeout(b.running, loadTimeout)
		if marks, err := b.cfg.Remembered(attempt); err == nil { // otherwise the log has told why nothing is known
			b.applyDepartures(marks)
		}
		end()
	}
}

// readLog adds the departures that earlier processes of this daemon recorded, once.
func (b *Backend) readLog(ctx context.Context) error {
	b.mu.Lock()
	read := b.logRead
	b.mu.Unlock()
	if read {
		return nil
	}
	earlier, err := b.cfg.Departures.Load(ctx)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.departures, b.logRead = b.departures.Merge(earlier), true
	return nil
}

// applyDepartures applies the departures that were read and those that other daemons remember. The backend server
// may have been accepted already.
func (b *Backend) applyDepartures(marks []endpoint.DepartureMark) {
	b.mu.Lock()
	for _, mark := range marks {
		if !slices.Contains(b.remembered, mark) {
			b.remembered = append(b.remembered, mark)
		}
	}
	if b.current.state != 0 && b.hasDeparted(&b.current) {
		b.current.state = endpoint.Draining
		b.pool.wakeWaiters()
	}
	b.mu.Unlock()
	b.report()
}

// hasDeparted reports whether a comes from a process that has departed; the caller holds b.mu. What other daemons
// remember is used for messages that were late at the start of this process only, so that a clock that was stepped
// back does not lock out a new server.
func (b *Backend) hasDeparted(a *checkedAnnouncement) bool {
	remembered := func(mark endpoint.DepartureMark) bool { return mark.Covers(a.ID, a.StartedMS) }
	if time.Since(b.started) < lateMessages && slices.ContainsFunc(b.remembered, remembered) {
		return true
	}
	return b.departures.Covers(a.ID, a.StartedMS)
}

// awaitDepartures waits until the departures of backend servers on this instance are known. It returns ErrUnconfirmed
// if they are not within announceWait, unless the announcements of the process of a have gone on for startSpan: in a
// long outage of the platform, a server that lives is of use.
func (b *Backend) awaitDepartures(a *checkedAnnouncement) error {
	select {
	case <-b.loaded:
		return nil
	default:
	}
	if b.isAlive(a) {
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

// isAlive counts a and reports whether its process lives, although it is not known which ones have left.
func (b *Backend) isAlive(a *checkedAnnouncement) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current.state != 0 && a.ID == b.current.ID && a.StartedMS == b.current.StartedMS {
		return true // accepted before
	}
	now := b.cfg.Now()
	b.starting.note(a, now)
	return b.starting.proven(now, startSpan)
}

// depart notes the departure of the process with the given start; the caller holds b.mu.
func (b *Backend) depart(serverID string, startedMS int64) {
	if startedMS == 0 {
		b.departByID(serverID)
	} else if serverID != "" && !b.departures.CoversExactly(serverID, startedMS) {
		b.note(endpoint.Departure{ServerID: serverID, StartedMS: startedMS, At: b.cfg.Now()}, true)
	}
}

// departByID notes a departure that names only the ID of the server; the caller holds b.mu. That may be another
// process than the one announced last under this ID: its announcements may be late. A repetition needs no new
// record, nor does that of a process whose own departure is known.
func (b *Backend) departByID(serverID string) {
	if serverID == "" {
		return
	}
	now := b.cfg.Now()
	repeated := slices.ContainsFunc(b.departures, func(d endpoint.Departure) bool {
		return d.ServerID == serverID && d.NamesOnlyID() && now.Sub(d.At) < repeatedLeave
	})
	announced := b.current.ID == serverID && b.departures.CoversExactly(serverID, b.current.StartedMS)
	b.note(endpoint.Departure{ServerID: serverID, At: now}, !repeated && !announced)
	if b.current.ID == serverID && b.current.StartedMS > now.UnixMilli() { // the clock was stepped back
		b.depart(serverID, b.current.StartedMS)
	}
}

// note adds a departure and, if record is set, has it recorded.
func (b *Backend) note(d endpoint.Departure, record bool) {
	b.departures = b.departures.Merge(endpoint.Departures{d})
	b.returning = liveness{}
	if record {
		b.noted++
		b.log.Log(event.DepartureNoted, zap.String("id", d.ServerID), zap.Int64("started_ms", d.StartedMS))
	}
}

// refuted reports whether the announcements of a process that departures cover have gone on for longer than those
// from before may arrive. The process then lives: a departure that names only its ID was the late one of an earlier
// process. The departure of a process that stated its start is never refuted. The caller holds b.mu.
func (b *Backend) refuted(a *checkedAnnouncement) bool {
	if b.departures.CoversExactly(a.ID, a.StartedMS) {
		return false
	}
	now := b.cfg.Now()
	b.returning.note(a, now)
	if !b.returning.proven(now, lateMessages) {
		return false
	}
	b.departures = b.departures.Except(a.ID, a.StartedMS)
	b.noted++
	b.log.Log(event.DepartureRefuted, zap.String("id", a.ID), zap.Int64("started_ms", a.StartedMS), zap.Uint64("sequence", a.Sequence))
	return true
}

// tellDeparture passes the last departure to other daemons unless that has been done.
func (b *Backend) tellDeparture() {
	b.mu.Lock()
	mark := b.departures.Last().Mark()
	again := mark == b.told
	b.told = mark
	b.mu.Unlock()
	if !again && b.cfg.Departed != nil {
		b.cfg.Departed(mark)
	}
}

// recordDepartures records the departures unless that has been done. It returns ErrUnconfirmed if that
// fails: a departure must not be confirmed before it binds the next process of this daemon.
func (b *Backend) recordDepartures() error {
	b.tellDeparture()
	b.mu.Lock()
	id, done := b.departures.Last().ServerID, b.noted == b.recorded
	b.mu.Unlock()
	if done || b.cfg.Departures == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(b.running, recordTimeout)
	defer cancel()
	for {
		err := b.writeLog(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(logPause):
		case <-ctx.Done():
			b.log.Log(event.DepartureNotRecorded, zap.String("id", id), zap.Error(err))
			return ErrUnconfirmed
		}
	}
}

// writeLog records the current departures, with those of earlier processes. Calls are serialized, so that none
// replaces a later departure.
func (b *Backend) writeLog(ctx context.Context) error {
	b.recording.Lock()
	defer b.recording.Unlock()
	if err := b.readLog(ctx); err != nil {
		return err
	}
	b.mu.Lock()
	list, noted := b.departures, b.noted
	b.mu.Unlock()
	if err := b.cfg.Departures.Record(ctx, list); err != nil {
		return err
	}
	b.mu.Lock()
	b.recorded = noted
	b.mu.Unlock()
	return nil
}

// RecordAgain records the departures again after the DepartureLog may have lost them, within delay, and
// tries until it succeeds or ctx ends. It returns the number of rows that are recorded again, 0 or 1.
func (b *Backend) RecordAgain(ctx context.Context, delay time.Duration) int {
	b.mu.Lock()
	last := b.departures.Last()
	b.mu.Unlock()
	age := b.cfg.Now().Sub(last.At)
	if b.cfg.Departures == nil || last.ServerID == "" || age > endpoint.DepartureRetention {
		return 0
	}
	if age <= recentDeparture {
		delay = min(delay, recentDelay)
	}
	for failed := false; ; failed = true {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return 0
		}
		limit, cancel := context.WithTimeout(ctx, recordTimeout)
		err := b.writeLog(limit)
		cancel()
		if err == nil {
			return 1
		}
		if !failed && ctx.Err() == nil { // log only the first failure of a series
			b.log.Log(event.RewriteFailed, zap.String("server", last.ServerID), zap.Error(err))
		}
		delay = logPause
	}
}
