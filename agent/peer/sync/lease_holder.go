package sync

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/distribution"
	"kingcupwood.example/kingcupwood/pkg/membership"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

const (
	// headInterval is the time between two reads of the head in a failure domain. The lease holders
	// alternate, each reading every 2 s, and poll each other for what they find; a sole holder
	// makes all the reads. A signed read takes 0.9 kB of the bandwidth of 3 kB/s of a daemon. Most
	// versions arrive sooner, from the daemon that accepted them.
	headInterval = time.Second
	// minHeadInterval is the minimum time between two reads, including those requested by daemons
	// that determine their version floor. It limits the load to 19 domains x 2 holders x 4 = 152
	// reads/s of the 2,000 reads/s that the platform provides.
	minHeadInterval = 250 * time.Millisecond
	// leaseTTL is the lifetime of a lease. If both holders die, another daemon must acquire the
	// lease and read the head within the 5 s in which a change must be in force.
	leaseTTL = 3 * time.Second
	// renewInterval leaves time for a second attempt before a lease expires.
	renewInterval = 1250 * time.Millisecond
	// acquireInterval is the time between two attempts of one candidate, 1.25 s on average with
	// jitter. At the design size this gives 19 domains x 4 candidates / 1.25 s = 61 writes/s, plus
	// 30 renewals/s, of the several hundred writes/s that the platform provides.
	acquireInterval = time.Second
	// leaseCandidates is the number of daemons of a domain, besides the holders, that try to
	// acquire a lease.
	leaseCandidates = 4
	// platformTimeout bounds one request to the platform.
	platformTimeout = time.Second
	// joinGrace is how long a daemon waits for its join before it tries to acquire a lease.
	joinGrace = 5 * time.Second
	// refusedRetryDelay is the time for which a refused version is not fetched again.
	refusedRetryDelay = 2 * time.Second
	// objectRate (reads/s) and objectBurst limit the object reads of one daemon: 38 lease holders
	// that start without peers, including their reads of the head, stay below the 2,000 reads/s of
	// the platform. A change needs one object.
	objectRate  = 40
	objectBurst = 64
	// bulkFetchThreshold is the number of missing objects above which peers are tried before the
	// platform.
	bulkFetchThreshold = 16
	// bulkFetchPeers is the number of peers tried.
	bulkFetchPeers = 3
	// objectFetches bounds the concurrent object reads of one daemon.
	objectFetches = 8
)

// LeaseName returns the name of a lease of a failure domain.
func LeaseName(domain string, slot int) string { return fmt.Sprintf("lease/%s/%d", domain, slot) }

// holdLeases tries to acquire a lease of the local failure domain and reads the head while it holds
// one.
func (f *Follower) holdLeases(ctx context.Context) {
	if f.cfg.Platform == nil {
		return
	}
	select {
	case <-f.joined:
	case <-time.After(joinGrace):
	case <-ctx.Done():
		return
	}
	for ctx.Err() == nil {
		if lease, slot, start, ok := f.acquireLease(ctx); ok {
			f.holdLease(ctx, lease, slot, start)
			continue
		}
		pause(ctx, f.jitter(acquireInterval))
	}
}

// acquireLease tries to acquire a random one of the leases if this daemon is a candidate. start is
// the time before the request; the lifetime of the lease is counted from it.
func (f *Follower) acquireLease(ctx context.Context) (lease Lease, slot int, start time.Time, ok bool) {
	if !f.isCandidate() {
		return Lease{}, 0, start, false
	}
	slot = int(f.random(membership.MaxHolders))
	start = time.Now()
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	lease, err := f.cfg.Platform.AcquireLease(ctx, LeaseName(f.cfg.Self.Domain, slot), HolderName(f.cfg.Self), leaseTTL)
	return lease, slot, start, err == nil && time.Since(start) < leaseTTL
}

