package sync

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/distribution"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/membership"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

const (
	// pollWait is the duration of a long poll at a parent. It bounds how long a daemon stays with a
	// parent that is no longer the preferred one.
	pollWait = 20 * time.Second
	// pollGrace is added to the wait of a poll for the transfer of a complete delta.
	pollGrace = 5 * time.Second
	// pullTimeout bounds a pull from a peer.
	pullTimeout = 5 * time.Second
	// pullInterval is the time between two checks of the peers' versions.
	pullInterval = 100 * time.Millisecond
	// retryBase and retryMax bound the exponential backoff for requests to peers. retryMax is below
	// the 5 s within which a change must be in force.
	retryBase = 100 * time.Millisecond
	retryMax  = 2 * time.Second
	// parentCheckInterval is the time between two checks for a parent if there is none, and between
	// two checks whether the polled parent is alive.
	parentCheckInterval = 500 * time.Millisecond
)

// busyError is returned if a peer already runs its maximum of full syncs.
type busyError struct{ retryAfter time.Duration }

// Error implements error.
func (e *busyError) Error() string { return "peer is busy, retry after " + e.retryAfter.String() }

// errRefused is returned if a peer offered a version that this daemon refused.
var errRefused = errors.New("the offered version was refused")

// pollParents keeps a long poll open at the parent in the tree or, on a lease holder, at the other
// holder. After a failure it tries the next parent.
func (f *Follower) pollParents(ctx context.Context) {
	backoff := distribution.Backoff{Base: retryBase, Max: retryMax}
	var s *session
	defer func() { closeSession(s) }()
	var last []endpoint.InstanceID
	for next := 0; ctx.Err() == nil; {
		parents := f.parents()
		if !slices.Equal(parents, last) {
			last, next = parents, 0
		}
		if len(parents) == 0 {
			closeSession(s)
			s = nil
			pause(ctx, parentCheckInterval)
			continue
		}
		id := parents[next%len(parents)]
		var err error
		if s, err = f.pollParent(ctx, s, id); err == nil {
			backoff.Reset()
			continue
		}
		closeSession(s)
		s = nil
		next++
		f.cfg.Log.Log(event.ParentFailed, zap.String("parent", string(id)), zap.Error(err))
		f.logFailedQuestion(ctx, string(id), err)
		if next >= len(parents) || !isConnectionError(err) {
			pause(ctx, f.retryDelay(&backoff, err))
		}
	}
}

func closeSession(s *session) {
	if s != nil {
		s.close()
	}
}

// isConnectionError reports whether err is a failure of the connection, after which the next parent
// is tried without delay.
func isConnectionError(err error) bool {
	var busy *busyError
	return !errors.As(err, &busy) && !errors.Is(err, errRefused)
}

func (f *Follower) retryDelay(backoff *distribution.Backoff, err error) time.Duration {
	var busy *busyError
	switch {
	case errors.As(err, &busy):
		return f.jitter(busy.retryAfter)
	case errors.Is(err, errRefused):
		return f.jitter(refusedRetryDelay)
	}
	return backoff.Next(f.random)
}

