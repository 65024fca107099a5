package sync

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

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
	joinSome = 3
	// relistMax bounds the pause between two looks into the directory, which doubles from relistBase.
	// They reunite groups of daemons that started without seeing each other. A daemon that knows no
	// other one looks again after relistAlone.
	relistAlone = time.Second
	relistBase  = 30 * time.Second
	relistMax   = 5 * time.Minute
	// removeTimeout bounds the removal of a stopping daemon from the directory.
	removeTimeout = 500 * time.Millisecond
)

// useDirectory registers this daemon and joins the listed ones that are not known yet.
func (f *Follower) useDirectory(ctx context.Context) {
	f.register(ctx)
	failed := distribution.Backoff{Base: retryBase, Max: retryMax}
	for wait := relistBase; ctx.Err() == nil; {
		for !f.joinListed(ctx) && pause(ctx, failed.Next(f.random)) {
		}
		failed.Reset()
		f.joinOnce.Do(func() {
			f.cfg.Log.Log(event.PeerJoined, zap.Int("records", len(f.cfg.Members.View().Records)))
			close(f.joined)
		})
		if len(f.cfg.Members.View().Records) <= 1 {
			pause(ctx, f.jitter(relistAlone))
			continue
		}
		pause(ctx, f.jitter(wait))
		wait = min(2*wait, relistMax)
	}
}

func (f *Follower) register(ctx context.Context) {
	backoff := distribution.Backoff{Base: retryBase, Max: retryMax}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, sourceTimeout)
		err := f.cfg.Directory.Register(callCtx, f.cfg.Self.Instance, HolderName(f.cfg.Self))
		cancel()
		if err == nil {
			return
		}
		f.noteDirectory(err)
		// Others may be found although this daemon cannot be entered.
		f.joinListed(ctx)
		pause(ctx, backoff.Next(f.random))
	}
}

// noteDirectory logs the first of a series of failures. Only the goroutine of useDirectory calls it.
func (f *Follower) noteDirectory(err error) {
	if err != nil && !f.directoryAway {
		f.cfg.Log.Log(event.DirectoryFailed, zap.Error(err))
	}
	f.directoryAway = err != nil
}

// joinListed exchanges records with the listed daemons that are not known yet. It reports whether the
// directory answered and, if it lists others, one of them or a known member did.
func (f *Follower) joinListed(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, sourceTimeout)
	names, err := f.cfg.Directory.List(callCtx)
	cancel()
	f.noteDirectory(err)
	if err != nil {
		return false
	}
	var group errgroup.Group
	for _, addr := range f.unknownAmong(names) {
		group.Go(func() error {
			_, err := f.exchange(ctx, addr)
			if err != nil {
				f.cfg.Log.Log(event.PeerJoinFailed, zap.String("seed", addr), zap.Error(err))
			}
			return nil // each of them is only one way into the membership
		})
	}
	_ = group.Wait()
	return true
}

// unknownAmong returns the addresses of the listed daemons that are not members: all, or some at random.
func (f *Follower) unknownAmong(names []string) []string {
	records := f.cfg.Members.View().Records
	var addrs []string
	for _, name := range names {
		id, addr, err := ParseHolder(name)
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
