// Package synthetic stands in for the daemons that a benchmark does not start: it holds their
// records, answers their probes on one UDP socket and their net/rpc on one listener. It is a
// stand-in for the load of a large membership and does not simulate a cluster.
package synthetic

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	peersync "kingcupwood.example/kingcupwood/agent/peer/sync"
	"kingcupwood.example/kingcupwood/lib/compact"
	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/membership"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// joinTimeout bounds the exchange of all records with one daemon.
const joinTimeout = 30 * time.Second

// Config describes the synthetic members.
type Config struct {
	// Members is the number of members, spread evenly over Domains and Services.
	Members  int
	Domains  []string
	Services []string
	// ChangesPerSecond is the rate at which records change, as at the target.
	ChangesPerSecond float64
}

// Members are the running stand-ins.
type Members struct {
	cfg        Config
	udp        *net.UDPConn
	compressor *compact.Compressor
	tcp        net.Listener
	// now is replaced in tests.
	now func() time.Time

	// mu guards the fields below.
	mu      sync.Mutex
	records map[endpoint.InstanceID]*endpoint.Record
	order   []endpoint.InstanceID
	recent  []recentChange
	state   *membership.State
	probed  []target
}

// target is a real daemon that the synthetic members probe.
type target struct {
	instance endpoint.InstanceID
	addr     *net.UDPAddr
}

// Start opens the sockets and serves until ctx is done.
func Start(ctx context.Context, cfg Config) (*Members, error) {
	loopback := net.IPv4(127, 0, 0, 1)
	udp, err := net.ListenUDP("udp4", &net.UDPAddr{IP: loopback})
	if err != nil {
		return nil, errors.Wrap(err, "listen for probes")
	}
	tcp, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: loopback})
	if err != nil {
		_ = udp.Close()
		return nil, errors.Wrap(err, "listen for net/rpc")
	}
	m := &Members{cfg: cfg, udp: udp, tcp: tcp, now: time.Now, compressor: compact.New(membership.MaxPacketBytes), records: map[endpoint.InstanceID]*endpoint.Record{}}
	m.makeRecords()
	m.state = membership.New(membership.Config{Local: *m.records[m.order[0]]}, time.Now(), 1)
	m.state.Merge(time.Now(), m.entries())
	server := rpc.NewServer()
	follower := peersync.NewFollower(peersync.Config{Members: m, Store: peersync.NewStore(noCodec{}), Log: event.Nop()})
	if err := peersync.NewServer(follower).Register(ctx, server); err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { _ = udp.Close() })
	go func() { _ = peersync.Serve(ctx, tcp, server) }() // ends with ctx
	go m.answer()
	go m.change(ctx)
	go m.probe(ctx)
	return m, nil
}

func (m *Members) makeRecords() {
	incarnation := uint64(time.Now().UnixMilli())
	for i := range m.cfg.Members {
		r := &endpoint.Record{
			Instance:    endpoint.InstanceID(fmt.Sprintf("synthetic-%05d", i)),
			Incarnation: incarnation, Domain: m.cfg.Domains[i%len(m.cfg.Domains)],
			CallAddr: m.tcp.Addr().String(), RPCAddr: m.tcp.Addr().String(),
			ProbeAddr: m.udp.LocalAddr().String(), AdminAddr: m.tcp.Addr().String(),
			Service: m.cfg.Services[i%len(m.cfg.Services)], State: endpoint.Ready, Slots: 12,
			ReadySinceMS: int64(incarnation),
		}
		m.records[r.Instance] = r
		m.order = append(m.order, r.Instance)
	}
}

func (m *Members) entries() []membership.Entry {
	list := make([]membership.Entry, 0, len(m.order))
	for _, id := range m.order {
		list = append(list, membership.Entry{Record: *m.records[id]})
	}
	return list
}

// Join announces all members to the daemon with the given net/rpc address, as a joining daemon does.
func (m *Members) Join(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	conn, err := peersync.DialTCP(ctx, addr)
	if err != nil {
		return errors.Wrap(err, "join")
	}
	client := rpc.NewClient(conn)
	defer client.Close()
	m.mu.Lock()
	data, err := cbor.Marshal(m.entries())
	m.mu.Unlock()
	if err != nil {
		return errors.Wrap(err, "encode entries")
	}
	var reply peersync.ExchangeReply
	call := client.Go(peersync.ServiceName+".Exchange", peersync.ExchangeArgs{Entries: data}, &reply, nil)
	select {
	case <-call.Done:
		return errors.Wrap(call.Error, "exchange")
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "exchange")
	}
}

// Probe lets the synthetic members probe a real daemon at the rate at which members of other
// domains would at the target.
func (m *Members) Probe(instance endpoint.InstanceID, addr *net.UDPAddr) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.probed = append(m.probed, target{instance, addr})
}

// Do implements peersync.Members.
func (m *Members) Do(f func(now time.Time, s *membership.State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(time.Now(), m.state)
}

// View implements peersync.Members.
func (m *Members) View() *endpoint.View { return m.state.View() }

// random returns a random member; m.mu must be held.
func (m *Members) random() *endpoint.Record {
	// The first one is the local member of the state, which takes no changes from outside.
	return m.records[m.order[1+rand.IntN(len(m.order)-1)]]
}

// noCodec belongs to a store that never holds a snapshot.
type noCodec struct{}

// Apply implements peersync.Codec.
func (noCodec) Apply(*snapshot.Snapshot, *snapshot.Delta) (*snapshot.Snapshot, error) {
	return nil, errors.New("synthetic members hold no configuration")
}

// Delta implements peersync.Codec.
func (noCodec) Delta(_, _ *snapshot.Snapshot) (*snapshot.Delta, error) { return nil, nil }

// Object implements peersync.Codec.
func (noCodec) Object(*snapshot.Snapshot, string) []byte { return nil }
