package sync

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/distribution"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/membership"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

const (
	// exchangeTimeout bounds a full exchange, some megabytes at the target.
	exchangeTimeout = 10 * time.Second
	// questionTimeout bounds a short question to a daemon.
	questionTimeout = time.Second
	// repairInterval separates two anti-entropy exchanges.
	repairInterval = 10 * time.Second
	// busyRepairInterval replaces repairInterval while more than busyPending updates wait to be
	// sent with the probes, or after an exchange that changed more than busyChanges records, as
	// after a mass restart or a partition: a probe carries about 7 records.
	busyRepairInterval = time.Second
	busyPending        = 16
	busyChanges        = 32
	// floorHolders is the number of lease holders asked for the head after a restart.
	floorHolders = 2
	// maxFirstRound is half the bound of the random number of the first anti-entropy exchange.
	maxFirstRound = 1 << 20
	// floorReadSpread spreads the reads of the head by restarted daemons that reach no lease holder:
	// the whole of them reads less than 1,000 times/s.
	floorReadSpread = time.Millisecond
)

// join runs the full exchange with a seed, or with daemons that a busy seed names, until one
// succeeds. The lease rows of the platform provide more seeds if those of the settings fail. Without
// any seed this daemon is the first one.
func (f *Follower) join(ctx context.Context) {
	backoff := distribution.Backoff{Base: retryBase, Max: retryMax}
	seeds := f.otherSeeds()
	if len(seeds) == 0 {
		seeds = f.leaseSeeds(ctx)
	}
	targets := seeds
	failed := map[string]bool{}
	for failures := 1; len(targets) > 0; failures++ {
		addr := f.pickTarget(targets, failed)
		peers, err := f.exchange(ctx, addr)
		if err == nil {
			break
		}
		failed[addr] = true
		switch {
		case len(peers) > 0:
			targets = peers
		case failures%seedFailures == 0:
			targets = slices.Concat(seeds, f.leaseSeeds(ctx))
		default:
			targets = seeds
		}
		f.cfg.Log.Log(event.PeerJoinFailed, zap.String("seed", addr), zap.Error(err))
		if !pause(ctx, f.retryPause(&backoff, err)) {
			return
		}
	}
	f.cfg.Log.Log(event.PeerJoined, zap.Int("records", len(f.cfg.Members.View().Records)))
	close(f.joined)
}

// pickTarget returns a random target that has not failed since all others have. A daemon of a partitioned
// failure domain would otherwise ask unreachable seeds again, one second each, before a reachable one.
func (f *Follower) pickTarget(targets []string, failed map[string]bool) string {
	fresh := slices.DeleteFunc(slices.Clone(targets), func(addr string) bool { return failed[addr] })
	if len(fresh) == 0 {
		clear(failed)
		fresh = targets
	}
	return fresh[f.random(int64(len(fresh)))]
}

// exchange sends the own record and takes over all records of the peer. A busy peer names others.
func (f *Follower) exchange(ctx context.Context, addr string) (peers []string, err error) {
	var own []membership.Entry
	f.cfg.Members.Do(func(_ time.Time, s *membership.State) {
		own = []membership.Entry{{Record: s.Local()}}
	})
	var args ExchangeArgs
	if args.Entries, err = f.entries.encode(own); err != nil {
		return nil, err
	}
	var reply ExchangeReply
	if err := callOnce(ctx, f.dial, addr, exchangeTimeout, "Exchange", args, &reply); err != nil {
		return nil, err
	}
	if reply.RetryAfter > 0 {
		return reply.Peers, &busyError{reply.RetryAfter}
	}
	entries, err := f.entries.decode(reply.Entries)
	if err != nil {
		return nil, err
	}
	f.cfg.Members.Do(func(now time.Time, s *membership.State) {
		s.Merge(now, entries)
		s.RaiseHighest(reply.Highest)
	})
	return nil, nil
}

// answer is the highest version known to one member.
type answer struct {
	addr    string
	version snapshot.Version
}