// holdLease renews the lease and reads the head until the lease is lost. A daemon that was paused
// past the lifetime of the lease stops by its own clock; an outdated head that it read is ignored
// because of its version.
func (f *Follower) holdLease(ctx context.Context, lease Lease, slot int, start time.Time) {
	f.isLeading.Store(true)
	defer f.isLeading.Store(false)
	f.cfg.Log.Log(event.DomainLeaseAcquired, zap.String("lease", lease.Name), zap.Uint64("token", lease.Token))
	f.cfg.Members.Do(func(_ time.Time, s *membership.State) {
		s.SetHolder(membership.Holder{Slot: slot, Instance: f.cfg.Self.Instance, Token: lease.Token})
	})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reading := make(chan struct{})
	go func() {
		defer close(reading)
		f.readHead(ctx, slot)
	}()
	defer func() { <-reading }()
	defer cancel()
	err := f.renewLease(ctx, lease, start)
	if ctx.Err() == nil {
		f.cfg.Log.Log(event.DomainLeaseLost, zap.String("lease", lease.Name), zap.Error(err))
	}
}

// renewLease returns when the lease has expired without a renewal or ctx is done.
func (f *Follower) renewLease(ctx context.Context, lease Lease, start time.Time) error {
	var err error
	for pause(ctx, renewInterval) && time.Since(start) < leaseTTL {
		began := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, platformTimeout)
		var renewed Lease
		renewed, err = f.cfg.Platform.RenewLease(callCtx, lease, leaseTTL)
		cancel()
		if err == nil {
			lease, start = renewed, began
		}
	}
	return err
}

// readHead follows the head of the platform for the holder of slot.
func (f *Follower) readHead(ctx context.Context, slot int) {
	var failing bool
	var refused Head
	var refusedUntil time.Time
	for ctx.Err() == nil {
		waiters := f.takeHeadWaiters()
		head, err := f.head(ctx)
		for _, w := range waiters {
			if err == nil {
				w <- head.Version
			}
			close(w)
		}
		if err != nil && !failing && ctx.Err() == nil {
			f.cfg.Log.Log(event.HeadReadFailed, zap.Error(err))
		}
		failing = err != nil
		wait := head == refused && time.Now().Before(refusedUntil)
		if err == nil && head.Version > f.cfg.Store.Version() && !wait {
			if err := f.fetchVersion(ctx, head); err != nil && ctx.Err() == nil {
				refused, refusedUntil = head, time.Now().Add(refusedRetryDelay)
			}
		}
		f.awaitNextRead(ctx, slot)
	}
}

// awaitNextRead waits until the next turn of slot, or until another daemon requests a fresh head.
func (f *Follower) awaitNextRead(ctx context.Context, slot int) {
	if !pause(ctx, minHeadInterval) {
		return
	}
	turn := time.NewTimer(f.untilNextTurn(time.Now(), slot))
	defer turn.Stop()
	select {
	case <-ctx.Done():
	case <-turn.C:
	case <-f.headRequested:
	}
}

// untilNextTurn returns the time from now to the next read of the head by the holder of slot. The
// holder also takes the turns of the other slot while no other holder is alive.
func (f *Follower) untilNextTurn(now time.Time, slot int) time.Duration {
	phase, interval := time.Duration(slot)*headInterval, membership.MaxHolders*headInterval
	if len(f.otherHolders()) == 0 {
		interval = headInterval
	}
	return now.Add(-phase).Truncate(interval).Add(interval + phase).Sub(now)
}

// freshHead returns the version of the head from a read that starts after the call. Concurrent
// requests share one read, so that exact floors stay cheap in a mass restart. It returns false if
// this daemon holds no lease or the read fails.
func (f *Follower) freshHead(ctx context.Context) (snapshot.Version, bool) {
	if !f.isLeading.Load() {
		return 0, false
	}
	w := make(chan snapshot.Version, 1)
	f.mu.Lock()
	f.headWaiters = append(f.headWaiters, w)
	f.mu.Unlock()
	select {
	case f.headRequested <- struct{}{}:
	default: // a read has already been requested
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	select {
	case v, ok := <-w:
		return v, ok
	case <-ctx.Done():
		return 0, false
	}
}

func (f *Follower) takeHeadWaiters() []chan snapshot.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	waiters := f.headWaiters
	f.headWaiters = nil
	return waiters
}

