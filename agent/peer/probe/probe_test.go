package probe

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/membership"
	"kingcupwood.example/kingcupwood/pkg/packetauth"
)

// testTimeout is much longer than the test takes, unless the loopback interface loses packets.
const testTimeout = time.Minute

func start(t testing.TB, i int) (*Prober, endpoint.Record, func()) { return startWithRing(t, i, nil) }

// startWithRing starts a Prober with the keys in ring, or without authentication for nil.
func startWithRing(t testing.TB, i int, ring *packetauth.Ring) (*Prober, endpoint.Record, func()) {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	r := endpoint.Record{
		Instance: endpoint.InstanceID(fmt.Sprintf("instance-%d", i)), Domain: "domain-0", Incarnation: 1000,
		ProbeAddr: conn.LocalAddr().String(), State: endpoint.Ready,
	}
	p := New(conn, membership.New(membership.Config{Local: r}, time.Now(), uint64(i)), event.Nop())
	if ring != nil {
		state := membership.New(membership.Config{Local: r, Reserve: packetauth.Overhead}, time.Now(), uint64(i))
		auth := packetauth.New(netip.MustParseAddrPort(r.ProbeAddr), func() *packetauth.Ring { return ring }, rand.Uint32)
		p = NewAuthenticated(conn, state, auth, event.Nop())
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	return p, r, func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

func eventually(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met within the timeout")
		}
	}
}

// Guards against records that are not exchanged over sockets, a leave that is not announced, and
// goroutines or sockets leaked by Run.
func TestProbersExchangeRecords(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	a, recordA, stopA := start(t, 1)
	b, _, stopB := start(t, 2)
	c, recordC, stopC := start(t, 3)
	for _, p := range []*Prober{b, c} {
		p.Do(func(now time.Time, s *membership.State) { s.Merge(now, []membership.Entry{{Record: recordA}}) })
	}
	eventually(t, func() bool {
		return len(a.View().Records) == 3 && len(b.View().Records) == 3 && len(c.View().Records) == 3
	})
	recordC.State = endpoint.Draining
	c.SetLocal(recordC)
	eventually(t, func() bool { return a.View().Records[recordC.Instance].State == endpoint.Draining })
	stopC()
	eventually(t, func() bool { return len(a.View().Records) == 2 && len(b.View().Records) == 2 })
	stopB()
	stopA()
	is.True(a.Stats().SentBytes > 0 && a.Stats().ReceivedPackets > 0)
}

// Guards against a Run that blocks or returns nil when its socket is closed by other code.
func TestRunReportsClosedSocket(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	is.NoErr(err)
	r := endpoint.Record{Instance: "instance-1", Domain: "domain-0", Incarnation: 1000, ProbeAddr: conn.LocalAddr().String()}
	p := New(conn, membership.New(membership.Config{Local: r}, time.Now(), 1), event.Nop())
	is.NoErr(conn.Close())
	is.True(p.Run(context.Background()) != nil)
}

func newTestRing(t testing.TB, digit string) *packetauth.Ring {
	t.Helper()
	r, err := packetauth.ParseRing([]byte(strings.Repeat(digit, 2*packetauth.KeyBytes)))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against an authenticated prober that accepts a configuration version from a forged,
// truncated or replayed packet, or from a daemon with another key or none, and against rejected
// packets that are not counted.
func TestRejectedPackets(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	a, recordA, stopA := startWithRing(t, 1, newTestRing(t, "a"))
	defer stopA()
	b, _, stopB := startWithRing(t, 2, newTestRing(t, "a"))
	defer stopB()
	for i, keys := range []*packetauth.Ring{nil, newTestRing(t, "b")} {
		unauthenticated, _, stop := startWithRing(t, 3+i, keys)
		defer stop()
		unauthenticated.Do(func(now time.Time, s *membership.State) {
			s.SetVersion(1 << 40)
			s.Merge(now, []membership.Entry{{Record: recordA}})
		})
	}
	b.Do(func(now time.Time, s *membership.State) { s.Merge(now, []membership.Entry{{Record: recordA}}) })
	eventually(t, func() bool { return a.Rejected()["unknown-key"] >= 3 && len(a.View().Records) == 2 })

	// This socket sends one valid packet, a copy of it, and forged and truncated versions.
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	is.NoErr(err)
	defer func() { is.NoErr(conn.Close()) }()
	own, to := netip.MustParseAddrPort(conn.LocalAddr().String()), netip.MustParseAddrPort(recordA.ProbeAddr)
	valid := packetauth.New(own, func() *packetauth.Ring { return newTestRing(t, "a") }, rand.Uint32).Seal(time.Now(), to, nil)
	forged := bytes.Clone(valid)
	forged[len(forged)-1] ^= 1
	for _, packet := range [][]byte{valid, valid, forged, valid[:len(valid)-1]} {
		_, err := conn.WriteToUDPAddrPort(packet, to)
		is.NoErr(err)
	}
	eventually(t, func() bool {
		r := a.Rejected()
		return r["replayed"] == 1 && r["wrong-code"] == 1 && r["truncated"] == 1
	})
	a.Do(func(_ time.Time, s *membership.State) { is.Equal(uint64(s.Highest()), uint64(0)) })
}