// determineFloor asks the platform and some members until anybody answers.
func (f *Follower) determineFloor(ctx context.Context) {
	select {
	case <-f.joined:
	case <-time.After(questionTimeout): // the platform can be asked while the join is retried
	case <-ctx.Done():
		return
	}
	backoff := distribution.Backoff{Base: retryBase, Max: retryMax}
	for {
		best := f.askFloor(ctx)
		if floor, known := f.floor.Value(); known {
			f.cfg.Log.Log(event.VersionFloorKnown, zap.Uint64("floor", uint64(floor)), zap.Bool("exact", f.floor.Exact()))
			if best.version > f.cfg.Store.Version() {
				// A failure is repaired by the tree and by pulls.
				_ = f.pullFrom(ctx, best.addr)
			}
			return
		}
		f.cfg.Log.Log(event.VersionFloorUnknown)
		if !pause(ctx, backoff.Next(f.random)) {
			return
		}
	}
}

// askFloor adds one round of answers to the floor and returns the highest one of a member. The floor
// takes the answers of a round together: with those of the members alone a daemon might serve an older
// version until the platform has answered, and then stop.
func (f *Follower) askFloor(ctx context.Context) answer {
	addrs := f.someMembers(distribution.FloorMembers)
	replies := make([]HighestReply, len(addrs))
	var g errgroup.Group
	for i, addr := range addrs {
		g.Go(func() error {
			// A late answer may still be written to reply after the timeout, so it is copied.
			var reply HighestReply
			if err := callOnce(ctx, f.dial, addr, questionTimeout, "Highest", HighestArgs{}, &reply); err == nil {
				replies[i] = reply
			}
			return nil
		})
	}
	_ = g.Wait() // the functions above return no errors
	var best answer
	var holders []string
	var round distribution.Floor
	for i, reply := range replies {
		round.AddMember(reply.Highest)
		if reply.Highest > best.version {
			best = answer{addrs[i], reply.Highest}
		}
		holders = append(holders, reply.Holders...)
	}
	f.askHead(ctx, &round, holders)
	if floor, known := round.Value(); known {
		f.floor.Add(floor, round.Exact())
	}
	return best
}

// askHead adds the version of the head to a round of answers: from a lease holder that reads it anyway, or
// else from the platform itself, spread out by the number of members.
func (f *Follower) askHead(ctx context.Context, round *distribution.Floor, holders []string) {
	for range min(len(holders), floorHolders) {
		var reply HighestReply
		addr := holders[f.random(int64(len(holders)))]
		err := callOnce(ctx, f.dial, addr, 2*questionTimeout, "Highest", HighestArgs{Fresh: true}, &reply)
		if err == nil && reply.Fresh {
			round.AddPlatform(reply.Head)
			return
		}
	}
	if f.cfg.Platform == nil {
		return
	}
	spread := int64(len(f.cfg.Members.View().Records)) * int64(floorReadSpread)
	if !pause(ctx, time.Duration(f.random(spread))) {
		return
	}
	if head, err := f.head(ctx); err == nil {
		round.AddPlatform(head.Version)
	}
}

