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

// Source gives complete configurations that are written elsewhere. It takes the place of Platform. Reading
// needs no lease: two readers too many cost a few reads, and a reader that was paused learns from the
// version that what it has read is old.
type Source interface {
	// Current returns the newest configuration, nil if there is none yet. It fails if the newest one
	// cannot be used, in whole.
	Current(ctx context.Context) (*snapshot.Snapshot, error)
	// Changed waits until the configuration may have changed since the last call of Current, or until
	// the source has been silent for some seconds without a change, which is no error.
	Changed(ctx context.Context) (bool, error)
}

const (
	// readPause separates two reads of the source. In a storm of changes it bounds the reads of a
	// reader to 4 a second, well within the time in which a change must be in force.
	readPause = 250 * time.Millisecond
	// sourceTimeout bounds one read of the source.
	sourceTimeout = time.Second
	// readerCheck separates two looks of a daemon whether it is a reader.
	readerCheck = 250 * time.Millisecond
	// startCheck separates two looks of a starting daemon whether it has a version.
	startCheck = 50 * time.Millisecond
	// awayAfter is the number of failed reads in a row after which a reader tells the others that it
	// does not reach the source.
	awayAfter = 2
	// firstWait bounds the wait for the first configuration of a deployment before another look.
	firstWait = 10 * time.Second
	// memberHeadStart is how long the members' answers wait for that of the source when a daemon
	// starts. An answer of the source is exact and usually arrives in some milliseconds.
	memberHeadStart = 400 * time.Millisecond
)

// readSource reads the source while this daemon is a reader of its failure domain.
func (f *Follower) readSource(ctx context.Context) {
	if !f.awaitStart(ctx) {
		return
	}
	failures := 0
	backoff := distribution.Backoff{Base: retryBase, Max: retryMax}
	read := false // whether the last read is known to be the newest
	for ctx.Err() == nil {
		if !f.isReader() {
			read = false
			f.leading.Store(false)
			pause(ctx, readerCheck)
			continue
		}
		f.leading.Store(true)
		err := f.readOnce(ctx, read)
		read = err == nil
		if err == nil {
			if failures >= awayAfter {
				f.cfg.Log.Log(event.SourceRegained, zap.Int("failed_reads", failures))
			}
			failures = 0
			backoff.Reset()
			f.setSourceAway(false)
			pause(ctx, readPause)
			continue
		}
		if failures++; failures == awayAfter {
			f.cfg.Log.Log(event.SourceLost, zap.Error(err))
			f.setSourceAway(true)
		}
		pause(ctx, backoff.Next(f.random))
	}
}

// awaitStart waits until this daemon has a version and knows others, because alone it would take itself for a
// reader. It does not wait for others for longer than joinGrace.
func (f *Follower) awaitStart(ctx context.Context) bool {
	for !f.Ready() {
		if !pause(ctx, startCheck) {
			return false
		}
	}
	select {
	case <-f.joined:
	case <-time.After(joinGrace):
	case <-ctx.Done():
	}
	// The records of an exchange are in the view after the next publication.
	return pause(ctx, membership.PublishInterval)
}

// readOnce waits for a change, unless nothing is known yet, and puts the newest version in force.
func (f *Follower) readOnce(ctx context.Context, read bool) error {
	if read {
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
	// The follower logs a refusal; the next version replaces the refused one.
	_ = f.take(next, sourceName)
	return nil
}

// sourceName is the source of a version that this daemon has read itself.
const sourceName = "source"

// take puts next in force if it is above the version in force, and tells others.
func (f *Follower) take(next *snapshot.Snapshot, source string) error {
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
		if err = f.apply(d, source); err != ErrBaseMismatch {
			return err
		}
	}
}

// isReader reports whether this daemon reads the source for its failure domain.
func (f *Follower) isReader() bool { return f.position().holds(f.cfg.Self.Instance) }

// readers returns the daemons that read the source for the own failure domain: of those that reach it, the
// ones with the lowest hashes. If none is known to reach it, every daemon tries.
func (f *Follower) readers(members *endpoint.Members, view *endpoint.View) [membership.MaxHolders]endpoint.InstanceID {
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

func (f *Follower) setSourceAway(away bool) {
	f.cfg.Members.Do(func(now time.Time, s *membership.State) {
		if r := s.Local(); r.SourceAway != away {
			r.SourceAway = away
			s.SetLocal(now, r)
		}
	})
}

// startFromSource asks the source and, if that does not answer at once, some members, until anybody
// answers. It replaces determineFloor.
func (f *Follower) startFromSource(ctx context.Context) {
	backoff := distribution.Backoff{Base: retryBase, Max: retryMax}
	exact := make(chan struct{})
	go func() {
		defer close(exact)
		for first := true; ctx.Err() == nil && !f.readFloor(ctx, first); first = false {
			pause(ctx, backoff.Next(f.random))
		}
	}()
	defer func() { <-exact }()
	select {
	case <-exact:
		return
	case <-time.After(memberHeadStart):
	case <-ctx.Done():
		return
	}
	f.floorFromMembers(ctx, exact)
}

// readFloor reads the source once and reports whether it answered. first tells that no read has failed yet.
func (f *Follower) readFloor(parent context.Context, first bool) bool {
	ctx, cancel := context.WithTimeout(parent, sourceTimeout)
	defer cancel()
	next, err := f.cfg.Source.Current(ctx)
	if err != nil {
		if first { // the others of a series would say the same
			f.cfg.Log.Log(event.HeadReadFailed, zap.Error(err))
		}
		return false
	}
	if next == nil {
		// A deployment starts with its first configuration. A failure shows in the next read.
		wait, cancel := context.WithTimeout(parent, firstWait)
		defer cancel()
		_, _ = f.cfg.Source.Changed(wait)
		return false
	}
	f.floor.AddPlatform(next.Version)
	f.cfg.Log.Log(event.VersionFloorKnown, zap.Uint64("floor", uint64(next.Version)), zap.Bool("exact", true))
	_ = f.take(next, sourceName)
	return true
}

// floorFromMembers asks members until one answers or exact is closed.
func (f *Follower) floorFromMembers(ctx context.Context, exact <-chan struct{}) {
	for ctx.Err() == nil {
		best := f.askFloor(ctx)
		if floor, known := f.floor.Value(); known && floor > 0 {
			f.cfg.Log.Log(event.VersionFloorKnown, zap.Uint64("floor", uint64(floor)), zap.Bool("exact", f.floor.Exact()))
			if best.version > f.cfg.Store.Version() {
				_ = f.pullFrom(ctx, best.addr) // a failure is repaired by the tree and by pulls
			}
			return
		}
		select {
		case <-exact:
			return
		case <-ctx.Done():
		case <-time.After(memberHeadStart):
		}
	}
}
