package agent

import (
	"context"
	"net"
	"net/http"

	"kingcupwood.example/kingcupwood/agent/backend"
	peersync "kingcupwood.example/kingcupwood/agent/peer/sync"
	"kingcupwood.example/kingcupwood/pkg/dialect"
)

// Adapter connects a daemon to a platform that does not speak the protocols of docs/protocol.md. It
// translates only; a daemon with an adapter gets its configuration as a whole from there instead of
// generating it from answers, and has no administration API.
type Adapter interface {
	// Dialect returns the headers of callers and backend servers.
	Dialect() *dialect.Dialect
	// Source returns where configurations are read.
	Source() peersync.Source
	// Directory returns where daemons find one another.
	Directory() peersync.Directory
	// Announcements returns the handler of what backend servers say of themselves.
	Announcements(servers Servers) http.Handler
	// Readiness returns the handler of questions whether this daemon may get requests.
	Readiness(ready func() bool) http.Handler
	// Close releases the connections to the platform.
	Close()
}

// NewAdapter makes the adapter for the platform at address. dial opens its connections.
type NewAdapter func(address string, dial func(ctx context.Context, network, addr string) (net.Conn, error)) Adapter

// Servers takes what the backend server of this instance says of itself.
type Servers interface {
	// Announce takes over an announcement, or says why it cannot be used. Connections may be zero.
	Announce(a backend.Announcement) error
	// Leave takes over that the backend server with an ID stops.
	Leave(id string)
}

// connectionsPerSlot is the number of connections to a backend server for each of its slots as long as no
// configuration states a number.
const connectionsPerSlot = 2

// servers adds what announcements of an adapter lack.
type servers struct{ d *Daemon }

// Announce implements Servers.
func (s servers) Announce(a backend.Announcement) error {
	if a.Connections == 0 {
		a.Connections = connectionsPerSlot * a.Slots
		if snap := s.d.store.Load(); snap != nil && snap.Services[a.Service] != nil {
			a.Connections = max(snap.Services[a.Service].Connections, 1)
		}
	}
	return s.d.backend.Announce(a)
}

// Leave implements Servers.
func (s servers) Leave(id string) { s.d.backend.Leave(id) }

// announcements returns the handler of announcements.
func (d *Daemon) announcements() http.Handler {
	if d.adapter == nil {
		return d.backend.Announcements()
	}
	return d.adapter.Announcements(servers{d})
}

// dialect returns the headers of callers and backend servers.
func (d *Daemon) dialect() *dialect.Dialect {
	if d.adapter == nil {
		return &dialect.Default
	}
	return d.adapter.Dialect()
}

// ready reports whether callers may send requests to this daemon.
func (d *Daemon) ready() bool { return d.snapshot() != nil && !d.gate.draining.Load() }
