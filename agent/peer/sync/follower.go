package sync

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/distribution"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/membership"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// maxRefusals is the number of refusals kept for Status.
const maxRefusals = 16

// Head is the current version according to the platform.
type Head struct {
	Version  snapshot.Version
	Manifest snapshot.Hash
}

// Lease is a lease of the platform's table.
type Lease struct {
	Name   string
	Holder string
	// Token is the fencing token; it grows with each change of holder.
	Token uint64
}

// Platform is the part of the platform API that a Follower uses.
type Platform interface {
	// Head returns the current version with a consistent read.
	Head(ctx context.Context) (Head, error)
	Manifest(ctx context.Context, h snapshot.Hash) (*snapshot.Manifest, error)
	Object(ctx context.Context, h snapshot.Hash) ([]byte, error)
	// AcquireLease returns an error if another holder has the lease.
	AcquireLease(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error)
	// RenewLease extends a lease and returns an error if it is no longer held.
	RenewLease(ctx context.Context, l Lease, ttl time.Duration) (Lease, error)
}

// Config is the configuration of a Follower.
type Config struct {
	// Self is the record of this instance; identity, domain and RPCAddr are used.
	Self endpoint.Record
	// Seeds are the net/rpc addresses of daemons to join.
	Seeds   []string
	Members Members
	Store   *Store
	// Platform may be nil if there is none.
	Platform Platform
	// Source replaces Platform if configurations are maintained elsewhere as a whole; it may be
	// nil.
	Source Source
	// Directory replaces Seeds if daemons discover each other through the platform; it may be nil.
	Directory Directory
	// Restores tells of restores of the store of Source and Directory; nil if it never is restored.
	Restores Restores
	// OnRestore is called after a restore of that store. It writes what else this daemon keeps there again,
	// within delay or until it succeeds or ctx ends, and returns the number of rows; it may be nil.
	OnRestore func(ctx context.Context, delay time.Duration) (rows int)
	Dial      Dialer
	Log       *event.Logger
	// ApplyTime is the time within which a change of Source must be in force on all daemons that
	// reach it; defaultApplyTime if it is 0.
	ApplyTime time.Duration
	// OnApply is called with each version after it was put in force, in order of version; it may be
	// nil.
	OnApply func(*snapshot.Snapshot)
	// Seed seeds the jitter of the timers.
	Seed uint64
}

// Refusal is a version that this daemon refused to put in force, with the reason.
type Refusal struct {
	Time    time.Time
	Version snapshot.Version
	Source  string
	Reason  string
}

// Follower keeps the snapshot of one daemon up to date.
type Follower struct {
	cfg Config
	// dial is cfg.Dial with a timeout for each write.
	dial    Dialer
	entries entryCodec
	floor   distribution.Floor
	joined  chan struct{}
	// joinOnce guards the closing of joined if a Directory is used.
	joinOnce sync.Once
	// listed is the number of daemons in the last answer of the directory.
	listed atomic.Int64
	// directoryFailing is set if the last call of the Directory failed.
	directoryFailing bool
	// absent holds when entries of the Directory whose daemons are unknown were first seen, by name. Only
	// the goroutine of useDirectory uses it.
	absent map[string]time.Time
	// skippedLog limits the log lines about entries that name no daemon.
	skippedLog rate.Sometimes
	// isLeading is set while this daemon holds a lease and reads the head, or is a reader of the
	// source.
	isLeading atomic.Bool

	// cachedPosition caches the result of position.
	cachedPosition atomic.Pointer[treePosition]

	// restores is used with Restores only.
	restores restoreState

	// answers records when the source and the parents last answered.
	answers answers
	// confirmed tracks the age of the knowledge of the newest version; it is used with Source only.
	confirmed *confirmation

	// objects limits the reads of the object store.
	objects *rate.Limiter

	// mu guards rng, refusals and headWaiters.
	mu       sync.Mutex
	rng      *rand.Rand
	refusals []Refusal
	// headWaiters receive the version of the next read of the head. They are closed without one if
	// the read fails.
	headWaiters []chan snapshot.Version
	// headRequested wakes the reader of the head when a waiter is added.
	headRequested chan struct{}
	// sourceMu guards sourceFailures, the number of consecutive failed reads of the source, and
	// sourceLost, which is set while this daemon is marked as unable to reach it.
	sourceMu       sync.Mutex
	sourceFailures int
	sourceLost     bool
	// applyMu serializes apply, so that OnApply is called in order of version.
	applyMu sync.Mutex
}

// NewFollower returns a Follower that does nothing until Run.
func NewFollower(cfg Config) *Follower {
	if cfg.ApplyTime == 0 {
		cfg.ApplyTime = defaultApplyTime
	}
	return &Follower{
		confirmed: newConfirmation(), cfg: cfg, dial: withWriteTimeout(cfg.Dial), entries: newEntryCodec(), joined: make(chan struct{}), headRequested: make(chan struct{}, 1), rng: rand.New(rand.NewPCG(cfg.Seed, 1)),
		objects: rate.NewLimiter(objectRate, objectBurst), answers: newAnswers(), skippedLog: rate.Sometimes{Interval: skippedLogInterval}, absent: map[string]time.Time{},
	}
}

