package agent

import (
	"context"
	"net"
	"net/rpc"
	"time"

	peersync "kingcupwood.example/kingcupwood/agent/peer/sync"
	"kingcupwood.example/kingcupwood/agent/store"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// codec implements peersync.Codec.
type codec struct{}

// Apply implements peersync.Codec.
func (codec) Apply(base *snapshot.Snapshot, d *snapshot.Delta) (*snapshot.Snapshot, error) {
	return base.Apply(d)
}

// Delta implements peersync.Codec.
func (codec) Delta(from, to *snapshot.Snapshot) (*snapshot.Delta, error) { return to.DeltaFrom(from) }

// Object implements peersync.Codec.
func (codec) Object(s *snapshot.Snapshot, service string) []byte {
	held := s.Services[service]
	if held == nil {
		return nil
	}
	object, _, err := snapshot.Encode(held)
	if err != nil {
		return nil // a service in force has been encoded before
	}
	return object
}

// Head implements peersync.Platform.
func (s *headSource) Head(ctx context.Context) (peersync.Head, error) {
	read, err := s.Client.Head(ctx)
	head := peersync.Head{Version: read.Version, Manifest: read.Manifest}
	if err == nil {
		s.last.Store(&head)
	}
	return head, err
}

// AcquireLease implements peersync.Platform.
func (s *headSource) AcquireLease(ctx context.Context, name, holder string, ttl time.Duration) (peersync.Lease, error) {
	return toLease(s.Client.AcquireLease(ctx, name, holder, ttl))
}

// RenewLease implements peersync.Platform.
func (s *headSource) RenewLease(ctx context.Context, l peersync.Lease, ttl time.Duration) (peersync.Lease, error) {
	return toLease(s.Client.RenewLease(ctx, store.Lease{Name: l.Name, Holder: l.Holder, Token: l.Token}, ttl))
}

func toLease(l store.Lease, err error) (peersync.Lease, error) {
	return peersync.Lease{Name: l.Name, Holder: l.Holder, Token: l.Token}, err
}

// rpcWithSync registers the distribution service, whose long polls end with ctx, and returns the
// net/rpc server.
func (d *Daemon) rpcWithSync(ctx context.Context) *rpc.Server {
	if err := peersync.NewServer(d.follower).Register(ctx, d.rpc); err != nil {
		panic(err) // the service type is fixed at compile time
	}
	return d.rpc
}

// dialPeer opens a counted connection to the net/rpc address of another daemon.
func (d *Daemon) dialPeer(ctx context.Context, addr string) (net.Conn, error) {
	return d.authenticated(d.peerTraffic.Dial(d.network.DialContext))(ctx, "tcp", addr)
}
