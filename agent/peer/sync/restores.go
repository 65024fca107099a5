package sync

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/distribution"
	"kingcupwood.example/kingcupwood/pkg/membership"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// Restores tells of restores of the store behind a Source and a Directory from older copies. Each one begins a
// new era and loses what was written after its copy was taken: daemons write their rows again, and a
// configuration that was in force before may be missing.
type Restores interface {
	// Eras returns the era that this process heard of first, the newest one, and a channel that is closed when
	// the latter rises. Both are 0 if the store states none or has not answered yet.
	Eras() (first, newest uint64, changed <-chan struct{})
	// Raise notes an era that another daemon has heard of.
	Raise(era uint64)
	// RecordFloor records that v is in force, unless the store says so in this era or was never restored. It
	// reports whether that took a write.
	RecordFloor(ctx context.Context, v snapshot.Version) (written bool, err error)
	// Floor returns the highest version that RecordFloor has recorded. settled is set if that was in this
	// era or the store was never restored; otherwise a higher version may have been in force.
	Floor(ctx context.Context) (floor snapshot.Version, settled bool, err error)
}

const (
	// rewriteSpread is the time over which the daemons spread what they write again after a restore.
	rewriteSpread = 2 * time.Second
	// eraCheckInterval is the time between two looks at the records of the readers.
	eraCheckInterval = 250 * time.Millisecond
	// restoredFloorTimeout is how long a starting daemon asks members for the floor if the restored store
	// does not have it. Entries that the restore has removed from the directory are back after
	// rewriteSpread.
	restoredFloorTimeout = rewriteSpread + queryTimeout
)

// restoreState is what a Follower knows of restores of the store.
type restoreState struct {
	// rewritten is the newest era in which the rows of this daemon were written again.
	rewritten atomic.Uint64
	// leaving is set when the entry of this daemon is removed from the directory because it stops.
	leaving atomic.Bool
	// rows counts the rows that were written again.
	rows atomic.Uint64
}

// RestoreStatus describes the restores of the store for operators.
type RestoreStatus struct {
	// Era is the newest era known, Rewritten the number of rows that this daemon has written again.
	Era, Rewritten uint64
}

// RestoreStatus returns what this daemon knows of restores of the store.
func (f *Follower) RestoreStatus() RestoreStatus {
	if f.cfg.Restores == nil {
		return RestoreStatus{}
	}
	_, newest, _ := f.cfg.Restores.Eras()
	return RestoreStatus{Era: newest, Rewritten: f.restores.rows.Load()}
}

// RestorePending reports whether the store was restored and this daemon has not written its rows again yet.
func (f *Follower) RestorePending() bool {
	if f.cfg.Restores == nil {
		return false
	}
	first, newest, _ := f.cfg.Restores.Eras()
	return newest > max(first, f.restores.rewritten.Load())
}

// followRestores writes the rows of this daemon again after each restore of the store.
func (f *Follower) followRestores(ctx context.Context) {
	if f.cfg.Restores == nil {
		return
	}
	for ctx.Err() == nil {
		f.hearOfEras()
		if f.RestorePending() {
			_, era, _ := f.cfg.Restores.Eras()
			f.rewrite(ctx, era)
			continue
		}
		_, _, changed := f.cfg.Restores.Eras()
		select {
		case <-changed:
		case <-time.After(eraCheckInterval):
		case <-ctx.Done():
		}
	}
}

// hearOfEras takes over the era in the records of the readers of the local failure domain. Other members do
// not publish one, so that a restore does not change the records of all. The answers to polls bring it within
// a second; the records reach daemons whose parents do not answer or are of an earlier release.
func (f *Follower) hearOfEras() {
	p := f.cachedPosition.Load() // readSource keeps it up to date
	if p == nil {
		return
	}
	view := f.cfg.Members.View()
	for _, id := range p.holders {
		if era := view.Records[id].StoreEra; era > 0 {
			f.cfg.Restores.Raise(era)
		}
	}
}

