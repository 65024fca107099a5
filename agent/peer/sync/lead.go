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
	// headInterval separates two reads of the head in a domain. Its holders read in turn, each every
	// 2 s, and give one another what they find; a holder without another one reads every time. A
	// signed read is 0.9 kB of the 3 kB/s of a daemon. Most versions arrive sooner, from the daemon
	// that accepted them.
	headInterval = time.Second
	// minHeadInterval separates reads made for a daemon that asks for its version floor: 19 domains x
	// 2 holders x 4 = 152 reads/s of the 2,000 that the platform provides.
	minHeadInterval = 250 * time.Millisecond
	// leaseTTL is the lifetime of a lease. It must leave time within the 5 s for another daemon to
	// take over and read the head, if both holders die.
	leaseTTL = 3 * time.Second
	// renewInterval leaves another attempt before a lease expires.
	renewInterval = 1250 * time.Millisecond
	// acquireInterval separates two attempts of one candidate, with jitter 1.25 s on average. At the
	// target that is 19 domains x 4 candidates / 1.25 s = 61 writes/s, plus 30 renewals/s, of the
	// several hundred that the platform provides.
	acquireInterval = time.Second
	// leaseCandidates is the number of daemons of a domain besides the holders that try for a lease.
	leaseCandidates = 4
	// platformTimeout bounds one request to the platform.
	platformTimeout = time.Second
	// joinGrace is how long a daemon that cannot join waits before it tries for a lease.
	joinGrace = 5 * time.Second
	// refusedPause is how long a refused version is not fetched again.
	refusedPause = 2 * time.Second
	// objectRate (reads/s) and objectBurst limit the object reads of one daemon: 38 lease holders
	// that start without peers stay below the 2,000 reads/s of the platform, with their reads of
	// the head. A change needs one object.
	objectRate  = 40
	objectBurst = 64
	// bulkObjects is the number of missing objects above which peers are asked first.
	bulkObjects = 16
	// bulkPeers is the number of peers asked.
	bulkPeers = 3
	// objectFetches bounds the concurrent object reads of one daemon.
	objectFetches = 8
)

// LeaseName returns the name of a lease of a failure domain.
func LeaseName(domain string, slot int) string { return fmt.Sprintf("lease/%s/%d", domain, slot) }

// lead tries for a lease of the own domain and reads the head while it holds one.
func (f *Follower) lead(ctx context.Context) {
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
		if lease, slot, start, ok := f.acquire(ctx); ok {
			f.hold(ctx, lease, slot, start)
			continue
		}
		pause(ctx, f.jitter(acquireInterval))
	}
}

// acquire tries for one of the leases if this daemon is a candidate. start is the time before the
// request, from which the lifetime of the lease counts.
func (f *Follower) acquire(ctx context.Context) (lease Lease, slot int, start time.Time, ok bool) {
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

// hold renews the lease and reads the head until the lease is lost. A daemon that was paused past
// the lifetime of the lease stops by its own clock; what it reads late is ignored by version.
func (f *Follower) hold(ctx context.Context, lease Lease, slot int, start time.Time) {
	f.leading.Store(true)
	defer f.leading.Store(false)
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
	err := f.renew(ctx, lease, start)
	if ctx.Err() == nil {
		f.cfg.Log.Log(event.DomainLeaseLost, zap.String("lease", lease.Name), zap.Error(err))
	}
}

// renew returns when the lease has expired without a renewal or ctx is done.
func (f *Follower) renew(ctx context.Context, lease Lease, start time.Time) error {
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
			if err := f.fetch(ctx, head); err != nil && ctx.Err() == nil {
				refused, refusedUntil = head, time.Now().Add(refusedPause)
			}
		}
		f.awaitRead(ctx, slot)
	}
}

