package sync

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/distribution"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/membership"
)

// Directory is a registry of daemons outside of the membership, through which daemons without seeds
// discover each other.
type Directory interface {
	// Register adds a daemon under its HolderName. A daemon registers at its start unless it is
	// listed.
	Register(ctx context.Context, instance endpoint.InstanceID, name string) error
	// Remove deletes the entry of a daemon.
	Remove(ctx context.Context, instance endpoint.InstanceID) error
	// RemoveStale deletes the entry with the given name if there still is one.
	RemoveStale(ctx context.Context, name string) error
	// List returns the registered daemons, at most a few dozen. If there are more, it returns a random
	// selection, so that the entries of daemons that are gone do not hide the others. The entry of the
	// instance self is always among them.
	List(ctx context.Context, self endpoint.InstanceID) (Listing, error)
}

// Listing is the content of a Directory.
type Listing struct {
	// Names are names as returned by HolderName.
	Names []string
	// Skipped is the number of entries that name no daemon, and Reason says why the first one does not.
	Skipped int
	Reason  error
}

// Skip counts n entries that name no daemon.
func (l *Listing) Skip(n int, reason error) {
	if l.Skipped += n; l.Reason == nil {
		l.Reason = reason
	}
}

const (
	// maxJoinAll is the number of unknown daemons up to which a daemon exchanges its records with
	// all of them. If there are more, it selects joinSample of them at random, as each answers with
	// the records of all members, and twice as many in each further round, as they may be gone.
	maxJoinAll = 10
	joinSample = 4
	// joinRounds bounds the number of rounds in which a starting daemon joins daemons that are
	// still unknown after the previous round; joinRoundInterval is the pause between them. After a
	// failure of all daemons each one knows only itself.
	joinRounds        = 5
	joinRoundInterval = 100 * time.Millisecond
	// joinRoundTimeout bounds the wait for the answers of one round, as a machine that is down does
	// not answer.
	joinRoundTimeout = 300 * time.Millisecond
	// relistMax bounds the time between two reads of the directory, which doubles from relistBase.
	// The reads merge groups of daemons that started without reaching each other. A daemon without
	// other members reads the directory again after aloneRelistInterval.
	aloneRelistInterval = time.Second
	relistBase          = time.Minute
	relistMax           = 5 * time.Minute
	// removeTimeout bounds the removal of a daemon from the directory.
	removeTimeout = 500 * time.Millisecond
	// staleAfter is the time after which an entry is stale if its daemon is neither a member nor known
	// to be dead. maxStaleRemovals bounds the entries that a daemon removes after one read of the
	// directory.
	staleAfter       = 30 * time.Second
	maxStaleRemovals = 8
	// removers is the expected number of daemons that remove a stale entry if more of them list it. Lists are
	// limited, so that an entry of a large directory is listed by about maxListers daemons.
	removers   = 4
	maxListers = 64
	// maxAbsent bounds the entries of unknown daemons whose first sight is remembered.
	maxAbsent = 1024
	// skippedLogInterval is the minimum interval between log lines about skipped entries.
	skippedLogInterval = 10 * time.Second
)

// useDirectory registers this daemon and joins the listed daemons that are not members yet.
func (f *Follower) useDirectory(ctx context.Context) {
	failed := distribution.Backoff{Base: retryBase, Max: retryMax}
	for wait, registered := relistBase, false; ctx.Err() == nil; {
		names, err := f.listDirectory(ctx)
		if err != nil {
			pause(ctx, failed.Next(f.random))
			continue
		}
		f.joinListed(ctx, names)
		f.removeStale(ctx, names)
		first := !registered
		// Another daemon may have removed the entry while this one could not be reached.
		if registered = f.isListed(names) || f.registerInDirectory(ctx); !registered {
			pause(ctx, failed.Next(f.random))
			continue
		}
		failed.Reset()
		f.joinOnce.Do(func() {
			f.cfg.Log.Log(event.PeerJoined, zap.Int("records", len(f.cfg.Members.View().Records)))
			close(f.joined)
		})
		switch alone := len(f.cfg.Members.View().Records) <= 1; {
		case alone && first:
			// List again without delay: others may have registered since the list was read.
		case alone:
			pause(ctx, f.jitter(aloneRelistInterval))
		default:
			pause(ctx, f.jitter(wait))
			wait = min(2*wait, relistMax)
		}
	}
}

// isListed reports whether the directory lists this daemon with its current address, as after a
// restart.
func (f *Follower) isListed(names []string) bool {
	return slices.Contains(names, HolderName(f.cfg.Self))
}

func (f *Follower) listDirectory(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, sourceTimeout)
	defer cancel()
	listing, err := f.cfg.Directory.List(ctx, f.cfg.Self.Instance)
	f.recordDirectoryResult(err)
	if err == nil {
		f.listed.Store(int64(len(listing.Names)))
	}
	if listing.Skipped > 0 {
		f.logSkipped("directory", listing.Skipped, listing.Reason)
	}
	return listing.Names, err
}

// logSkipped logs that entries of others were passed over, at most once in skippedLogInterval.
func (f *Follower) logSkipped(source string, entries int, reason error) {
	f.skippedLog.Do(func() {
		f.cfg.Log.Log(event.EntriesSkipped, zap.String("source", source), zap.Int("entries", entries), zap.Error(reason))
	})
}

// registerInDirectory registers this daemon and reports whether that succeeded.
func (f *Follower) registerInDirectory(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, sourceTimeout)
	defer cancel()
	err := f.cfg.Directory.Register(ctx, f.cfg.Self.Instance, HolderName(f.cfg.Self))
	f.recordDirectoryResult(err)
	return err == nil
}