// rewrite writes the rows of this daemon again in an era.
func (f *Follower) rewrite(ctx context.Context, era uint64) {
	delay := time.Duration(f.random(int64(rewriteSpread)))
	f.cfg.Log.Log(event.StoreRestored, zap.Uint64("era", era), zap.Duration("rewritten_after", delay))
	began := time.Now()
	rows := 0
	if f.cfg.OnRestore != nil {
		rows = f.cfg.OnRestore(ctx, delay)
	}
	pause(ctx, delay-time.Since(began))
	if f.cfg.Directory != nil && f.rewriteEntry(ctx) {
		rows++
	}
	if ctx.Err() != nil {
		return
	}
	f.restores.rows.Add(uint64(rows))
	f.restores.rewritten.Store(era)
	f.cfg.Log.Log(event.RowsRewritten, zap.Uint64("era", era), zap.Int("rows", rows))
}

// rewriteEntry registers this daemon again until that succeeds, ctx ends or this daemon leaves the directory,
// and reports whether it is registered.
func (f *Follower) rewriteEntry(ctx context.Context) bool {
	backoff := distribution.Backoff{Base: retryBase, Max: retryMax}
	for failed := false; ctx.Err() == nil && !f.restores.leaving.Load(); failed = true {
		limit, cancel := context.WithTimeout(ctx, sourceTimeout)
		err := f.cfg.Directory.Register(limit, f.cfg.Self.Instance, HolderName(f.cfg.Self))
		cancel()
		if err == nil {
			return true
		}
		if !failed { // log only the first failure of a series
			f.cfg.Log.Log(event.RewriteFailed, zap.Error(err))
		}
		pause(ctx, backoff.Next(f.random))
	}
	return false
}

// afterSourceRead publishes the era of the store in the record of this daemon, which is a reader, and records
// the version floor if it is the first reader of its failure domain.
func (f *Follower) afterSourceRead(ctx context.Context) {
	if f.cfg.Restores == nil {
		return
	}
	_, era, _ := f.cfg.Restores.Eras()
	f.cfg.Members.Do(func(now time.Time, s *membership.State) {
		if r := s.Local(); r.StoreEra < era {
			r.StoreEra = era
			s.SetLocal(now, r)
		}
	})
	version := f.cfg.Store.Version()
	if version == 0 || f.position().holders[0] != f.cfg.Self.Instance {
		return
	}
	limit, cancel := context.WithTimeout(ctx, sourceTimeout)
	defer cancel()
	written, err := f.cfg.Restores.RecordFloor(limit, version)
	switch {
	case err != nil && ctx.Err() == nil:
		f.logFailedQuestion(ctx, originSource, err)
	case written:
		f.restores.rows.Add(1)
		f.cfg.Log.Log(event.FloorRecorded, zap.Uint64("era", era), zap.Uint64("version", uint64(version)))
	}
}

// restoredFloor returns the version floor that a starting daemon must keep beside the version that the source
// has: that of before the last restore. It asks members if the store does not have it. ok is false if the
// store does not answer.
func (f *Follower) restoredFloor(ctx context.Context) (floor snapshot.Version, ok bool) {
	if f.cfg.Restores == nil {
		return 0, true
	}
	limit, cancel := context.WithTimeout(ctx, sourceTimeout)
	defer cancel()
	floor, settled, err := f.cfg.Restores.Floor(limit)
	if err != nil {
		f.logFailedQuestion(ctx, originSource, err)
		return 0, false
	}
	if !settled {
		f.cfg.Log.Log(event.FloorLost, zap.Uint64("floor", uint64(floor)))
		floor = max(floor, f.askMembersForFloor(ctx))
	}
	return floor, true
}

// askMembersForFloor returns the highest version that members know, 0 if none tells one in time.
func (f *Follower) askMembersForFloor(parent context.Context) snapshot.Version {
	ctx, cancel := context.WithTimeout(parent, restoredFloorTimeout)
	defer cancel()
	select {
	case <-f.joined:
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		best := f.queryFloor(ctx)
		if best.version > 0 {
			if best.version > f.cfg.Store.Version() {
				_ = f.pullFrom(ctx, best.addr) // on failure, a poll or a pull delivers it
			}
			return best.version
		}
		pause(ctx, readyCheckInterval)
	}
	return 0
}
