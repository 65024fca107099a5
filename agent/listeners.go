package agent

import (
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// headerTimeout is the time within which a client must send the header of a request.
const headerTimeout = 10 * time.Second

// listeners holds the sockets of a daemon.
type listeners struct {
	callers, announcements, admin, calls, rpc net.Listener
	// readiness and metrics are nil if the settings contain no address for them.
	readiness, metrics net.Listener
	probes             ProbeConn
}

// openListeners opens all sockets, or none.
func openListeners(s *Settings, network Network) (*listeners, error) {
	l := &listeners{}
	for _, item := range []struct {
		into *net.Listener
		key  string
		addr netip.AddrPort
	}{
		{&l.callers, "callers", s.Listen.Callers},
		{&l.announcements, "announcements", s.Listen.Announcements},
		{&l.admin, "administration", s.Listen.Administration},
		{&l.calls, "calls", s.Listen.Calls},
		{&l.rpc, "rpc", s.Listen.RPC},
		{&l.readiness, "readiness", s.Listen.Readiness},
		{&l.metrics, "metrics", s.Listen.Metrics},
	} {
		if !item.addr.IsValid() {
			continue // only readiness and metrics are optional
		}
		listener, err := net.Listen("tcp", item.addr.String())
		if err != nil {
			l.close()
			return nil, errors.Wrapf(err, "section [listen]: key %q", item.key)
		}
		*item.into = listener
	}
	probes, err := network.ListenProbes(s.Listen.Probes)
	if err != nil {
		l.close()
		return nil, errors.Wrap(err, `section [listen]: key "probes"`)
	}
	l.probes = probes
	return l, nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.announcements, l.admin, l.calls, l.rpc, l.readiness, l.metrics} {
		if listener != nil {
			_ = listener.Close()
		}
	}
	if l.probes != nil {
		_ = l.probes.Close()
	}
}
