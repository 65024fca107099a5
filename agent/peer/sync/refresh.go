package sync

import (
	"context"
	"time"

	"kingcupwood.example/kingcupwood/pkg/distribution"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

const (
	// refreshRetryMax bounds the time between two questions of a daemon near the readers while the
	// source does not answer.
	refreshRetryMax = 4 * time.Second
	// markCheckInterval is the time between two checks whether this daemon is marked as unable to
	// reach the source. With refreshRetryMax and a read, a mark near the readers is withdrawn within
	// 5 s after the source is reached again.
	markCheckInterval = 500 * time.Millisecond
	// refreshLevels bounds the levels for which refreshRetryMax grows; a domain of the design size
	// has 5.
	refreshLevels = 5
)

// refresh asks the source whenever nobody has confirmed in time that the newest version is in
// force: silence of the readers may also mean that they are cut off, frozen or dead. It does not
// wait for the long poll of a reader, whose connection may have gone silent.
func (f *Follower) refresh(ctx context.Context) {
	if f.cfg.Source == nil || !f.awaitReadyAndJoined(ctx) {
		return
	}
	backoff, timeout := f.refreshBackoff(), f.readTimeout()
	for ctx.Err() == nil {
		if wait := f.untilStale(); wait > 0 {
			backoff, timeout = f.refreshBackoff(), f.readTimeout()
			pause(ctx, wait)
			continue
		}
		if err := f.askSource(ctx, timeout); err != nil {
			timeout = sourceTimeout // the connection is another one now: only a slow source needs more time
			f.logFailedQuestion(ctx, originSource, err)
			f.pauseWhileStale(ctx, backoff.Next(f.random))
		}
	}
}

// pauseWhileStale waits for d, or until the knowledge of this daemon is fresh: a delay chosen in an
// outage of the source must not postpone the first question after the next silence.
func (f *Follower) pauseWhileStale(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		_, _, confirmed := f.confirmed.load()
		if f.untilStale() > 0 {
			return
		}
		select {
		case <-confirmed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// withdrawMark asks the source while this daemon is marked as unable to reach it but is no reader,
// so that it becomes a candidate again: readers withdraw the mark by their reads, and the knowledge
// of others stays fresh without one.
func (f *Follower) withdrawMark(ctx context.Context) {
	if f.cfg.Source == nil || !f.awaitReadyAndJoined(ctx) {
		return
	}
	backoff := f.refreshBackoff()
	for pause(ctx, markCheckInterval) {
		if !f.isMarked() || f.isReader() {
			backoff = f.refreshBackoff()
			continue
		}
		if err := f.askSource(ctx, sourceTimeout); err != nil {
			f.logFailedQuestion(ctx, originSource, err)
			pause(ctx, backoff.Next(f.random))
		}
	}
}

func (f *Follower) isMarked() bool {
	f.sourceMu.Lock()
	defer f.sourceMu.Unlock()
	return f.sourceLost
}

// refreshBackoff returns the delays after failed questions. Each level of the tree has as many
// times more daemons as it waits longer, so that an outage of the source causes the same load from
// each level; after it, the lower ones get the answer from the higher ones.
func (f *Follower) refreshBackoff() distribution.Backoff {
	longest := refreshRetryMax
	for range min(f.position().Ancestors, refreshLevels) - 1 {
		longest *= distribution.Fanout
	}
	return distribution.Backoff{Base: retryBase, Max: longest}
}

// askSource reads the source once, waits at most timeout for the answer, and puts the newest version
// in force. An answer that takes longer than a timeout below sourceTimeout is no sign that the source
// cannot be reached: with a slow source, all readers would be replaced in turn.
func (f *Follower) askSource(parent context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	began := time.Now()
	next, err := f.cfg.Source.Current(ctx)
	if err == nil || timeout >= sourceTimeout || ctx.Err() == nil {
		f.recordSourceResult(parent, err)
	}
	if err == nil {
		f.confirmRead(next, began)
	}
	return err
}

// confirmRead puts what a read of the source returned in force, and records that no version
// acknowledged before at is missing.
func (f *Follower) confirmRead(next *snapshot.Snapshot, at time.Time) {
	// apply logs a refusal. A refused version counts as known: the next one replaces it, and another
	// read would return the same.
	_ = f.applySnapshot(next, originSource)
	f.confirmed.advance(at)
}
