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
	// exchangeTimeout bounds a full exchange, several megabytes at the design size.
	exchangeTimeout = 10 * time.Second
	// queryTimeout bounds a short request to a daemon.
	queryTimeout = time.Second
	// antiEntropyInterval is the time between two anti-entropy exchanges.
	antiEntropyInterval = 10 * time.Second
	// busyAntiEntropyInterval replaces antiEntropyInterval while more than pendingThreshold updates
	// wait to be piggybacked on probes, or after an exchange that changed more than
	// changedThreshold records, as after a mass restart or a partition. A probe carries about 7
	// records.
	busyAntiEntropyInterval = time.Second
	pendingThreshold        = 16
	changedThreshold        = 32
	// floorLeaseHolders is the number of attempts to get the head from a lease holder after a
	// start.
	floorLeaseHolders = 2
	// maxFirstRoundHalf is half the bound of the random number of the first anti-entropy round.
	maxFirstRoundHalf = 1 << 20
	// floorReadSpread times the number of members is the period over which restarted daemons that
	// reach no lease holder spread their reads of the head. Together they make fewer than 1,000
	// reads/s.
	floorReadSpread = time.Millisecond
)

// join tries the full exchange with a seed, or with daemons listed by a busy seed, until one
// succeeds. If the seeds of the settings fail, the lease rows of the platform provide more. Without
// any seed this daemon is the first member.
func (f *Follower) join(ctx context.Context) {
	backoff := distribution.Backoff{Base: retryBase, Max: retryMax}
	seeds := f.otherSeeds()
	if len(seeds) == 0 {
		seeds = f.leaseSeeds(ctx)
	}
	candidates := seeds
	failed := map[string]bool{}
	for failures := 1; len(candidates) > 0; failures++ {
		addr := f.pickJoinAddr(candidates, failed)
		peers, err := f.exchange(ctx, addr)
		if err == nil {
			break
		}
		failed[addr] = true
		switch {
		case len(peers) > 0:
			candidates = peers
		case failures%seedFailureThreshold == 0:
			candidates = slices.Concat(seeds, f.leaseSeeds(ctx))
		default:
			candidates = seeds
		}
		f.cfg.Log.Log(event.PeerJoinFailed, zap.String("seed", addr), zap.Error(err))
		if !pause(ctx, f.retryDelay(&backoff, err)) {
			return
		}
	}
	f.cfg.Log.Log(event.PeerJoined, zap.Int("records", len(f.cfg.Members.View().Records)))
	close(f.joined)
}

// pickJoinAddr returns a random candidate, and one that has failed only after all candidates have.
// A daemon in a partitioned failure domain could otherwise retry unreachable seeds, at one second
// each, before it tries a reachable one.
func (f *Follower) pickJoinAddr(candidates []string, failed map[string]bool) string {
	fresh := slices.DeleteFunc(slices.Clone(candidates), func(addr string) bool { return failed[addr] })
	if len(fresh) == 0 {
		clear(failed)
		fresh = candidates
	}
	return fresh[f.random(int64(len(fresh)))]
}

// exchange sends the local record and merges all records of the peer. If the peer is busy, it
// returns the addresses of other daemons that the peer lists.
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
		return usableAddrs(reply.Peers), &busyError{min(reply.RetryAfter, maxRetryAfter)}
	}
	entries, err := f.decodeEntries(addr, reply.Entries)
	if err != nil {
		return nil, err
	}
	f.cfg.Members.Do(func(now time.Time, s *membership.State) {
		s.Merge(now, entries)
		s.RaiseHighest(reply.Highest)
	})
	return nil, nil
}

// usableAddrs returns the addresses in a redirect to which a connection can be opened.
func usableAddrs(peers []string) []string {
	unusable := func(addr string) bool { return endpoint.CheckAddr(addr) != nil }
	return slices.DeleteFunc(peers[:min(len(peers), redirectPeers)], unusable)
}

// memberVersion is the highest version known to one member.
type memberVersion struct {
	addr    string
	version snapshot.Version
}