// someMembers returns the addresses of up to n random members, or of seeds if no member is known.
// At least half of them are in the own domain if it has enough, as the others may be cut off.
func (f *Follower) someMembers(n int) []string {
	own := f.shuffle(f.reachable(true))
	addrs := own[:min(len(own), n/2)]
	for _, addr := range f.shuffle(f.reachable(false)) {
		if len(addrs) < n && !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	if len(addrs) == 0 {
		addrs = f.shuffle(f.otherSeeds())
	}
	return addrs[:min(len(addrs), n)]
}

func (f *Follower) shuffle(list []string) []string {
	for i := len(list) - 1; i > 0; i-- {
		j := int(f.random(int64(i + 1)))
		list[i], list[j] = list[j], list[i]
	}
	return list
}

// reachable returns the addresses of the other members in reachable domains, or only in the own
// one, in a fixed order.
func (f *Follower) reachable(ownOnly bool) []string {
	view := f.cfg.Members.View()
	var addrs []string
	for id, r := range view.Records {
		if id != f.cfg.Self.Instance && !view.Unreachable[r.Domain] && (!ownOnly || r.Domain == f.cfg.Self.Domain) {
			addrs = append(addrs, r.RPCAddr)
		}
	}
	slices.Sort(addrs)
	return addrs
}

// countReachable returns the number of members in reachable domains.
func (f *Follower) countReachable() (n int) {
	view := f.cfg.Members.View()
	for _, r := range view.Records {
		if !view.Unreachable[r.Domain] {
			n++
		}
	}
	return n
}

// repair compares the records with those of a random member at intervals, in turn inside and
// outside the own domain. The first exchange follows soon after the start, as it also brings the
// lease holders.
func (f *Follower) repair(ctx context.Context) {
	var due time.Time
	// Daemons that start together begin at different rounds, so that they ask the seeds in turn. The
	// first one is odd, as it also brings the lease holders of the own domain.
	for round := 1 + 2*int(f.random(maxFirstRound)); pause(ctx, f.jitter(busyRepairInterval)); {
		if time.Now().Before(due) && !f.recordsBusy() {
			continue
		}
		due = time.Now().Add(f.jitter(repairInterval))
		addr, ok := f.repairPeer(round)
		round++
		if !ok {
			continue
		}
		changed, err := f.repairWith(ctx, addr)
		if err != nil {
			f.cfg.Log.Log(event.PeerRepairFailed, zap.String("peer", addr), zap.Error(err))
		}
		if changed > busyChanges {
			due = time.Time{}
		}
	}
}

// recordsBusy reports whether there are more changes of records than the probes can carry.
func (f *Follower) recordsBusy() (busy bool) {
	f.cfg.Members.Do(func(_ time.Time, s *membership.State) { busy = s.Pending() > busyPending })
	return busy
}

// repairPeer returns the address of the daemon for an exchange.
func (f *Follower) repairPeer(round int) (string, bool) {
	seeds := f.otherSeeds()
	if len(seeds) == 0 || round%distribution.SeedPeriod(f.countReachable(), len(seeds)) != 0 {
		var peer endpoint.Record
		var ok bool
		f.cfg.Members.Do(func(_ time.Time, s *membership.State) {
			if peer, ok = s.RandomPeer(round%2 == 1, f.random); !ok {
				peer, ok = s.RandomPeer(false, f.random)
			}
		})
		if ok {
			return peer.RPCAddr, true
		}
	}
	if len(seeds) == 0 {
		return "", false
	}
	return seeds[f.random(int64(len(seeds)))], true
}

// repairWith exchanges the differing records with one member and returns the number of changes.
func (f *Follower) repairWith(ctx context.Context, addr string) (int, error) {
	s, err := open(ctx, f.dial, addr)
	if err != nil {
		return 0, err
	}
	defer s.close()
	args := DigestArgs{Domain: f.cfg.Self.Domain}
	f.cfg.Members.Do(func(_ time.Time, m *membership.State) {
		args.Digests, args.Holders = m.Digests(), m.Holders()
	})
	var reply DigestReply
	if err := s.call(ctx, questionTimeout, "Digests", args, &reply); err != nil {
		return 0, err
	}
	f.cfg.Members.Do(func(_ time.Time, m *membership.State) {
		for _, h := range reply.Holders {
			m.SetHolder(h)
		}
	})
	changed := 0
	for domain, theirs := range reply.Buckets {
		n, err := f.repairDomain(ctx, s, domain, theirs)
		changed += n
		if err != nil {
			return changed, errors.Wrapf(err, "domain %s", domain)
		}
	}
	return changed, nil
}

func (f *Follower) repairDomain(ctx context.Context, s *session, domain string, theirs []uint64) (int, error) {
	args := BucketArgs{Domain: domain}
	var own []membership.Entry
	f.cfg.Members.Do(func(_ time.Time, m *membership.State) {
		ours := m.BucketDigests(domain)
		if ours == nil {
			ours = make([]uint64, membership.DigestBuckets)
		}
		for b := range min(len(ours), len(theirs)) {
			if ours[b] != theirs[b] {
				args.Buckets = append(args.Buckets, b)
			}
		}
		own = m.Entries(domain, args.Buckets)
	})
	var err error
	if args.Entries, err = f.entries.encode(own); err != nil {
		return 0, err
	}
	var reply BucketReply
	if err := s.call(ctx, exchangeTimeout, "Buckets", args, &reply); err != nil {
		return 0, err
	}
	entries, err := f.entries.decode(reply.Entries)
	if err != nil {
		return 0, err
	}
	changed := 0
	f.cfg.Members.Do(func(now time.Time, m *membership.State) { changed = m.Merge(now, entries) })
	return changed, nil
}
