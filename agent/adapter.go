package agent

import (
	"context"
	"net"
	"net/http"
	"net/netip"

	"kingcupwood.example/kingcupwood/agent/backend"
	peersync "kingcupwood.example/kingcupwood/agent/peer/sync"
	"kingcupwood.example/kingcupwood/agent/rollouts"
	"kingcupwood.example/kingcupwood/pkg/dialect"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// Adapter connects a daemon to a platform that does not implement the protocols of
// docs/protocol.md. It only translates. A daemon with an adapter reads its complete configuration
// from the platform instead of generating it from answers, and has no administration API.
type Adapter interface {
	// Dialect returns the header names used with callers and backend servers.
	Dialect() *dialect.Dialect
	// Source returns the source of configurations.
	Source() peersync.Source
	// Directory returns the directory in which daemons discover each other.
	Directory() peersync.Directory
	// Restores tells of restores of the platform's store from older copies.
	Restores() peersync.Restores
	// Departures returns the log of the departures of the backend server on instance.
	Departures(instance endpoint.InstanceID) backend.DepartureLog
	// Rollouts returns the store of the orders of roll-outs and of their states.
	Rollouts() rollouts.Store
	// Announcements returns the handler of the announcements of backend servers.
	Announcements(servers Servers) http.Handler
	// Readiness returns the handler of readiness checks of this daemon.
	Readiness(ready func() bool) http.Handler
	// Close releases the connections to the platform.
	Close()
}

// NewAdapter creates the adapter for the platform at address. dial opens its connections.
type NewAdapter func(address string, dial func(ctx context.Context, network, addr string) (net.Conn, error)) Adapter

// Servers receives the announcements of the backend server of this instance from an adapter.
type Servers interface {
	// Announce applies an announcement, or returns an error if it is invalid. Connections may be zero.
	Announce(a backend.Announcement) error
	// Reject records that an announcement of the server with the given ID could not be read.
	Reject(id string, err error)
	// Leave records that the backend server with the given ID is stopping. Errors of both methods have the
	// status backend.RejectionStatus.
	Leave(id string) error
}

// connectionsPerSlot is the number of connections per slot of a backend server if the configuration
// does not state the number of connections.
const connectionsPerSlot = 2

// servers implements Servers; it adds values that are missing in the announcements of an adapter.
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

// Reject implements Servers.
func (s servers) Reject(id string, err error) { s.d.backend.Reject(id, err) }

// Leave implements Servers.
func (s servers) Leave(id string) error { return s.d.backend.Leave(id) }

// announcements returns the handler of announcements.
func (d *Daemon) announcements() http.Handler {
	if d.adapter == nil {
		return d.backend.Announcements()
	}
	return d.adapter.Announcements(servers{d})
}

// departures returns the log of the departures of the backend server on this instance.
func (d *Daemon) departures() backend.DepartureLog {
	instance := endpoint.InstanceID(d.settings.Daemon.Instance)
	if d.adapter == nil {
		return d.platform.Departures(instance)
	}
	return d.adapter.Departures(instance)
}

// hostIP returns the address at which the backend server of this instance must listen, unless it
// listens on loopback. Only an adapter's platform promises that there is such an address.
func (d *Daemon) hostIP() netip.Addr {
	ip := d.settings.Listen.Callers.Addr()
	if d.adapter == nil || ip.IsUnspecified() {
		return netip.Addr{}
	}
	return ip.Unmap()
}

// dialect returns the header names used with callers and backend servers.
func (d *Daemon) dialect() *dialect.Dialect {
	if d.adapter == nil {
		return &dialect.Default
	}
	return d.adapter.Dialect()
}

// ready reports whether callers may send requests to this daemon.
func (d *Daemon) ready() bool { return d.snapshot() != nil && !d.gate.draining.Load() }