func (f *Follower) head(ctx context.Context) (Head, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	head, err := f.cfg.Platform.Head(ctx)
	if err == nil {
		f.cfg.Members.Do(func(_ time.Time, s *membership.State) { s.RaiseHighest(head.Version) })
	}
	return head, err
}

// fetchVersion reads the manifest and the missing objects of head and puts the version in force. It
// returns an error only if the content was refused; failed reads are retried with the next read of
// the head.
func (f *Follower) fetchVersion(ctx context.Context, head Head) error {
	callCtx, cancel := context.WithTimeout(ctx, platformTimeout)
	m, err := f.cfg.Platform.Manifest(callCtx, head.Manifest)
	cancel()
	if err != nil {
		f.cfg.Log.Log(event.HeadReadFailed, zap.Error(err))
		return nil
	}
	if m.Version != head.Version {
		err := errors.Errorf("manifest has version %d", m.Version)
		f.recordRefusal(head.Version, "platform", err)
		return err
	}
	for f.cfg.Store.Version() < head.Version {
		d := distribution.FromManifest(f.cfg.Store.Load(), m, head.Manifest)
		if len(d.Changed)+len(d.Accounts) > bulkFetchThreshold && f.pullFromAny(ctx) {
			continue
		}
		err := f.fetchObjects(ctx, d)
		if errors.Is(err, errSuperseded) {
			continue
		}
		if err != nil {
			f.cfg.Log.Log(event.HeadReadFailed, zap.Error(err))
			return nil
		}
		// Another version may have been applied while the objects were read.
		if err := f.apply(d, "platform"); !errors.Is(err, ErrBaseMismatch) {
			return err
		}
	}
	return nil
}

// pullFromAny pulls from a few random peers until one provides a higher version, to reduce reads
// from the platform by a daemon that lacks most of the configuration. It reports whether a higher
// version is in force.
func (f *Follower) pullFromAny(ctx context.Context) bool {
	have := f.cfg.Store.Version()
	for _, addr := range f.randomMembers(bulkFetchPeers) {
		if f.pullFrom(ctx, addr) == nil && f.cfg.Store.Version() > have {
			return true
		}
	}
	return false
}

// errSuperseded is returned if a version from a peer was applied while objects were read.
var errSuperseded = errors.New("superseded by a version from a peer")

// fetchObjects reads the objects of d. It returns errSuperseded as soon as another version is in
// force: reading all objects takes 35 s at objectRate, and most of them are then no longer needed.
func (f *Follower) fetchObjects(ctx context.Context, d *snapshot.Delta) error {
	have := f.cfg.Store.Version()
	d.Objects, d.AccountObjects = make([][]byte, len(d.Changed)), make([][]byte, len(d.Accounts))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(objectFetches)
	fetch := func(h snapshot.Hash, into *[]byte, format string, owner any) {
		g.Go(func() error {
			if err := f.objects.Wait(ctx); err != nil {
				return errors.Wrap(err, "wait for the object rate limiter")
			}
			if f.cfg.Store.Version() != have {
				return errSuperseded
			}
			ctx, cancel := context.WithTimeout(ctx, platformTimeout)
			defer cancel()
			data, err := f.cfg.Platform.Object(ctx, h)
			*into = data
			return errors.Wrapf(err, format, owner)
		})
	}
	for i, e := range d.Changed {
		fetch(e.Hash, &d.Objects[i], "object of service %s", e.Service)
	}
	for i, e := range d.Accounts {
		fetch(e.Hash, &d.AccountObjects[i], "object of account group %d", e.Group)
	}
	return g.Wait()
}