// awaitRead waits until the turn of slot, or until a daemon asks for a fresh head.
func (f *Follower) awaitRead(ctx context.Context, slot int) {
	if !pause(ctx, minHeadInterval) {
		return
	}
	turn := time.NewTimer(f.untilTurn(time.Now(), slot))
	defer turn.Stop()
	select {
	case <-ctx.Done():
	case <-turn.C:
	case <-f.headWanted:
	}
}

// untilTurn returns the time from now to the next read of the head by the holder of slot. It reads out
// of turn as long as no other holder is alive.
func (f *Follower) untilTurn(now time.Time, slot int) time.Duration {
	phase, interval := time.Duration(slot)*headInterval, membership.MaxHolders*headInterval
	if len(f.otherHolders()) == 0 {
		interval = headInterval
	}
	return now.Add(-phase).Truncate(interval).Add(interval + phase).Sub(now)
}

// freshHead returns the version of the head from a read that starts after the call. All daemons that
// ask meanwhile share one read, so a mass restart can ask for exact floors. It returns false if this daemon does not lead or the read fails.
func (f *Follower) freshHead(ctx context.Context) (snapshot.Version, bool) {
	if !f.leading.Load() {
		return 0, false
	}
	w := make(chan snapshot.Version, 1)
	f.mu.Lock()
	f.headWaiters = append(f.headWaiters, w)
	f.mu.Unlock()
	select {
	case f.headWanted <- struct{}{}:
	default: // the next read is due already
	}
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
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

// fetch reads the manifest and the missing objects of head and puts the version in force. An error
// means that the content was refused; failed reads are retried with the next read of the head.
func (f *Follower) fetch(ctx context.Context, head Head) error {
	callCtx, cancel := context.WithTimeout(ctx, platformTimeout)
	m, err := f.cfg.Platform.Manifest(callCtx, head.Manifest)
	cancel()
	if err != nil {
		f.cfg.Log.Log(event.HeadReadFailed, zap.Error(err))
		return nil
	}
	if m.Version != head.Version {
		err := errors.Errorf("manifest is of version %d", m.Version)
		f.refuse(head.Version, "platform", err)
		return err
	}
	for f.cfg.Store.Version() < head.Version {
		d := distribution.FromManifest(f.cfg.Store.Load(), m, head.Manifest)
		if len(d.Changed) > bulkObjects && f.pullAny(ctx) {
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
		// Another version may have arrived from a peer while the objects were read.
		if err := f.apply(d, "platform"); !errors.Is(err, ErrBaseMismatch) {
			return err
		}
	}
	return nil
}

// pullAny pulls from a few random peers, so that a daemon which lacks most of the configuration
// spares the platform. It reports whether a higher version is in force now.
func (f *Follower) pullAny(ctx context.Context) bool {
	have := f.cfg.Store.Version()
	for _, addr := range f.someMembers(bulkPeers) {
		if f.pullFrom(ctx, addr) == nil && f.cfg.Store.Version() > have {
			return true
		}
	}
	return false
}

// errSuperseded tells that a peer gave this daemon a version while it read objects.
var errSuperseded = errors.New("a version arrived from a peer")

// fetchObjects reads the objects of d. It returns errSuperseded as soon as another version is in
// force: all objects take 35 s at objectRate, and most of them are not needed any more then.
func (f *Follower) fetchObjects(ctx context.Context, d *snapshot.Delta) error {
	have := f.cfg.Store.Version()
	d.Objects = make([][]byte, len(d.Changed))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(objectFetches)
	for i, e := range d.Changed {
		g.Go(func() error {
			if err := f.objects.Wait(ctx); err != nil {
				return errors.Wrap(err, "object reads are limited")
			}
			if f.cfg.Store.Version() != have {
				return errSuperseded
			}
			ctx, cancel := context.WithTimeout(ctx, platformTimeout)
			defer cancel()
			data, err := f.cfg.Platform.Object(ctx, e.Hash)
			d.Objects[i] = data
			return errors.Wrapf(err, "object of service %s", e.Service)
		})
	}
	return g.Wait()
}
