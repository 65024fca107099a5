package sync

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/membership"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// localMembers implements Members with a membership that starts with only the local daemon.
type localMembers struct {
	mu    sync.Mutex
	state *membership.State
}

func newLocalMembers(self endpoint.Record) *localMembers {
	return &localMembers{state: membership.New(membership.Config{Local: self}, time.Now(), 1)}
}

func (m *localMembers) Do(f func(now time.Time, s *membership.State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(time.Now(), m.state)
}

func (m *localMembers) View() *endpoint.View { return m.state.View() }

// fakeSource is a Source whose version and availability are set by the test.
type fakeSource struct {
	mu      sync.Mutex
	version snapshot.Version
	down    bool
	changed chan struct{}
}

func (s *fakeSource) set(version snapshot.Version, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.down = version, down
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeSource) Current(context.Context) (*snapshot.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.version == 0 {
		return nil, map[bool]error{true: errDown}[s.down]
	}
	return assembledOf(s.version)
}

// assembledOf returns version v of a configuration that changes with each version.
func assembledOf(v snapshot.Version) (*snapshot.Snapshot, error) {
	return snapshot.Assemble(v, []*snapshot.Service{{Name: "pages", Team: "ops", Connections: int(v)}}, nil)
}

// NewFeed implements Source.
func (s *fakeSource) NewFeed() Feed { return &fakeFeed{source: s} }

// fakeFeed implements Feed. A wait ends early, so that a test does not take long.
type fakeFeed struct {
	source *fakeSource
	read   snapshot.Version
}

func (f *fakeFeed) Next(ctx context.Context, wait time.Duration) (*snapshot.Snapshot, error) {
	f.source.mu.Lock()
	changed, down, missed := f.source.changed, f.source.down, f.source.version != f.read
	f.source.mu.Unlock()
	if !missed && !down {
		select {
		case <-changed:
		case <-time.After(min(wait, 50*time.Millisecond)):
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	next, err := f.source.Current(ctx)
	if next != nil {
		f.read = next.Version
	}
	return next, err
}

// realCodec applies and creates deltas as the daemon does.
type realCodec struct{ fakeCodec }

func (*realCodec) Apply(base *snapshot.Snapshot, d *snapshot.Delta) (*snapshot.Snapshot, error) {
	return base.Apply(d)
}

func (*realCodec) Delta(from, to *snapshot.Snapshot) (*snapshot.Delta, error) {
	return to.DeltaFrom(from)
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out: %s", what)
		}
	}
}

// Guards against a daemon that serves before it has the newest version, misses a change, goes back
// to an older version, or does not publish in its record that it cannot reach the source.
func TestSourceIsFollowed(t *testing.T) {
	is := is.New(t)
	self := endpoint.Record{Instance: "i1", Domain: "a", RPCAddr: "127.0.0.1:1"}
	source := &fakeSource{changed: make(chan struct{})}
	members := newLocalMembers(self)
	f := NewFollower(Config{Self: self, Members: members, Store: NewStore(&realCodec{}), Source: source, Dial: DialTCP, Log: event.Nop(), Seed: 1})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	close(f.joined)
	running.Go(func() { f.determineFloorFromSource(ctx) })
	running.Go(func() { f.readSource(ctx) })
	defer running.Wait()
	defer cancel()
	time.Sleep(50 * time.Millisecond)
	is.True(!f.Ready()) // there is no configuration yet
	source.set(5, false)
	waitFor(t, "version 5", func() bool { return f.Ready() && f.cfg.Store.Version() == 5 })
	source.set(9, false)
	waitFor(t, "version 9", func() bool { return f.cfg.Store.Version() == 9 })
	source.set(7, false)
	time.Sleep(2 * sourceReadInterval)
	is.Equal(f.cfg.Store.Version(), snapshot.Version(9))
	unreachable := func() (unreachable bool) {
		members.Do(func(_ time.Time, s *membership.State) { unreachable = s.Local().SourceAway })
		return unreachable
	}
	source.set(9, true)
	waitFor(t, "the record shows that the source is unreachable", unreachable)
	source.set(12, false)
	waitFor(t, "version 12", func() bool { return f.cfg.Store.Version() == 12 && !unreachable() })
}

// Guards against a failure domain in which no daemon reads the source because the selected readers
// cannot reach it, and against one in which all daemons read it.
func TestReaders(t *testing.T) {
	is := is.New(t)
	f := &Follower{cfg: Config{Self: endpoint.Record{Instance: "i1", Domain: "a"}}}
	members, view := &endpoint.Members{}, &endpoint.View{Records: map[endpoint.InstanceID]endpoint.Record{}}
	for i := range 6 {
		id := endpoint.InstanceID(fmt.Sprint("i", i))
		members.Instances = append(members.Instances, id)
		view.Records[id] = endpoint.Record{Instance: id, Domain: "a"}
	}
	first := f.selectReaders(members, view)
	is.True(first[0] != "" && first[1] != "" && first[0] != first[1])
	for _, id := range first {
		view.Records[id] = endpoint.Record{Instance: id, Domain: "a", SourceAway: true}
	}
	second := f.selectReaders(members, view)
	is.True(second[0] != "" && second[1] != "")
	for _, id := range second {
		is.True(!slices.Contains(first[:], id))
	}
	for id := range view.Records {
		view.Records[id] = endpoint.Record{Instance: id, Domain: "a", SourceAway: true}
	}
	is.Equal(f.selectReaders(members, view)[0], endpoint.InstanceID("i1")) // each daemon selects itself
}

// fakeDirectory is a Directory that records its entries and calls.
type fakeDirectory struct {
	mu         sync.Mutex
	names      []string
	registered int
	readOnly   bool
}

func (d *fakeDirectory) Register(_ context.Context, _ endpoint.InstanceID, name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registered++
	if d.readOnly {
		return errDown
	}
	d.names = append(d.names, name)
	return nil
}

func (d *fakeDirectory) Remove(context.Context, endpoint.InstanceID) error { return nil }

func (d *fakeDirectory) RemoveStale(_ context.Context, name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.names = slices.DeleteFunc(d.names, func(other string) bool { return other == name })
	return nil
}

func (d *fakeDirectory) List(context.Context, endpoint.InstanceID) (Listing, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Listing{Names: slices.Clone(d.names)}, nil
}

// Guards against daemons that take a second or more to discover each other when they start together
// after a failure of all of them, against a stale entry that delays the others, and against an
// entry that is rewritten at each start.
func TestDirectoryAfterTotalFailure(t *testing.T) {
	joinAfterTotalFailure(t, 12, &fakeDirectory{names: []string{"gone 192.0.2.1:7000"}}) // it does not answer
}

// Guards against daemons that do not find each other because most entries are of daemons that were lost
// without a stop (RECOVER).
func TestDirectoryOfLostDaemons(t *testing.T) {
	directory := &fakeDirectory{}
	for n := range 70 {
		directory.names = append(directory.names, fmt.Sprintf("gone-%d 192.0.2.%d:7000", n, 1+n))
	}
	joinAfterTotalFailure(t, 8, directory)
}

func joinAfterTotalFailure(t *testing.T, daemons int, directory *fakeDirectory) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	var all []*Follower
	for n := range daemons {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		self := endpoint.Record{
			Instance: endpoint.InstanceID(fmt.Sprint("i", n)), Domain: "a", Incarnation: 1, State: endpoint.Ready,
			RPCAddr: listener.Addr().String(), ProbeAddr: "127.0.0.1:1", CallAddr: "127.0.0.1:1",
		}
		directory.names = append(directory.names, HolderName(self))
		dial := func(ctx context.Context, addr string) (net.Conn, error) {
			if strings.HasPrefix(addr, "192.0.2.") {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return DialTCP(ctx, addr)
		}
		f := NewFollower(Config{Self: self, Members: newLocalMembers(self), Store: NewStore(&realCodec{}), Directory: directory, Dial: dial, Log: event.Nop(), Seed: uint64(n)})
		server := rpc.NewServer()
		is.NoErr(NewServer(f).Register(ctx, server))
		running.Go(func() { _ = Serve(ctx, listener, server) })
		all = append(all, f)
	}
	for _, f := range all {
		running.Go(func() { f.useDirectory(ctx) })
	}
	waitFor(t, "all daemons know each other", func() bool {
		for _, f := range all {
			if len(f.cfg.Members.View().Records) < daemons {
				return false
			}
		}
		return true
	})
	is.Equal(directory.registered, 0)
}

// Guards against entries of lost daemons that stay in the directory for good, and against the removal of
// the entry of a daemon that lives, is only unknown for a moment, or is listed by one that is cut off.
func TestStaleEntriesAreRemoved(t *testing.T) {
	is := is.New(t)
	record := func(id string) endpoint.Record {
		return endpoint.Record{Instance: endpoint.InstanceID(id), Domain: "a", Incarnation: 1, State: endpoint.Ready, RPCAddr: "127.0.0.1:1", ProbeAddr: "127.0.0.1:1", CallAddr: "127.0.0.1:1"}
	}
	names := []string{HolderName(record("self")), HolderName(record("alive")), HolderName(record("dead")), "unknown 127.0.0.1:2"}
	directory := &fakeDirectory{names: slices.Clone(names)}
	members := newLocalMembers(record("self"))
	f := NewFollower(Config{Self: record("self"), Members: members, Store: NewStore(&realCodec{}), Directory: directory, Dial: DialTCP, Log: event.Nop(), Seed: 1})
	now := time.Now()
	f.absent["unknown 127.0.0.1:2"] = now.Add(-2 * staleAfter)
	f.removeStale(t.Context(), names)
	is.Equal(directory.names, names) // it knows no other daemon
	members.Do(func(now time.Time, s *membership.State) {
		s.Merge(now, []membership.Entry{{Record: record("alive")}, {Record: record("dead")}})
		s.Merge(now, []membership.Entry{{Record: record("dead"), Dead: true, DeadIncarnation: 1}})
	})
	f.removeStale(t.Context(), append(names, "new 127.0.0.1:3"))
	is.Equal(directory.names, names[:2])
	is.True(!f.isStale("new 127.0.0.1:3", now.Add(staleAfter/2)))
	is.True(f.isStale("new 127.0.0.1:3", now.Add(2*staleAfter)))
}

// Guards against a daemon that is not listed any more, because others could not reach it for a while.
func TestRemovedEntryIsRegisteredAgain(t *testing.T) {
	is := is.New(t)
	directory := &fakeDirectory{}
	self := endpoint.Record{Instance: "i1", Domain: "a", RPCAddr: "127.0.0.1:1"}
	f := NewFollower(Config{Self: self, Members: newLocalMembers(self), Store: NewStore(&realCodec{}), Directory: directory, Dial: DialTCP, Log: event.Nop(), Seed: 1})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { f.useDirectory(ctx) })
	listed := func() bool {
		listing, err := directory.List(ctx, "i1")
		return err == nil && len(listing.Names) == 1
	}
	waitFor(t, "the entry", listed)
	is.NoErr(directory.RemoveStale(ctx, HolderName(self)))
	waitFor(t, "the entry once more", listed)
	cancel()
	running.Wait()
}

// Guards against a daemon that queries a directory without a pause while it rejects writes.
func TestDirectoryWithoutWrites(t *testing.T) {
	is := is.New(t)
	directory := &fakeDirectory{readOnly: true}
	self := endpoint.Record{Instance: "i1", Domain: "a", RPCAddr: "127.0.0.1:1"}
	f := NewFollower(Config{Self: self, Members: newLocalMembers(self), Store: NewStore(&realCodec{}), Directory: directory, Dial: DialTCP, Log: event.Nop(), Seed: 1})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	f.useDirectory(ctx)
	is.True(directory.registered > 0 && directory.registered <= 8) // 13 to 20 with the shortest pause throughout
}
