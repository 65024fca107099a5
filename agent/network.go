package agent

import (
	"context"
	"net"
	"net/netip"

	"kingcupwood.example/kingcupwood/agent/peer/probe"
)

// Network opens the connections of a Daemon to other daemons and to the platform. Tests replace it
// to simulate partitions between daemons in one process.
type Network interface {
	// DialContext has the semantics of net.Dialer.DialContext.
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
	// ListenProbes opens the UDP socket of the probes.
	ListenProbes(addr netip.AddrPort) (ProbeConn, error)
}

// ProbeConn is the UDP socket of the probes.
type ProbeConn interface {
	probe.Conn
	LocalAddr() net.Addr
}

// systemNetwork is the network of the operating system.
type systemNetwork struct{ net.Dialer }

// ListenProbes implements Network.
func (systemNetwork) ListenProbes(addr netip.AddrPort) (ProbeConn, error) {
	return net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
}
