package sync

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/distribution"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/membership"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// Source provides complete configurations that are maintained elsewhere. It replaces Platform.
// Reading needs no lease: surplus readers only cost a few reads, and a reader that was paused
// recognizes by the version that what it has read is outdated.
type Source interface {
	// Current returns the newest configuration, nil if there is none yet. It returns an error if
	// the newest one is not usable as a whole.
	Current(ctx context.Context) (*snapshot.Snapshot, error)
	// NewFeed returns a feed of the changes.
	NewFeed() Feed
}

// Feed returns the changes of a source to one caller at a time.
type Feed interface {
	// Next waits for a configuration that it has not returned yet, and returns the newest one. The
	// first call, and the one after a failure, return the current one at once. Nil without an error
	// means that there was no change until wait had passed since the call.
	Next(ctx context.Context, wait time.Duration) (*snapshot.Snapshot, error)
}

const (
	// sourceReadInterval is the minimum time between two reads of the source. It limits a reader to
	// 4 reads/s under rapid changes, and is far below the time within which a change must be in
	// force.
	sourceReadInterval = 250 * time.Millisecond
	// sourceTimeout bounds one read of the source.
	sourceTimeout = time.Second
	// readerCheckInterval is the time between two checks whether this daemon is a reader.
	readerCheckInterval = 250 * time.Millisecond
	// readyCheckInterval is the time between two checks of a starting daemon whether it has a
	// version.
	readyCheckInterval = 50 * time.Millisecond
	// sourceLostThreshold is the number of consecutive failed reads after which a reader publishes
	// in its record that it cannot reach the source.
	sourceLostThreshold = 2
	// feedWait is how long the second reader waits for a change in one question. It needs no shorter
	// one, as the first reader confirms more often.
	feedWait = 2500 * time.Millisecond
	// minFeedWait keeps a reader whose confirmation is overdue from asking without a pause.
	minFeedWait = 50 * time.Millisecond
	// memberQueryDelay delays the queries to members when a daemon starts. The source gives the
	// exact floor, usually within a few milliseconds.
	memberQueryDelay = 400 * time.Millisecond
)

// readSource reads the source while this daemon is a reader of its failure domain.
func (f *Follower) readSource(ctx context.Context) {
	if !f.awaitReadyAndJoined(ctx) {
		return
	}
	feed := f.cfg.Source.NewFeed()
	backoff := distribution.Backoff{Base: retryBase, Max: retryMax}
	for ctx.Err() == nil {
		if !f.isReader() {
			f.isLeading.Store(false)
			pause(ctx, readerCheckInterval)
			continue
		}
		f.isLeading.Store(true)
		err := f.followFeed(ctx, feed)
		f.recordSourceResult(ctx, err)
		if err != nil {
			f.logFailedQuestion(ctx, originSource, err)
			pause(ctx, backoff.Next(f.random))
			continue
		}
		backoff.Reset()
		f.afterSourceRead(ctx)
	}
}

// followFeed waits for the next change of the source and puts it in force.
func (f *Follower) followFeed(parent context.Context, feed Feed) error {
	wait := f.feedWait()
	ctx, cancel := context.WithTimeout(parent, wait+sourceTimeout)
	defer cancel()
	began := time.Now()
	next, err := feed.Next(ctx, wait)
	if err != nil {
		return err
	}
	if next == nil && time.Since(began) >= wait {
		f.confirmRead(nil, began.Add(wait))
		return nil
	}
	f.confirmRead(next, began)
	pause(parent, sourceReadInterval)
	return nil
}

// feedWait returns how long this daemon waits for a change in one question. The first reader of the
// domain confirms its knowledge within confirmInterval.
func (f *Follower) feedWait() time.Duration {
	if f.position().holders[0] != f.cfg.Self.Instance {
		return feedWait
	}
	age, _ := f.confirmationAge()
	return max(minFeedWait, f.confirmInterval()-max(0, age))
}

// recordSourceResult records the outcome of a read of the source. Only a reader publishes that it
// cannot reach the source: others are not relied on, and in an outage of the source all would.
func (f *Follower) recordSourceResult(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return // this daemon is stopping
	}
	isReader := f.isReader()
	f.sourceMu.Lock()
	defer f.sourceMu.Unlock()
	if err == nil {
		answeredNow(&f.answers.source)
		if f.sourceLost {
			f.cfg.Log.Log(event.SourceRegained, append(f.ages(), zap.Int("failed_reads", f.sourceFailures))...)
		}
		f.sourceFailures, f.sourceLost = 0, false
		f.setSourceUnreachable(false)
		return
	}
	f.sourceFailures++
	if isReader && f.sourceFailures >= sourceLostThreshold && !f.sourceLost {
		f.cfg.Log.Log(event.SourceLost, append(f.ages(), zap.Error(err))...)
		f.sourceLost = true
		f.setSourceUnreachable(true)
	}
}

// awaitReadyAndJoined waits until this daemon has a version and has joined the membership, as
// without other members it would select itself as a reader. It waits at most joinGrace for the
// join.
func (f *Follower) awaitReadyAndJoined(ctx context.Context) bool {
	for !f.Ready() {
		if !pause(ctx, readyCheckInterval) {
			return false
		}
	}
	select {
	case <-f.joined:
	case <-time.After(joinGrace):
	case <-ctx.Done():
	}
	// The records of an exchange appear in the view with its next publication.
	return pause(ctx, membership.PublishInterval)
}

// originSource is the origin of a version that this daemon has read from the source itself.
const originSource = "source"

