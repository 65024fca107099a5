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
)

// Directory lists daemons outside of the membership, so that daemons without seeds find one another.
type Directory interface {
	// Register adds a daemon under the text of HolderName; a daemon registers at each start.
	Register(ctx context.Context, instance endpoint.InstanceID, name string) error
	// Remove takes a daemon out.
	Remove(ctx context.Context, instance endpoint.InstanceID) error
	// List returns up to a few dozen registered names.
	List(ctx context.Context) ([]string, error)
}

const (
	// joinAll is the number of unknown daemons up to which a daemon exchanges its records with all of
	// them; of more it takes joinSome at random, since each answers with the records of all.
	joinAll  = 10
	joinSome = 4
	// joinRounds bounds the rounds in which a starting daemon joins daemons that the first ones did not
	// know, joinPause separates them: after a failure of all daemons each one knows only itself.
	joinRounds = 4
	joinPause  = 100 * time.Millisecond
	// joinPatience bounds the wait for the answers of one round; a machine that has gone gives none.
	joinPatience = 300 * time.Millisecond
	// relistMax bounds the pause between two looks into the directory, which doubles from relistBase.
	// They reunite groups of daemons that started without seeing each other. A daemon that knows no
	// other one looks again after relistAlone.
	relistAlone = time.Second
	relistBase  = time.Minute
	relistMax   = 5 * time.Minute
	// removeTimeout bounds the removal of a daemon from the directory.
	removeTimeout = 500 * time.Millisecond
)

// useDirectory registers this daemon and joins the listed ones that are not known yet.
func (f *Follower) useDirectory(ctx context.Context) {
	failed := distribution.Backoff{Base: retryBase, Max: retryMax}
	for wait, entered := relistBase, false; ctx.Err() == nil; {
		names, err := f.list(ctx)
		if err != nil {
			pause(ctx, failed.Next(f.random))
			continue
		}
		f.joinListed(ctx, names)
		first := !entered
		if entered = entered || f.isListed(names) || f.register(ctx); !entered {
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
			// Others may have registered since the list was read.
		case alone:
			pause(ctx, f.jitter(relistAlone))
		default:
			pause(ctx, f.jitter(wait))
			wait = min(2*wait, relistMax)
		}
	}
}

// isListed reports whether the directory has the present entry of this daemon, as after a restart.
func (f *Follower) isListed(names []string) bool {
	return slices.Contains(names, HolderName(f.cfg.Self))
}

func (f *Follower) list(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, sourceTimeout)
	defer cancel()
	names, err := f.cfg.Directory.List(ctx)
	f.noteDirectory(err)
	if err == nil {
		f.listed.Store(int64(len(names)))
	}
	return names, err
}

// register enters this daemon and reports whether that succeeded.
func (f *Follower) register(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, sourceTimeout)
	defer cancel()
	err := f.cfg.Directory.Register(ctx, f.cfg.Self.Instance, HolderName(f.cfg.Self))
	f.noteDirectory(err)
	return err == nil
}

// noteDirectory logs the first of a series of failures. Only the goroutine of useDirectory calls it.
func (f *Follower) noteDirectory(err error) {
	if err != nil && !f.directoryAway {
		f.cfg.Log.Log(event.DirectoryFailed, zap.Error(err))
	}
	f.directoryAway = err != nil
}

// joinListed exchanges records with the listed daemons that are not known yet, in rounds, since those that
// start at the same time learn of others meanwhile.
func (f *Follower) joinListed(ctx context.Context, names []string) {
	var asked joins
	for range joinRounds {
		addrs := f.unknownAmong(names)
		if len(addrs) == 0 {
			return
		}
		var round sync.WaitGroup
		for _, addr := range addrs {
			if asked.begin(addr) {
				round.Go(func() { f.joinOne(ctx, addr, &asked) })
			}
		}
		done := make(chan struct{})
		go func() { defer close(done); round.Wait() }()
		select {
		case <-done:
		case <-time.After(joinPatience):
		case <-ctx.Done():
			return
		}
		pause(ctx, joinPause)
	}
}

// joinOne exchanges records with the daemon at addr, which is only one way into the membership.
func (f *Follower) joinOne(ctx context.Context, addr string, asked *joins) {
	_, err := f.exchange(ctx, addr)
	if asked.end(addr, err) {
		f.cfg.Log.Log(event.PeerJoinFailed, zap.String("seed", addr), zap.Error(err))
	}
}

// joins keeps which daemons are being asked and which have failed.
type joins struct {
	mu      sync.Mutex
	running map[string]bool
	failed  map[string]bool
}

// begin reports whether addr may be asked: one that hangs is not asked again.
func (j *joins) begin(addr string) bool {
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

// end reports whether err is the first failure of addr.
func (j *joins) end(addr string, err error) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.running, addr)
	first := err != nil && !j.failed[addr]
	j.failed[addr] = j.failed[addr] || err != nil
	return first
}

// unknownAmong returns the addresses of the listed daemons that are not members: all, or some at random.
func (f *Follower) unknownAmong(names []string) []string {
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
	if len(addrs) > joinAll {
		return f.shuffle(addrs)[:joinSome]
	}
	return addrs
}

// LeaveDirectory takes this daemon out of the directory at its stop. The entry of a daemon that could not do
// so is replaced at its next start.
func (f *Follower) LeaveDirectory(ctx context.Context) {
	if f.cfg.Directory == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, removeTimeout)
	defer cancel()
	if err := f.cfg.Directory.Remove(ctx, f.cfg.Self.Instance); err != nil {
		f.cfg.Log.Log(event.DirectoryFailed, zap.Error(err))
	}
}