// recordDirectoryResult logs the first failure of a series. It must be called only from the
// goroutine of useDirectory.
func (f *Follower) recordDirectoryResult(err error) {
	if err != nil && !f.directoryFailing {
		f.cfg.Log.Log(event.DirectoryFailed, zap.Error(err))
	}
	f.directoryFailing = err != nil
}

// joinListed exchanges records with the listed daemons that are not members yet. It does so in
// rounds, as daemons that start at the same time learn of others between the rounds.
func (f *Follower) joinListed(ctx context.Context, names []string) {
	var attempts joinAttempts
	for n := range joinRounds {
		addrs := f.unknownAddrs(names, &attempts, joinSample<<n)
		if len(addrs) == 0 {
			return
		}
		var round sync.WaitGroup
		for _, addr := range addrs {
			if attempts.begin(addr) {
				round.Go(func() { f.joinOne(ctx, addr, &attempts) })
			}
		}
		done := make(chan struct{})
		go func() { defer close(done); round.Wait() }()
		select {
		case <-done:
		case <-time.After(joinRoundTimeout):
		case <-ctx.Done():
			return
		}
		pause(ctx, joinRoundInterval)
	}
}

// joinOne exchanges records with the daemon at addr. A failure is only logged, as any other daemon
// suffices for the join.
func (f *Follower) joinOne(ctx context.Context, addr string, attempts *joinAttempts) {
	_, err := f.exchange(ctx, addr)
	if attempts.end(addr, err) {
		f.cfg.Log.Log(event.PeerJoinFailed, zap.String("seed", addr), zap.Error(err))
	}
}

// joinAttempts tracks the running and the failed exchanges by address.
type joinAttempts struct {
	mu      sync.Mutex
	running map[string]bool
	failed  map[string]bool
}

// begin starts an attempt and reports true, unless one is still running for addr, which may hang.
func (j *joinAttempts) begin(addr string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.running == nil {
		j.running, j.failed = map[string]bool{}, map[string]bool{}
	}
	if j.running[addr] {
		return false
	}
	j.running[addr] = true
	return true
}

// unanswered reports whether addr did not answer so far.
func (j *joinAttempts) unanswered(addr string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.running[addr] || j.failed[addr]
}

// end finishes an attempt and reports whether err is the first failure of addr.
func (j *joinAttempts) end(addr string, err error) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.running, addr)
	first := err != nil && !j.failed[addr]
	j.failed[addr] = j.failed[addr] || err != nil
	return first
}

// unknownAddrs returns the addresses of the listed daemons that are not members: all of them, or a
// random sample of the given size if there are more than maxJoinAll. It contains those that did not
// answer before only if there are no others.
func (f *Follower) unknownAddrs(names []string, attempts *joinAttempts, sample int) []string {
	records := f.cfg.Members.View().Records
	var addrs []string
	for _, name := range names {
		id, addr, err := ParseHolderName(name)
		if err != nil || id == f.cfg.Self.Instance {
			continue
		}
		if r, known := records[id]; known && r.RPCAddr == addr {
			continue
		}
		addrs = append(addrs, addr)
	}
	if len(addrs) > maxJoinAll {
		if untried := slices.DeleteFunc(slices.Clone(addrs), attempts.unanswered); len(untried) > 0 {
			addrs = untried
		}
		addrs = f.shuffle(addrs)
		return addrs[:min(sample, len(addrs))]
	}
	return addrs
}

// removeStale removes some of the listed entries whose daemons are gone: those known to be dead, and those
// that have not been members for staleAfter. A daemon without other members may be the one that is cut
// off, and removes none.
func (f *Follower) removeStale(ctx context.Context, names []string) {
	members := 0
	f.cfg.Members.Do(func(_ time.Time, s *membership.State) { members = s.Size() })
	if members <= 1 {
		return
	}
	removed := 0
	for _, name := range names {
		if removed == maxStaleRemovals || ctx.Err() != nil {
			return
		}
		if !f.isStale(name, time.Now()) || f.random(int64(min(members, maxListers))) >= removers {
			continue
		}
		removed++
		limit, cancel := context.WithTimeout(ctx, sourceTimeout)
		err := f.cfg.Directory.RemoveStale(limit, name)
		cancel()
		f.recordDirectoryResult(err)
		if err != nil {
			return
		}
		delete(f.absent, name)
		f.cfg.Log.Log(event.StaleEntryRemoved, zap.String("name", name))
	}
}

// isStale reports whether the daemon with this entry is gone. Only the goroutine of useDirectory calls it.
func (f *Follower) isStale(name string, now time.Time) bool {
	id, _, err := ParseHolderName(name)
	if err != nil || id == f.cfg.Self.Instance {
		return false
	}
	var status membership.Status
	var known bool
	f.cfg.Members.Do(func(_ time.Time, s *membership.State) { status, known = s.StatusOf(id) })
	switch {
	case known && status == membership.Dead:
		return true
	case known:
		delete(f.absent, name)
		return false
	}
	since, seen := f.absent[name]
	if !seen && len(f.absent) < maxAbsent {
		f.absent[name] = now
	}
	return seen && now.Sub(since) >= staleAfter
}

// LeaveDirectory removes this daemon from the directory when it stops. If that fails, the entry is
// replaced at the next start.
func (f *Follower) LeaveDirectory(ctx context.Context) {
	if f.cfg.Directory == nil {
		return
	}
	f.restores.leaving.Store(true)
	ctx, cancel := context.WithTimeout(ctx, removeTimeout)
	defer cancel()
	if err := f.cfg.Directory.Remove(ctx, f.cfg.Self.Instance); err != nil {
		f.cfg.Log.Log(event.DirectoryFailed, zap.Error(err))
	}
}