// determineFloor determines the version floor from the platform and some members. It retries until
// one of them answers.
func (f *Follower) determineFloor(ctx context.Context) {
	select {
	case <-f.joined:
	case <-time.After(queryTimeout): // the platform can be queried while the join is retried
	case <-ctx.Done():
		return
	}
	backoff := distribution.Backoff{Base: retryBase, Max: retryMax}
	for {
		best := f.queryFloor(ctx)
		if floor, known := f.floor.Value(); known {
			f.cfg.Log.Log(event.VersionFloorKnown, zap.Uint64("floor", uint64(floor)), zap.Bool("exact", f.floor.Exact()))
			if best.version > f.cfg.Store.Version() {
				// After a failure, the poll of the parent or a pull delivers the version.
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

// queryFloor runs one round of queries for the floor and returns the highest answer of a member.
// The answers of a round are added to the floor at once: if those of the members were added first,
// a daemon might serve an older version and stop when the platform answers.
func (f *Follower) queryFloor(ctx context.Context) memberVersion {
	addrs := f.randomMembers(distribution.FloorMembers)
	replies := make([]HighestReply, len(addrs))
	var g errgroup.Group
	for i, addr := range addrs {
		g.Go(func() error {
			// A late answer may be written to reply after the timeout, so replies[i] gets a copy.
			var reply HighestReply
			if err := callOnce(ctx, f.dial, addr, queryTimeout, "Highest", HighestArgs{}, &reply); err == nil {
				replies[i] = reply
			}
			return nil
		})
	}
	_ = g.Wait() // the functions above return no errors
	var best memberVersion
	var holders []string
	var round distribution.Floor
	for i, reply := range replies {
		round.AddMember(reply.Highest)
		if reply.Highest > best.version {
			best = memberVersion{addrs[i], reply.Highest}
		}
		holders = append(holders, reply.Holders...)
	}
	f.queryHead(ctx, &round, holders)
	if floor, known := round.Value(); known {
		f.floor.Add(floor, round.Exact())
	}
	return best
}

// queryHead adds the version of the head to a round of answers. It gets it from a lease holder,
// whose reads are shared, or else from the platform after a random delay that grows with the number
// of members.
func (f *Follower) queryHead(ctx context.Context, round *distribution.Floor, holders []string) {
	for range min(len(holders), floorLeaseHolders) {
		var reply HighestReply
		addr := holders[f.random(int64(len(holders)))]
		err := callOnce(ctx, f.dial, addr, 2*queryTimeout, "Highest", HighestArgs{Fresh: true}, &reply)
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

// randomMembers returns the addresses of up to n random members, or of seeds if no member is known.
// At least half of them are in the local failure domain if it has enough, as the others may be
// partitioned from it.
func (f *Follower) randomMembers(n int) []string {
	own := f.shuffle(f.reachableAddrs(true))
	addrs := own[:min(len(own), n/2)]
	for _, addr := range f.shuffle(f.reachableAddrs(false)) {
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

// reachableAddrs returns the sorted addresses of the other members in reachable domains, or only of
// those in the local domain.
func (f *Follower) reachableAddrs(ownOnly bool) []string {
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

// runAntiEntropy periodically compares the records with those of a random member, alternately
// inside and outside the local domain. The first exchange takes place soon after the start, as it
// also transfers the lease holders.
func (f *Follower) runAntiEntropy(ctx context.Context) {
	var due time.Time
	// Daemons that start together begin with different round numbers, so that they contact the
	// seeds at different times. The first number is odd, which selects the local domain, whose
	// members know its lease holders.
	for round := 1 + 2*int(f.random(maxFirstRoundHalf)); pause(ctx, f.jitter(busyAntiEntropyInterval)); {
		if time.Now().Before(due) && !f.hasUpdateBacklog() {
			continue
		}
		due = time.Now().Add(f.jitter(antiEntropyInterval))
		addr, ok := f.antiEntropyPeer(round)
		round++
		if !ok {
			continue
		}
		changed, err := f.reconcileWith(ctx, addr)
		if err != nil {
			f.cfg.Log.Log(event.AntiEntropyFailed, zap.String("peer", addr), zap.Error(err))
		}
		if changed > changedThreshold {
			due = time.Time{}
		}
	}
}

// hasUpdateBacklog reports whether more updates are pending than the probes can carry soon.
func (f *Follower) hasUpdateBacklog() (busy bool) {
	f.cfg.Members.Do(func(_ time.Time, s *membership.State) { busy = s.Pending() > pendingThreshold })
	return busy
}

// antiEntropyPeer returns the address of the daemon for the exchange of a round: a random member
// or, every few rounds, a seed.
func (f *Follower) antiEntropyPeer(round int) (string, bool) {
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

// reconcileWith exchanges the differing records with one member and returns the number of local
// changes.
func (f *Follower) reconcileWith(ctx context.Context, addr string) (int, error) {
	s, err := openSession(ctx, f.dial, addr)
	if err != nil {
		return 0, err
	}
	defer s.close()
	args := DigestArgs{Domain: f.cfg.Self.Domain}
	f.cfg.Members.Do(func(_ time.Time, m *membership.State) {
		args.Digests, args.Holders = m.Digests(), m.Holders()
	})
	var reply DigestReply
	if err := s.call(ctx, queryTimeout, "Digests", args, &reply); err != nil {
		return 0, err
	}
	f.cfg.Members.Do(func(_ time.Time, m *membership.State) {
		for _, h := range reply.Holders {
			m.SetHolder(h)
		}
	})
	changed := 0
	for domain, theirs := range reply.Buckets {
		n, err := f.reconcileDomain(ctx, s, domain, theirs)
		changed += n
		if err != nil {
			return changed, errors.Wrapf(err, "domain %s", domain)
		}
	}
	return changed, nil
}

func (f *Follower) reconcileDomain(ctx context.Context, s *session, domain string, theirs []uint64) (int, error) {
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
	entries, err := f.decodeEntries(s.addr, reply.Entries)
	if err != nil {
		return 0, err
	}
	changed := 0
	f.cfg.Members.Do(func(now time.Time, m *membership.State) { changed = m.Merge(now, entries) })
	return changed, nil
}