// Run joins the membership, determines the version floor and keeps the snapshot up to date until
// ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, loop := range f.loops() {
		g.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	return g.Wait()
}

// loops returns the background tasks of a running Follower.
func (f *Follower) loops() []func(context.Context) {
	join, floor, lead := f.join, f.determineFloor, f.holdLeases
	if f.cfg.Directory != nil {
		join = f.useDirectory
	}
	if f.cfg.Source != nil {
		floor, lead = f.determineFloorFromSource, f.readSource
	}
	return []func(context.Context){join, floor, lead, f.refresh, f.withdrawMark, f.pollParents, f.pull, f.runAntiEntropy, f.followRestores}
}

// Ready reports whether this daemon may serve: it holds a snapshot at or above the version floor.
func (f *Follower) Ready() bool { return f.floor.MayServe(f.cfg.Store.Version()) }

// Floor returns the version floor and whether it is known.
func (f *Follower) Floor() (snapshot.Version, bool) { return f.floor.Value() }

// Leading reports whether this daemon holds a lease of its failure domain, or reads the source for
// it.
func (f *Follower) Leading() bool { return f.isLeading.Load() }

// Joined reports whether this daemon has joined the membership.
func (f *Follower) Joined() bool {
	select {
	case <-f.joined:
		return true
	default:
		return false
	}
}

// ListedDaemons returns the number of daemons in the last answer of the directory, 0 before the
// first one. The directory lists at most a few dozen, so there may be more daemons.
func (f *Follower) ListedDaemons() int { return int(f.listed.Load()) }

// Refusals returns the most recently refused versions, oldest first.
func (f *Follower) Refusals() []Refusal {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.refusals)
}

// Status is the state of the distribution at one daemon, for operators.
type Status struct {
	// Version is the version in force, Highest the highest version known to exist.
	Version, Highest snapshot.Version
	// Floor is the version floor. FloorExact is set if it comes from the platform or the source.
	Floor                  snapshot.Version
	FloorKnown, FloorExact bool
	Ready, Leading         bool
	// Parents lists the daemons to poll for new versions in order of preference.
	Parents     []endpoint.InstanceID
	Unreachable []string
	Refusals    []Refusal
	Source      SourceStatus
}

// Status returns the current state of the distribution.
func (f *Follower) Status() Status {
	s := Status{
		Version: f.cfg.Store.Version(), FloorExact: f.floor.Exact(), Ready: f.Ready(), Leading: f.Leading(),
		Parents: slices.Clone(f.parents()), Refusals: f.Refusals(), Source: f.SourceStatus(),
		Unreachable: slices.Sorted(maps.Keys(f.cfg.Members.View().Unreachable)),
	}
	s.Floor, s.FloorKnown = f.floor.Value()
	f.cfg.Members.Do(func(_ time.Time, m *membership.State) { s.Highest = m.Highest() })
	return s
}

// apply puts d in force, or records the refusal and returns its reason. It returns ErrBaseMismatch
// if a complete delta is needed.
func (f *Follower) apply(d *snapshot.Delta, origin string) error {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	before := f.cfg.Store.Load()
	next, err := f.cfg.Store.Apply(d)
	if errors.Is(err, ErrBaseMismatch) {
		return err
	}
	if err != nil {
		f.recordRefusal(d.Version, origin, err)
		return err
	}
	if next == nil {
		return nil
	}
	f.cfg.Members.Do(func(_ time.Time, s *membership.State) { s.SetVersion(next.Version) })
	f.cfg.Log.Log(event.VersionApplied, zap.Uint64("version", uint64(next.Version)), zap.String("source", origin))
	f.logAccounts(before, next)
	if f.cfg.OnApply != nil {
		f.cfg.OnApply(next)
	}
	return nil
}

// recordRefusal records and logs a refusal. If it repeats the last one, only the time is updated.
func (f *Follower) recordRefusal(v snapshot.Version, origin string, reason error) {
	r := Refusal{Time: time.Now(), Version: v, Source: origin, Reason: reason.Error()}
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.refusals); n > 0 {
		if last := &f.refusals[n-1]; last.Version == v && last.Source == origin && last.Reason == r.Reason {
			last.Time = r.Time
			return
		}
	}
	f.refusals = append(f.refusals, r)
	if len(f.refusals) > maxRefusals {
		f.refusals = slices.Delete(f.refusals, 0, 1)
	}
	f.cfg.Log.Log(event.VersionRefused, zap.Uint64("version", uint64(v)), zap.String("source", origin), zap.Error(reason))
}

// recentlyRefused reports whether v was refused within refusedRetryDelay, so that an invalid
// version is not fetched from each peer in turn.
func (f *Follower) recentlyRefused(now time.Time, v snapshot.Version) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.refusals, func(r Refusal) bool {
		return r.Version == v && now.Sub(r.Time) < refusedRetryDelay
	})
}

// random returns a value in [0, n); it is safe for concurrent use.
func (f *Follower) random(n int64) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Int64N(n)
}

// jitter returns a time between d and 1.5 d.
func (f *Follower) jitter(d time.Duration) time.Duration {
	return d + time.Duration(f.random(int64(d)/2+1))
}

// pause waits for d and reports whether ctx is still live.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
