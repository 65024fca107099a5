// Package probe drives the membership state machine with a UDP socket and a ticker.
package probe

import (
	"context"
	"expvar"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"kingcupwood.example/kingcupwood/lib/compact"
	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/membership"
	"kingcupwood.example/kingcupwood/pkg/packetauth"
)

// receiveRetryPause separates attempts after an error of the socket, such as exhausted buffers.
const receiveRetryPause = 10 * time.Millisecond

// rejectLogInterval separates two events about refused packets.
const rejectLogInterval = 10 * time.Second

// Conn is the part of *net.UDPConn that a Prober uses.
type Conn interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, addr netip.AddrPort) (int, error)
	Close() error
}

// Stats counts the traffic of a Prober, without IP and UDP headers.
type Stats struct {
	SentPackets, SentBytes         uint64
	ReceivedPackets, ReceivedBytes uint64
}

// Prober owns a membership.State. All access to the State goes through it.
type Prober struct {
	conn  Conn
	log   *event.Logger
	state *membership.State
	// auth is nil if packets are not authenticated.
	auth       *packetauth.Authenticator
	compressor *compact.Compressor
	// mu guards state. It is never held during a system call.
	mu sync.Mutex

	// reported is the set of unreachable domains last logged; only Run uses it.
	reported map[string]bool

	sentPackets, sentBytes         atomic.Uint64
	receivedPackets, receivedBytes atomic.Uint64
	rejected                       [packetauth.Rejects]atomic.Uint64
	// rejectLog bounds the events for refused packets; anybody can cause them.
	rejectLog rate.Sometimes
}

// New returns a Prober that sends and receives over conn and closes it when Run ends.
func New(conn Conn, state *membership.State, log *event.Logger) *Prober {
	return &Prober{conn: conn, state: state, log: log, compressor: compact.New(membership.MaxPacketBytes), rejectLog: rate.Sometimes{Interval: rejectLogInterval}}
}

// NewAuthenticated is New with packets that auth seals and opens. The state must leave
// packetauth.Overhead bytes of each packet free.
func NewAuthenticated(conn Conn, state *membership.State, auth *packetauth.Authenticator, log *event.Logger) *Prober {
	p := New(conn, state, log)
	p.auth = auth
	return p
}

// Run receives packets and ticks until ctx is done. It then announces that this daemon leaves,
// closes the socket and returns nil, or returns the error that ended it early.
func (p *Prober) Run(ctx context.Context) error {
	received := make(chan error, 1)
	go func() { received <- p.receive(ctx) }()
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.deliver(p.leave())
			_ = p.conn.Close()
			<-received
			return nil
		case err := <-received:
			_ = p.conn.Close()
			return err
		case <-ticker.C:
			p.deliver(p.tick())
			p.logReachability()
		}
	}
}

// logReachability logs the domains whose reachability changed since the last call.
func (p *Prober) logReachability() {
	unreachable := p.View().Unreachable
	for domain := range unreachable {
		if !p.reported[domain] {
			p.log.Log(event.DomainReachability, zap.String("domain", domain), zap.Bool("reachable", false))
		}
	}
	for domain := range p.reported {
		if !unreachable[domain] {
			p.log.Log(event.DomainReachability, zap.String("domain", domain), zap.Bool("reachable", true))
		}
	}
	p.reported = unreachable
}

func (p *Prober) receive(ctx context.Context) error {
	buf := make([]byte, membership.MaxPacketBytes+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "probe socket")
		case err != nil:
			p.log.Log(event.ProbeReceiveFailed, zap.Error(err))
			time.Sleep(receiveRetryPause)
			continue
		}
		p.receivedPackets.Add(1)
		p.receivedBytes.Add(uint64(n))
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if message, err := p.open(from, buf[:n]); err != nil {
			p.reject(from, err)
		} else {
			p.deliver(p.handle(from, message))
		}
	}
}

// open returns the message in a packet.
func (p *Prober) open(from netip.AddrPort, packet []byte) ([]byte, error) {
	if p.auth != nil {
		var err error
		if packet, err = p.auth.Open(time.Now(), from, packet); err != nil {
			return nil, err
		}
	}
	return p.compressor.Decompress(packet)
}

// seal returns the packet for a message.
func (p *Prober) seal(to netip.AddrPort, message []byte) []byte {
	message = p.compressor.Compress(message)
	if p.auth == nil {
		return message
	}
	return p.auth.Seal(time.Now(), to, message)
}

// reject counts a refused packet. Only receive calls it.
func (p *Prober) reject(from netip.AddrPort, err error) {
	var reason packetauth.Reject
	if errors.As(err, &reason) {
		p.rejected[reason].Add(1)
	}
	p.rejectLog.Do(func() {
		p.log.Log(event.ProbeRejected, zap.Stringer("from", from), zap.Stringer("reason", reason), zap.Error(err), zap.Any("rejected", p.Rejected()))
	})
}

// Rejected returns the number of refused packets by reason; reasons that did not occur are left out.
func (p *Prober) Rejected() map[string]uint64 {
	counts := map[string]uint64{}
	for reason := range p.rejected {
		if n := p.rejected[reason].Load(); n > 0 {
			counts[packetauth.Reject(reason).String()] = n
		}
	}
	return counts
}

func (p *Prober) handle(from netip.AddrPort, data []byte) []membership.Packet {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Receive(time.Now(), from, data)
}

func (p *Prober) tick() []membership.Packet {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Tick(time.Now())
}

func (p *Prober) leave() []membership.Packet {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Leave(time.Now())
}

func (p *Prober) deliver(packets []membership.Packet) {
	for _, packet := range packets {
		data := p.seal(packet.To, packet.Data)
		if _, err := p.conn.WriteToUDPAddrPort(data, packet.To); err != nil {
			p.log.Log(event.ProbeSendFailed, zap.Stringer("to", packet.To), zap.Error(err))
			continue
		}
		p.sentPackets.Add(1)
		p.sentBytes.Add(uint64(len(data)))
	}
}

// Do runs f with exclusive access to the State. f must not block.
func (p *Prober) Do(f func(now time.Time, s *membership.State)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(time.Now(), p.state)
}

// SetLocal announces a change of the local instance.
func (p *Prober) SetLocal(r endpoint.Record) {
	p.Do(func(now time.Time, s *membership.State) { s.SetLocal(now, r) })
}

// View returns the current picture of all endpoints.
func (p *Prober) View() *endpoint.View { return p.state.View() }

// Var returns the traffic, the number of members and the health score as a variable for expvar.
func (p *Prober) Var() expvar.Var {
	return expvar.Func(func() any {
		s := p.Stats()
		vars := map[string]uint64{
			"sent_packets": s.SentPackets, "sent_bytes": s.SentBytes,
			"received_packets": s.ReceivedPackets, "received_bytes": s.ReceivedBytes,
		}
		p.Do(func(_ time.Time, m *membership.State) {
			vars["members"], vars["health"], vars["pending_updates"] = uint64(m.Size()), uint64(m.Health()), uint64(m.Pending())
		})
		return vars
	})
}

// Stats returns the traffic so far.
func (p *Prober) Stats() Stats {
	return Stats{
		SentPackets: p.sentPackets.Load(), SentBytes: p.sentBytes.Load(),
		ReceivedPackets: p.receivedPackets.Load(), ReceivedBytes: p.receivedBytes.Load(),
	}
}