// pollParent polls once over s, or over a new connection if s is nil or has another address. It
// returns the connection for the next poll.
func (f *Follower) pollParent(ctx context.Context, s *session, id endpoint.InstanceID) (*session, error) {
	addr := f.cfg.Members.View().Records[id].RPCAddr
	if s == nil || s.addr != addr {
		closeSession(s)
		var err error
		if s, err = openSession(ctx, f.dial, addr); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.watchParent(ctx, cancel, id)
	wait := f.pollWait()
	began, have, confirmation := time.Now(), f.cfg.Store.Version(), s.confirmation
	err := f.poll(ctx, s, wait)
	if err == nil {
		answeredNow(&f.answers.parent)
	}
	if err == nil && f.cfg.Store.Version() == have && s.confirmation == confirmation && time.Since(began) < wait/2 {
		// A daemon that is stopping answers polls immediately; the pause avoids a busy loop.
		pause(ctx, retryBase)
	}
	return s, err
}

// pollWait returns the duration of a long poll at a parent. With a source, a parent answers with each
// confirmation, so a longer wait only delays the move to another parent.
func (f *Follower) pollWait() time.Duration {
	if f.cfg.Source != nil {
		return f.cfg.ApplyTime / staleParts
	}
	return pollWait
}

// watchParent cancels a poll when the parent is no longer a live member: a frozen daemon keeps its
// connections open without answering.
func (f *Follower) watchParent(ctx context.Context, cancel context.CancelFunc, id endpoint.InstanceID) {
	for pause(ctx, parentCheckInterval) {
		if _, live := f.cfg.Members.View().Records[id]; !live {
			cancel()
			return
		}
	}
}

// poll requests a higher version and puts it in force.
func (f *Follower) poll(ctx context.Context, s *session, wait time.Duration) error {
	have := f.cfg.Store.Version()
	err := f.pollFor(ctx, s, PollArgs{Have: have, Full: have == 0, Wait: wait, Domain: f.cfg.Self.Domain})
	if now := f.cfg.Store.Version(); errors.Is(err, ErrBaseMismatch) && now > have {
		// A version from another origin was applied during the poll. A delta based on it has a few
		// hundred bytes, a complete one a few hundred kilobytes.
		have = now
		err = f.pollFor(ctx, s, PollArgs{Have: have})
	}
	if errors.Is(err, ErrBaseMismatch) || (errors.Is(err, errRefused) && have != 0) {
		// The delta cannot be applied to the version in force; a complete one always can.
		err = f.pollFor(ctx, s, PollArgs{Have: have, Full: true})
	}
	return err
}

func (f *Follower) pollFor(ctx context.Context, s *session, args PollArgs) error {
	args.Patches = true
	silence, timeout := args.Wait+pollGrace, args.Wait+pollGrace
	if f.cfg.Source != nil {
		args.Confirm, args.Confirmation = true, s.confirmation
		silence = args.Wait + f.readTimeout()
	}
	var reply PollReply
	sent := time.Now()
	if err := s.callUnlessSilent(ctx, silence, timeout, "Poll", args, &reply); err != nil {
		return err
	}
	f.cfg.Members.Do(func(_ time.Time, m *membership.State) {
		m.RaiseHighest(reply.Highest)
		for _, h := range reply.Holders {
			m.SetHolder(h)
		}
	})
	if reply.RetryAfter > 0 {
		return &busyError{min(reply.RetryAfter, maxRetryAfter)}
	}
	if len(reply.Delta) > 0 {
		if err := f.applyReply(s, &reply); err != nil {
			return err
		}
	}
	s.confirmation = reply.Confirmation
	f.adoptConfirmation(sent, &reply)
	return nil
}

// applyReply puts the version of a reply in force.
func (f *Follower) applyReply(s *session, reply *PollReply) error {
	d, err := f.readDelta(reply)
	if errors.Is(err, ErrBaseMismatch) {
		return err
	}
	if err != nil {
		f.recordRefusal(reply.Highest, s.addr, err)
		return errors.Wrap(errRefused, err.Error())
	}
	return f.applyOffered(d, s.addr)
}

// readDelta returns the delta of a reply with complete objects. It returns ErrBaseMismatch if they
// are patches of a base that is not among the recent versions.
func (f *Follower) readDelta(reply *PollReply) (*snapshot.Delta, error) {
	d, err := decodeDelta(reply.Delta)
	if err == nil && reply.Patches {
		err = f.cfg.Store.decodePatches(d)
	}
	return d, err
}

func (f *Follower) applyOffered(d *snapshot.Delta, origin string) error {
	err := f.apply(d, origin)
	if err == nil || errors.Is(err, ErrBaseMismatch) {
		return err
	}
	return errors.Wrap(errRefused, err.Error())
}

// pull fetches from peers that have had a higher version for longer than its distribution through
// the tree should take.
func (f *Follower) pull(ctx context.Context) {
	// blocked maps a peer to the time before which it is not retried after a failure.
	blocked := map[endpoint.InstanceID]time.Time{}
	backoff := distribution.Backoff{Base: retryBase, Max: retryMax}
	for pause(ctx, pullInterval) {
		now := time.Now()
		peer, ok := distribution.PullFrom(now, f.pullAfter(), f.cfg.Store.Version(), f.pullCandidates(now, blocked))
		if !ok || f.recentlyRefused(now, peer.Version) {
			continue
		}
		if err := f.pullFrom(ctx, f.cfg.Members.View().Records[peer.Instance].RPCAddr); err != nil {
			blocked[peer.Instance] = time.Now().Add(f.retryDelay(&backoff, err))
			continue
		}
		backoff.Reset()
	}
}

// pullAfter returns how long a peer must have been ahead before this daemon pulls from it. A child
// of a root pulls without delay: the root may be dead, and its whole subtree depends on this
// daemon.
func (f *Follower) pullAfter() time.Duration {
	if f.position().Ancestors == 1 {
		return 0
	}
	return distribution.PullAfter
}

// pullCandidates returns the peers that are known to have a higher version and are not blocked.
func (f *Follower) pullCandidates(now time.Time, blocked map[endpoint.InstanceID]time.Time) []distribution.Candidate {
	for id, until := range blocked {
		if !now.Before(until) {
			delete(blocked, id)
		}
	}
	var list []distribution.Candidate
	f.cfg.Members.Do(func(_ time.Time, s *membership.State) {
		for _, a := range s.Ahead() {
			if _, wait := blocked[a.Instance]; !wait {
				list = append(list, distribution.Candidate(a))
			}
		}
	})
	return list
}

// pullFrom fetches the version in force at one peer.
func (f *Follower) pullFrom(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	s, err := openSession(ctx, f.dial, addr)
	if err != nil {
		return err
	}
	defer s.close()
	return f.poll(ctx, s, 0)
}
