package agent

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/agent/peer/probe"
	"kingcupwood.example/kingcupwood/agent/peer/secure"
	"kingcupwood.example/kingcupwood/lib/credentials"
	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/membership"
	"kingcupwood.example/kingcupwood/pkg/packetauth"
)

// security implements the mutual authentication between this daemon and others.
type security struct {
	credentials *credentials.Store
	log         *event.Logger
	listeners   []*secure.Listener
}

func (s *Settings) securityFiles() credentials.Files {
	return credentials.Files{
		Certificate: s.Security.Certificate, PrivateKey: s.Security.PrivateKey,
		Authority: s.Security.Authority, ProbeKeys: s.Security.ProbeKeys,
	}
}

// checkSecurity reports missing keys of an incomplete section, and errors in the files of a
// complete one.
func (s *Settings) checkSecurity(fail func(section, key, reason string)) {
	files := s.securityFiles()
	if files == (credentials.Files{}) {
		return
	}
	complete := true
	for _, item := range []struct{ key, path string }{
		{"certificate", files.Certificate}, {"private-key", files.PrivateKey},
		{"authority", files.Authority}, {"probe-keys", files.ProbeKeys},
	} {
		if item.path == "" {
			fail("security", item.key, "must name a file if another key of the section does")
			complete = false
		}
	}
	if !complete {
		return
	}
	_, faults := credentials.Load(files, time.Now())
	for _, fault := range faults {
		fail("security", fault.Key, fault.Path+": "+fault.Err.Error())
	}
}

// openSecurity loads the credentials. It returns nil if the settings name no files.
func openSecurity(s *Settings, log *event.Logger) (*security, error) {
	files := s.securityFiles()
	if files == (credentials.Files{}) {
		return nil, nil
	}
	store, err := credentials.Open(files, log)
	if err != nil {
		return nil, errors.Wrap(err, "section [security]")
	}
	return &security{credentials: store, log: log}, nil
}

// listen returns a listener that authenticates the connections of l.
func (s *security) listen(l net.Listener) net.Listener {
	secured := secure.NewListener(l, s.credentials, s.log)
	s.listeners = append(s.listeners, secured)
	return secured
}

// authenticated adds authentication to dial if it is configured.
func (d *Daemon) authenticated(dial secure.DialFunc) secure.DialFunc {
	if d.security == nil {
		return dial
	}
	return secure.Dial(dial, d.security.credentials)
}

// dialDaemon opens a connection to another daemon. It has the signature of net.Dialer.DialContext.
func (d *Daemon) dialDaemon(ctx context.Context, network, addr string) (net.Conn, error) {
	return d.authenticated(d.network.DialContext)(ctx, network, addr)
}

func (d *Daemon) newProber(local endpoint.Record) *probe.Prober {
	config := membership.Config{Local: local}
	if d.security == nil {
		return probe.New(d.listeners.probes, membership.New(config, d.started, rand.Uint64()), d.log)
	}
	config.Reserve = packetauth.Overhead
	state := membership.New(config, d.started, rand.Uint64())
	// The address is that of a UDP socket, which always parses.
	auth := packetauth.New(netip.MustParseAddrPort(local.ProbeAddr), d.security.credentials.Ring, rand.Uint32)
	return probe.NewAuthenticated(d.listeners.probes, state, auth, d.log)
}

// watchSecurity reloads changed key files until ctx ends.
func (d *Daemon) watchSecurity(ctx context.Context) {
	if d.security == nil {
		d.log.Log(event.Unauthenticated)
		return
	}
	d.security.credentials.Run(ctx)
}

type securityMetrics struct {
	Authenticated bool `json:"authenticated"`
	// CertificateSeconds is the time until the certificate expires.
	CertificateSeconds int64             `json:"certificate_seconds_left"`
	RefusedConnections uint64            `json:"refused_connections"`
	RefusedProbes      map[string]uint64 `json:"refused_probes"`
}

func (d *Daemon) securityMetrics() any {
	m := securityMetrics{RefusedProbes: d.prober.Rejected()}
	if d.security != nil {
		m.Authenticated = true
		m.CertificateSeconds = int64(time.Until(d.security.credentials.Expires()).Seconds())
		for _, l := range d.security.listeners {
			m.RefusedConnections += l.Refused()
		}
	}
	return m
}
