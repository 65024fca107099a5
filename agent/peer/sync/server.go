package sync

import (
	"context"
	"math/rand/v2"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/lib/gobtypes"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/membership"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

const (
	// maxFullSyncs bounds the concurrent complete deltas and full exchanges. Each takes several
	// megabytes and tens of milliseconds at the design size.
	maxFullSyncs = 4
	// minRetryAfter and maxRetryAfter bound the retry delay given to a daemon whose request is
	// rejected, also by another daemon: a longer one would keep this daemon from following.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 800 * time.Millisecond
	// maxWait bounds a long poll.
	maxWait = 30 * time.Second
	// acceptPause is the pause after a failed accept.
	acceptPause = 10 * time.Millisecond
	// maxConnections bounds the open connections in a reconnect storm. Further ones are closed
	// immediately, and their clients retry with backoff. A daemon needs about 4 for its children in
	// the tree.
	maxConnections = 512
	// redirectPeers is the number of other daemons listed in the answer to a rejected exchange.
	redirectPeers = 8
	// maxDomains bounds the failure domains accepted in one request; the design size has 19.
	maxDomains = 256
)

// Server answers the requests of other daemons.
type Server struct {
	members   Members
	store     *Store
	follower  *Follower
	fullSyncs chan struct{}
	log       *event.Logger
	// patchMu guards lastDelta, which caches the result of patchDelta.
	patchMu   sync.Mutex
	lastDelta cachedDelta
}

// NewServer returns a Server for the membership and the snapshot store of f.
func NewServer(f *Follower) *Server {
	return &Server{members: f.cfg.Members, store: f.cfg.Store, follower: f, fullSyncs: make(chan struct{}, maxFullSyncs), log: f.cfg.Log}
}

// Register adds the methods of s to r under ServiceName. Polls end early when ctx is done. It
// should be the context of Serve, which waits for running calls.
func (s *Server) Register(ctx context.Context, r *rpc.Server) error {
	err := gobtypes.Register(PollArgs{}, PollReply{}, ExchangeArgs{}, ExchangeReply{}, DigestArgs{}, DigestReply{},
		BucketArgs{}, BucketReply{}, HighestArgs{}, HighestReply{}, DeparturesArgs{}, DeparturesReply{})
	if err != nil {
		return err
	}
	return errors.Wrap(r.RegisterName(ServiceName, &service{Server: s, ctx: ctx}), "register sync service")
}

// service holds the methods called by net/rpc.
type service struct {
	*Server
	ctx context.Context
}

// Poll returns a delta to a higher version, waiting for one up to args.Wait.
func (s *service) Poll(args PollArgs, reply *PollReply) (err error) {
	defer s.log.ContainError("sync", &err)
	arrived := time.Now()
	s.awaitNews(&args, min(args.Wait, maxWait))
	if args.Confirm {
		s.follower.addConfirmation(arrived, reply)
	}
	s.members.Do(func(_ time.Time, m *membership.State) {
		m.RaiseHighest(args.Have)
		reply.Highest = m.Highest()
		if args.Domain == m.Local().Domain {
			reply.Holders = m.Holders()
		}
	})
	if s.store.Version() <= args.Have {
		return nil
	}
	return s.addDelta(args, reply)
}

// addDelta adds the delta to the version in force, which must be above args.Have, to reply.
func (s *Server) addDelta(args PollArgs, reply *PollReply) error {
	base := s.store.recent(args.Have)
	if args.Full {
		base = nil
	}
	if base == nil {
		if !s.tryBeginFullSync() {
			reply.RetryAfter = retryAfter()
			return nil
		}
		defer s.endFullSync()
	}
	var d *snapshot.Delta
	var err error
	switch {
	case args.Patches:
		reply.Patches = true
		reply.Delta, err = s.patchDelta(base)
		return err
	case args.Full:
		d, err = s.store.CompleteDelta()
	default:
		d, err = s.store.DeltaFrom(args.Have)
	}
	if err != nil || d == nil {
		return err
	}
	reply.Delta, err = encodeDelta(d)
	return err
}

// awaitNews waits until the version in force is above the requesting daemon's, there is a
// confirmation that it does not have, wait has passed or the server stops.
func (s *service) awaitNews(args *PollArgs, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := s.store.Changed()
		_, number, confirmed := s.follower.confirmed.load()
		if s.store.Version() > args.Have || (args.Confirm && number != args.Confirmation) {
			return
		}
		if !args.Confirm {
			confirmed = nil
		}
		select {
		case <-changed:
		case <-confirmed:
		case <-timer.C:
			return
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *Server) tryBeginFullSync() bool {
	select {
	case s.fullSyncs <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s *Server) endFullSync() { <-s.fullSyncs }

func retryAfter() time.Duration {
	return minRetryAfter + rand.N(maxRetryAfter-minRetryAfter)
}

// Exchange merges the entries of a joining daemon and returns all entries.
func (s *service) Exchange(args ExchangeArgs, reply *ExchangeReply) (err error) {
	defer s.log.ContainError("sync", &err)
	entries, err := s.follower.decodeEntries("a daemon that joins", args.Entries)
	if err != nil {
		return err
	}
	s.members.Do(func(now time.Time, m *membership.State) { m.Merge(now, entries) })
	if !s.tryBeginFullSync() {
		reply.RetryAfter = retryAfter()
		reply.Peers = randomAddrs(s.members.View(), redirectPeers)
		return nil
	}
	defer s.endFullSync()
	var all []membership.Entry
	s.members.Do(func(_ time.Time, m *membership.State) {
		all = m.AllEntries()
		reply.Highest = m.Highest()
	})
	reply.Entries, err = s.follower.entries.encode(all)
	return err
}

// randomAddrs returns the net/rpc addresses of up to n members in reachable domains.
func randomAddrs(view *endpoint.View, n int) []string {
	var addrs []string
	for _, r := range view.Records { // the random order of map iteration suffices here
		if len(addrs) == n {
			break
		}
		if r.RPCAddr != "" && !view.Unreachable[r.Domain] {
			addrs = append(addrs, r.RPCAddr)
		}
	}
	slices.Sort(addrs)
	return addrs
}

// Digests compares the digests of the records and returns the bucket digests of the domains that
// differ.
func (s *service) Digests(args DigestArgs, reply *DigestReply) (err error) {
	defer s.log.ContainError("sync", &err)
	if len(args.Digests) > maxDomains {
		return errors.Errorf("request has digests of %d domains, at most %d are allowed", len(args.Digests), maxDomains)
	}
	reply.Buckets = map[string][]uint64{}
	s.members.Do(func(_ time.Time, m *membership.State) {
		if args.Domain == m.Local().Domain {
			for _, h := range args.Holders {
				m.SetHolder(h)
			}
			reply.Holders = m.Holders()
		}
		for domain, digest := range m.Digests() {
			if args.Digests[domain] != digest {
				reply.Buckets[domain] = m.BucketDigests(domain)
			}
		}
		for domain := range args.Digests {
			if m.BucketDigests(domain) == nil {
				reply.Buckets[domain] = make([]uint64, membership.DigestBuckets)
			}
		}
	})
	return nil
}

// Buckets merges the entries of the requesting daemon and returns the local entries of the same
// buckets.
func (s *service) Buckets(args BucketArgs, reply *BucketReply) (err error) {
	defer s.log.ContainError("sync", &err)
	entries, err := s.follower.decodeEntries("a member", args.Entries)
	if err != nil {
		return err
	}
	var own []membership.Entry
	s.members.Do(func(now time.Time, m *membership.State) {
		own = m.Entries(args.Domain, args.Buckets)
		m.Merge(now, entries)
	})
	reply.Entries, err = s.follower.entries.encode(own)
	return err
}

// Highest returns the highest version known to this daemon, and the version of the head if
// requested.
func (s *service) Highest(args HighestArgs, reply *HighestReply) (err error) {
	defer s.log.ContainError("sync", &err)
	if args.Fresh {
		reply.Head, reply.Fresh = s.follower.freshHead(s.ctx)
	}
	var holders []membership.Holder
	s.members.Do(func(_ time.Time, m *membership.State) { reply.Highest, holders = m.Highest(), m.Holders() })
	records := s.members.View().Records
	for _, h := range holders {
		if r, live := records[h.Instance]; live {
			reply.Holders = append(reply.Holders, r.RPCAddr)
		}
	}
	return nil
}

// Serve answers the connections of ln with r until ctx is done, then closes them and returns nil.
func Serve(ctx context.Context, ln net.Listener, r *rpc.Server) error {
	open := make(chan struct{}, maxConnections)
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	for {
		conn, err := ln.Accept()
		if err != nil {
			switch {
			case ctx.Err() != nil:
				return nil
			case errors.Is(err, net.ErrClosed):
				return errors.Wrap(err, "accept")
			}
			// Running out of file descriptors in a reconnect storm must not end the service.
			pause(ctx, acceptPause)
			continue
		}
		select {
		case open <- struct{}{}:
		default:
			_ = conn.Close()
			continue
		}
		wg.Go(func() {
			defer func() { <-open }()
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			defer stop()
			r.ServeConn(writeTimeoutConn{conn})
		})
	}
}
