package agent

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// platformNode is the name of the platform in a testNetwork.
const platformNode = "platform"

// relayBufferBytes is the buffer size of a relay.
const relayBufferBytes = 32 << 10

// host is a node of a testNetwork: an instance in a failure domain, or the platform.
type host struct{ name, domain string }

func (h host) is(name string) bool { return h.name == name || h.domain == name }

// link is one direction between two instances, failure domains or the platform.
type link struct{ from, to string }

// testNetwork connects daemons in one process over loopback and simulates partitions. While a link
// is cut, TCP connections stay open and deliver their data after the heal, as with retransmission;
// UDP packets are lost.
type testNetwork struct {
	mu    sync.Mutex
	hosts map[string]host // by address
	cuts  []link
	// changed is closed at each change of cuts.
	changed chan struct{}
	faults  packetFaults
	rng     *rand.Rand

	closed chan struct{}
	relays sync.WaitGroup
}

// packetFaults configures faults of UDP packets in addition to cuts.
type packetFaults struct {
	// lost is the share of packets that are dropped, duplicated the share of the rest that is sent
	// twice.
	lost, duplicated float64
	// delay is the maximum of the random delay of a packet.
	delay time.Duration
}

func newTestNetwork() *testNetwork {
	return &testNetwork{
		hosts: map[string]host{}, changed: make(chan struct{}), closed: make(chan struct{}),
		rng: rand.New(rand.NewPCG(1, 1)),
	}
}

func (n *testNetwork) register(addr string, h host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[addr] = h
}

// cut blocks the traffic on the given links.
func (n *testNetwork) cut(links ...link) {
	n.update(func() { n.cuts = append(n.cuts, links...) })
}

// heal removes the given cuts, or all cuts without arguments.
func (n *testNetwork) heal(links ...link) {
	n.update(func() {
		n.cuts = slices.DeleteFunc(n.cuts, func(l link) bool { return len(links) == 0 || slices.Contains(links, l) })
	})
}

// setFaults sets the faults of UDP packets.
func (n *testNetwork) setFaults(d packetFaults) { n.update(func() { n.faults = d }) }

func (n *testNetwork) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	close(n.changed)
	n.changed = make(chan struct{})
}

// both returns the links in both directions between a and each of others.
func both(a string, others ...string) []link {
	var links []link
	for _, b := range others {
		links = append(links, link{a, b}, link{b, a})
	}
	return links
}

func (n *testNetwork) isCut(from, to host) bool {
	return slices.ContainsFunc(n.cuts, func(l link) bool { return from.is(l.from) && to.is(l.to) })
}

// await blocks until none of the given directions is cut and returns true, or returns false if done
// is closed first.
func (n *testNetwork) await(done <-chan struct{}, directions ...[2]host) bool {
	for {
		n.mu.Lock()
		changed := n.changed
		open := !slices.ContainsFunc(directions, func(d [2]host) bool { return n.isCut(d[0], d[1]) })
		n.mu.Unlock()
		if open {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// close ends all relays.
func (n *testNetwork) close() {
	close(n.closed)
	n.relays.Wait()
}

// at returns the Network of an instance.
func (n *testNetwork) at(h host) Network { return &hostNetwork{network: n, host: h} }

type hostNetwork struct {
	network *testNetwork
	host    host
}

// DialContext implements Network. It blocks while either direction is cut, like a connect whose SYN
// is retransmitted.
func (h *hostNetwork) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	n := h.network
	n.mu.Lock()
	peer := n.hosts[addr]
	n.mu.Unlock()
	if !n.await(ctx.Done(), [2]host{h.host, peer}, [2]host{peer, h.host}) {
		return nil, ctx.Err()
	}
	far, err := new(net.Dialer).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	near, inner, err := tcpPair(ctx)
	if err != nil {
		_ = far.Close()
		return nil, err
	}
	n.relay(h.host, inner, peer, far.(*net.TCPConn))
	return near, nil
}

// tcpPair returns both ends of a new loopback connection.
func tcpPair(ctx context.Context) (near net.Conn, inner *net.TCPConn, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = l.Close() }()
	if near, err = new(net.Dialer).DialContext(ctx, "tcp", l.Addr().String()); err != nil {
		return nil, nil, err
	}
	accepted, err := l.Accept()
	if err != nil {
		_ = near.Close()
		return nil, nil, err
	}
	return near, accepted.(*net.TCPConn), nil
}

// relay copies between the two connections until both are finished or the network is closed.
func (n *testNetwork) relay(a host, connA *net.TCPConn, b host, connB *net.TCPConn) {
	n.relays.Go(func() {
		finished := make(chan struct{})
		var pumps sync.WaitGroup
		pumps.Go(func() { n.pump(connA, connB, a, b) })
		pumps.Go(func() { n.pump(connB, connA, b, a) })
		go func() {
			select {
			case <-n.closed:
			case <-finished:
			}
			_ = connA.Close()
			_ = connB.Close()
		}()
		pumps.Wait()
		close(finished)
	})
}

// pump copies one direction. It delays data and the end of the stream while the direction is cut.
func (n *testNetwork) pump(from, to *net.TCPConn, source, target host) {
	buf := make([]byte, relayBufferBytes)
	for {
		size, err := from.Read(buf)
		if !n.await(n.closed, [2]host{source, target}) {
			return
		}
		if size > 0 {
			if _, err := to.Write(buf[:size]); err != nil {
				_ = from.Close() // the receiver has closed the connection
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}

// ListenProbes implements Network.
func (h *hostNetwork) ListenProbes(addr netip.AddrPort) (ProbeConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	h.network.register(conn.LocalAddr().String(), h.host)
	return &probeConn{UDPConn: conn, from: h}, nil
}

// probeConn is a UDP socket whose packets may be lost, delayed or duplicated.
type probeConn struct {
	*net.UDPConn
	from *hostNetwork
}

// WriteToUDPAddrPort implements probe.Conn.
func (c *probeConn) WriteToUDPAddrPort(b []byte, addr netip.AddrPort) (int, error) {
	n := c.from.network
	n.mu.Lock()
	defer n.mu.Unlock()
	d := n.faults
	if n.isCut(c.from.host, n.hosts[addr.String()]) || n.rng.Float64() < d.lost {
		return len(b), nil
	}
	copies := 1
	if n.rng.Float64() < d.duplicated {
		copies++
	}
	for range copies {
		if d.delay == 0 {
			_, _ = c.UDPConn.WriteToUDPAddrPort(b, addr)
			continue
		}
		packet := slices.Clone(b)
		time.AfterFunc(time.Duration(n.rng.Int64N(int64(d.delay))), func() {
			_, _ = c.UDPConn.WriteToUDPAddrPort(packet, addr) // the socket may be closed by now
		})
	}
	return len(b), nil
}
