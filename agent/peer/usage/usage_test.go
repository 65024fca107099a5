package usage

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/agent/peer/probe"
	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/membership"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
	"kingcupwood.example/kingcupwood/pkg/usagecap"
)

// testNetwork passes datagrams between daemons in one process. Daemons in different groups are not connected.
type testNetwork struct {
	mu     sync.Mutex
	conns  map[netip.AddrPort]*testConn
	groups map[netip.AddrPort]int
}

type datagram struct {
	from netip.AddrPort
	data []byte
}

type testConn struct {
	network *testNetwork
	addr    netip.AddrPort
	in      chan datagram
	closed  chan struct{}
}

func (c *testConn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case d := <-c.in:
		return copy(b, d.data), d.from, nil
	case <-c.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

func (c *testConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if peer := n.conns[to]; peer != nil && n.groups[to] == n.groups[c.addr] {
		select {
		case peer.in <- datagram{c.addr, append([]byte(nil), b...)}:
		default: // a full socket buffer
		}
	}
	return len(b), nil
}

func (c *testConn) Close() error { close(c.closed); return nil }

// testFleet runs the membership and the usage caps of some daemons.
type testFleet struct {
	network *testNetwork
	daemons []*testDaemon
	account *snapshot.Account

	mu                  sync.Mutex
	taken               []time.Time
	over, absent, asked int
}

type testDaemon struct {
	caps   *Caps
	prober *probe.Prober
	addr   netip.AddrPort
}

const testDomains = 3

func startFleet(ctx context.Context, wg *sync.WaitGroup, n int, account *snapshot.Account) *testFleet {
	f := &testFleet{network: &testNetwork{conns: map[netip.AddrPort]*testConn{}, groups: map[netip.AddrPort]int{}}, account: account}
	var entries []membership.Entry
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7000)
		conn := &testConn{network: f.network, addr: addr, in: make(chan datagram, 1024), closed: make(chan struct{})}
		f.network.conns[addr] = conn
		record := endpoint.Record{
			Instance: endpoint.InstanceID(fmt.Sprint("instance-", i)), Domain: fmt.Sprint("domain-", i%testDomains),
			Incarnation: uint64(time.Now().UnixMilli()), ProbeAddr: addr.String(), State: endpoint.Ready,
		}
		entries = append(entries, membership.Entry{Record: record})
		d := &testDaemon{addr: addr, prober: probe.New(conn, membership.New(membership.Config{Local: record}, time.Now(), uint64(i)), event.Nop())}
		d.caps = New(Config{
			Instance: string(record.Instance), Bounds: usagecap.DefaultBounds, Members: d.prober, Known: func() int { return n },
			Snapshot: func() *snapshot.Snapshot { return nil }, Log: event.Nop(),
		})
		d.prober.HandleOther(d.caps.Handle)
		f.daemons = append(f.daemons, d)
	}
	for _, d := range f.daemons {
		d.prober.Do(func(now time.Time, s *membership.State) { s.Merge(now, entries) })
		wg.Go(func() { _ = d.prober.Run(ctx) })
		wg.Go(func() { d.caps.Run(ctx) })
	}
	return f
}

// load sends rate requests a second, at all daemons in turn, for a time.
func (f *testFleet) load(ctx context.Context, rate int, d time.Duration) {
	f.loadAt(ctx, f.daemons, rate, d)
}

// loadAt is load at some of the daemons.
func (f *testFleet) loadAt(ctx context.Context, daemons []*testDaemon, rate int, d time.Duration) {
	var wg sync.WaitGroup
	for range int(d.Seconds() * float64(rate)) {
		f.mu.Lock()
		f.asked++
		daemon := daemons[f.asked%len(daemons)]
		f.mu.Unlock()
		wg.Go(func() { f.request(ctx, daemon) })
		time.Sleep(time.Second / time.Duration(rate))
	}
	wg.Wait()
}

func (f *testFleet) request(ctx context.Context, d *testDaemon) {
	p, refusal := d.caps.Take(ctx, f.account)
	if refusal == nil {
		refusal = p.Renew(ctx)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case refusal == nil:
		f.taken = append(f.taken, time.Now())
	case refusal.NoOwner:
		f.absent++
	default:
		f.over++
	}
}

func (f *testFleet) reset() { f.taken, f.over, f.absent, f.asked = f.taken[:0], 0, 0, 0 }

// setGroup connects the daemons for which match returns true only with each other.
func (f *testFleet) setGroup(group int, match func(i int, d *testDaemon) bool) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	for i, d := range f.daemons {
		if match(i, d) {
			f.network.groups[d.addr] = group
		}
	}
}

