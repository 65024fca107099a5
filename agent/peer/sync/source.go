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
	// Changed waits until the configuration may have changed since the last call of Current, or
	// until a few seconds have passed without a change, which is not an error.
	Changed(ctx context.Context) (bool, error)
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
	// firstVersionTimeout bounds one wait for the first configuration of a deployment; the source
	// is then read again.
	firstVersionTimeout = 10 * time.Second
	// memberQueryDelay delays the queries to members when a daemon starts. The source gives the
	// exact floor, usually within a few milliseconds.
	memberQueryDelay = 400 * time.Millisecond
)

// readSource reads the source while this daemon is a reader of its failure domain.
func (f *Follower) readSource(ctx context.Context) {
	if !f.awaitReadyAndJoined(ctx) {
		return
	}
	failures := 0
	backoff := distribution.Backoff{Base: retryBase, Max: retryMax}
	lastReadOK := false // whether the last read succeeded, so that waiting for a change is safe
	for ctx.Err() == nil {
		if !f.isReader() {
			lastReadOK = false
			f.isLeading.Store(false)
			pause(ctx, readerCheckInterval)
			continue
		}
		f.isLeading.Store(true)
		err := f.readSourceOnce(ctx, lastReadOK)
		lastReadOK = err == nil
		if err == nil {
			if failures >= sourceLostThreshold {
				f.cfg.Log.Log(event.SourceRegained, append(f.ages(), zap.Int("failed_reads", failures))...)
			}
			answeredNow(&f.answers.source)
			failures = 0
			backoff.Reset()
			f.setSourceUnreachable(false)
			pause(ctx, sourceReadInterval)
			continue
		}
		f.logFailedQuestion(ctx, originSource, err)
		if failures++; failures == sourceLostThreshold {
			f.cfg.Log.Log(event.SourceLost, append(f.ages(), zap.Error(err))...)
			f.setSourceUnreachable(true)
		}
		pause(ctx, backoff.Next(f.random))
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

// readSourceOnce waits for a change if the last read succeeded, and puts the newest version in
// force.
func (f *Follower) readSourceOnce(ctx context.Context, lastReadOK bool) error {
	if lastReadOK {
		changed, err := f.cfg.Source.Changed(ctx)
		if err != nil || !changed {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, sourceTimeout)
	defer cancel()
	next, err := f.cfg.Source.Current(ctx)
	if err != nil {
		return err
	}
	// apply logs a refusal. The next version replaces a refused one.
	_ = f.applySnapshot(next, originSource)
	return nil
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
	next, err := f.cfg.Source.Current(ctx)
	if err != nil {
		if first { // log only the first failure of a series
			f.cfg.Log.Log(event.HeadReadFailed, zap.Error(err))
		}
		return false
	}
	if next == nil {
		// There is no configuration yet. The next read reports an error of this wait.
		wait, cancel := context.WithTimeout(parent, firstVersionTimeout)
		defer cancel()
		_, _ = f.cfg.Source.Changed(wait)
		return false
	}
	f.floor.AddPlatform(next.Version)
	f.cfg.Log.Log(event.VersionFloorKnown, zap.Uint64("floor", uint64(next.Version)), zap.Bool("exact", true))
	_ = f.applySnapshot(next, originSource)
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