// applySnapshot puts next in force if it is above the version in force, and announces it to the
// members.
func (f *Follower) applySnapshot(next *snapshot.Snapshot, origin string) error {
	if next == nil {
		return nil
	}
	f.cfg.Members.Do(func(_ time.Time, s *membership.State) { s.RaiseHighest(next.Version) })
	for {
		current := f.cfg.Store.Load()
		if current != nil && current.Version >= next.Version {
			return nil
		}
		d, err := next.DeltaFrom(current)
		if err != nil {
			f.recordRefusal(next.Version, origin, err)
			return err
		}
		if err = f.apply(d, origin); err != ErrBaseMismatch {
			return err
		}
	}
}

// isReader reports whether this daemon reads the source for its failure domain.
func (f *Follower) isReader() bool { return f.position().isHolder(f.cfg.Self.Instance) }

// selectReaders returns the daemons that read the source for the local failure domain: those with
// the lowest hashes among the daemons that reach the source. If no daemon is known to reach it,
// each daemon selects itself.
func (f *Follower) selectReaders(members *endpoint.Members, view *endpoint.View) [membership.MaxHolders]endpoint.InstanceID {
	var chosen [membership.MaxHolders]endpoint.InstanceID
	var hashes [membership.MaxHolders]uint64
	if members == nil {
		chosen[0] = f.cfg.Self.Instance
		return chosen
	}
	for _, id := range members.Instances {
		if view.Records[id].SourceAway {
			continue
		}
		hash := xxhash.Sum64String(f.cfg.Self.Domain + "\x00" + string(id))
		for slot := range chosen {
			if chosen[slot] == "" || hash < hashes[slot] {
				chosen[slot], id = id, chosen[slot]
				hashes[slot], hash = hash, hashes[slot]
			}
			if id == "" {
				break
			}
		}
	}
	if chosen[0] == "" {
		chosen[0] = f.cfg.Self.Instance
	}
	return chosen
}

func (f *Follower) setSourceUnreachable(unreachable bool) {
	f.cfg.Members.Do(func(now time.Time, s *membership.State) {
		if r := s.Local(); r.SourceAway != unreachable {
			r.SourceAway = unreachable
			s.SetLocal(now, r)
		}
	})
}

// determineFloorFromSource determines the version floor from the source or, if that does not answer
// within memberQueryDelay, from members. It returns when either has answered. It replaces
// determineFloor.
func (f *Follower) determineFloorFromSource(ctx context.Context) {
	backoff := distribution.Backoff{Base: retryBase, Max: retryMax}
	exact := make(chan struct{})
	go func() {
		defer close(exact)
		for first := true; ctx.Err() == nil && !f.readSourceFloor(ctx, first); first = false {
			pause(ctx, backoff.Next(f.random))
		}
	}()
	defer func() { <-exact }()
	select {
	case <-exact:
		return
	case <-time.After(memberQueryDelay):
	case <-ctx.Done():
		return
	}
	f.queryMembers(ctx, exact)
}

// readSourceFloor reads the source once and reports whether it gave the floor. first is set if no
// read has failed yet.
func (f *Follower) readSourceFloor(parent context.Context, first bool) bool {
	ctx, cancel := context.WithTimeout(parent, sourceTimeout)
	defer cancel()
	began := time.Now()
	next, err := f.cfg.Source.Current(ctx)
	if err != nil {
		if first { // log only the first failure of a series
			f.cfg.Log.Log(event.HeadReadFailed, zap.Error(err))
		}
		return false
	}
	if next == nil {
		return f.awaitFirstVersion(parent)
	}
	return f.recordFloor(parent, next, began)
}

// awaitFirstVersion waits for the first configuration of a deployment and reports whether it has
// arrived. The next read reports an error of this wait.
func (f *Follower) awaitFirstVersion(parent context.Context) bool {
	ctx, cancel := context.WithTimeout(parent, feedWait+sourceTimeout)
	defer cancel()
	began := time.Now()
	next, err := f.cfg.Source.NewFeed().Next(ctx, feedWait)
	if err != nil || next == nil {
		return false
	}
	return f.recordFloor(parent, next, began)
}

// recordFloor takes the version floor from a read of the source that began at the given time, and reports
// whether that is possible. A restored source may have an older version than that in force.
func (f *Follower) recordFloor(ctx context.Context, next *snapshot.Snapshot, began time.Time) bool {
	before, ok := f.restoredFloor(ctx)
	if !ok {
		return false
	}
	floor := max(next.Version, before)
	f.floor.AddPlatform(floor)
	f.cfg.Log.Log(event.VersionFloorKnown, zap.Uint64("floor", uint64(floor)), zap.Bool("exact", true))
	f.confirmRead(next, began)
	return true
}

// queryMembers queries members until one of them gives a floor or exact is closed.
func (f *Follower) queryMembers(ctx context.Context, exact <-chan struct{}) {
	for ctx.Err() == nil {
		best := f.queryFloor(ctx)
		if floor, known := f.floor.Value(); known && floor > 0 {
			f.cfg.Log.Log(event.VersionFloorKnown, zap.Uint64("floor", uint64(floor)), zap.Bool("exact", f.floor.Exact()))
			if best.version > f.cfg.Store.Version() {
				_ = f.pullFrom(ctx, best.addr) // on failure, a poll or a pull delivers it
			}
			return
		}
		select {
		case <-exact:
			return
		case <-ctx.Done():
		case <-time.After(memberQueryDelay):
		}
	}
}