// worstWindow returns the largest number of requests in a window.
func (f *testFleet) worstWindow() int {
	most, first := 0, 0
	for i, at := range f.taken {
		for at.Sub(f.taken[first]) > usagecap.DefaultBounds.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (f *testFleet) owner() int {
	addr, _, self := f.daemons[0].caps.node.Fleet(f.daemons[0].caps.now()).Owner(usagecap.Hash(f.account.Name))
	for i, d := range f.daemons {
		if !self && d.addr == addr {
			return i
		}
	}
	return 0
}

// run runs a test in virtual time with a fleet that has settled.
func run(t *testing.T, account *snapshot.Account, test func(is *is.I, ctx context.Context, f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		f := startFleet(ctx, &wg, 9, account)
		time.Sleep(usagecap.JoinGrace + 5*time.Second)
		test(is, ctx, f)
		cancel()
		wg.Wait()
	})
}

func (f *testFleet) allowed() int {
	return int(usagecap.DefaultBounds.Allowed(usagecap.Limit{Rate: f.account.Rate, Burst: f.account.Burst}))
}

// Guards against refusals below the cap, requests above it, and refusals above the cap without the time of the next
// free token.
func TestCapOverAllDaemons(t *testing.T) {
	run(t, &snapshot.Account{Name: "shop", Rate: 50, Burst: 50}, func(is *is.I, ctx context.Context, f *testFleet) {
		f.load(ctx, 30, 10*time.Second)
		is.Equal(f.over+f.absent, 0)
		f.reset()
		f.load(ctx, 200, 20*time.Second)
		is.Equal(f.absent, 0)
		is.True(f.worstWindow() <= f.allowed())
		is.True(len(f.taken) >= 20*50*8/10)
		for range 100 { // some daemon is out of tokens
			if _, refusal := f.daemons[0].caps.Take(ctx, f.account); refusal != nil {
				is.True(refusal.RetryAfter > 0 && refusal.RetryAfter < 2*time.Second)
				return
			}
		}
		is.Fail() // no request was refused
	})
}

// Guards against a cap that stays without an owner after the owner was killed, and against more requests than the cap
// allows while the owners change.
func TestOwnerKilled(t *testing.T) {
	run(t, &snapshot.Account{Name: "shop", Rate: 50, Burst: 20}, func(is *is.I, ctx context.Context, f *testFleet) {
		f.load(ctx, 100, 5*time.Second)
		killed := f.owner()
		f.setGroup(1, func(i int, _ *testDaemon) bool { return i == killed })
		f.load(ctx, 100, 15*time.Second)
		is.True(f.absent > 0) // no owner was known for some seconds
		is.True(f.worstWindow() <= f.allowed())
		f.reset()
		f.load(ctx, 100, 10*time.Second)
		used := float64(len(f.taken)) / 10 / 50
		is.True(used > 0.7) // the 8 of 9 daemons use their fraction of the cap
	})
}

// Guards against two sides of a partition that together use more than the cap, and against a side without any.
func TestDomainCutOffFromOwner(t *testing.T) {
	run(t, &snapshot.Account{Name: "shop", Rate: 100, Burst: 20}, func(is *is.I, ctx context.Context, f *testFleet) {
		domain := (f.owner() + 1) % testDomains
		f.load(ctx, 300, 5*time.Second)
		f.setGroup(1, func(i int, _ *testDaemon) bool { return i%testDomains == domain })
		f.load(ctx, 300, 12*time.Second)
		before := len(f.taken)
		f.load(ctx, 300, 5*time.Second)
		is.True(len(f.taken)-before > 5*100*8/10) // both sides together use most of the cap
		f.setGroup(0, func(int, *testDaemon) bool { return true })
		f.load(ctx, 300, 10*time.Second)
		is.True(f.worstWindow() <= f.allowed())
		f.reset()
		f.load(ctx, 80, 5*time.Second)
		is.Equal(f.absent, 0)
	})
}

// Guards against messages that a daemon of an earlier release takes for membership: it must ignore and count them.
func TestEarlierReleaseIgnoresMessages(t *testing.T) {
	is := is.New(t)
	record := endpoint.Record{Instance: "a", Domain: "d", Incarnation: 1, ProbeAddr: "127.0.0.1:1", State: endpoint.Ready}
	s := membership.New(membership.Config{Local: record}, time.Now(), 1)
	query := usagecap.Query{Account: "shop", Rate: 5, Burst: 10, Version: 7, Seq: 1, Want: 1}
	usagecap.Split("b", []usagecap.Query{query}, []usagecap.Reply{{Account: "shop", Status: usagecap.Granted, Granted: 1}}, func(data []byte) {
		is.Equal(len(s.Receive(time.Now(), netip.MustParseAddrPort("127.0.0.1:2"), data)), 0)
	})
	count, _ := s.Malformed()
	is.Equal(count, uint64(1))
	is.Equal(s.Size(), 1)
}
