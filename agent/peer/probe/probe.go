// Package probe runs the membership state machine over a UDP socket with a ticker.
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

// receiveRetryDelay is the delay after a socket error, such as exhausted buffers.
const receiveRetryDelay = 10 * time.Millisecond

// rejectLogInterval is the minimum interval between log events about rejected packets.
const rejectLogInterval = 10 * time.Second

// Conn is the subset of *net.UDPConn that a Prober uses.
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

// Prober owns a membership.State. All access to the State must go through the Prober.
type Prober struct {
	conn  Conn
	log   *event.Logger
	state *membership.State
	// auth is nil if packets are not authenticated.
	auth       *packetauth.Authenticator
	compressor *compact.Compressor
	// other handles the messages that are not of membership; see HandleOther.
	other func(from netip.AddrPort, message []byte) bool
	// mu guards state. It is never held during a system call.
	mu sync.Mutex

	// loggedUnreachable is the set of unreachable domains last logged; only Run uses it.
	loggedUnreachable map[string]bool

	sentPackets, sentBytes         atomic.Uint64
	receivedPackets, receivedBytes atomic.Uint64
	rejected                       [packetauth.Rejects]atomic.Uint64
	// rejectLog limits the log events about rejected packets, as any host can send such packets.
	rejectLog rate.Sometimes
	// malformedLog limits the log events about packets and updates that are not usable.
	malformedLog rate.Sometimes
}

// New returns a Prober that sends and receives over conn and closes it when Run ends.
func New(conn Conn, state *membership.State, log *event.Logger) *Prober {
	return &Prober{conn: conn, state: state, log: log, compressor: compact.New(membership.MaxPacketBytes), rejectLog: rate.Sometimes{Interval: rejectLogInterval}, malformedLog: rate.Sometimes{Interval: rejectLogInterval}}
}

// NewAuthenticated is like New, but packets are authenticated by auth. The state must reserve
// packetauth.Overhead bytes in each packet.
func NewAuthenticated(conn Conn, state *membership.State, auth *packetauth.Authenticator, log *event.Logger) *Prober {
	p := New(conn, state, log)
	p.auth = auth
	return p
}

// HandleOther sets a function that receives each message first and reports whether it has handled it; the others are
// of membership. It is called by the goroutine that receives, must not block or retain the message, and must be set
// before Run.
func (p *Prober) HandleOther(handle func(from netip.AddrPort, message []byte) bool) { p.other = handle }

// Send sends a message that is not of membership to another daemon, authenticated like a probe. The message must be
// shorter than membership.MaxPacketBytes by packetauth.Overhead.
func (p *Prober) Send(to netip.AddrPort, message []byte) {
	p.send([]membership.Packet{{To: to, Data: message}})
}

// Run receives packets and ticks until ctx is done. It then announces that this daemon leaves,
// closes the socket and returns nil. If receiving fails before that, it returns the error.
func (p *Prober) Run(ctx context.Context) error {
	received := make(chan error, 1)
	go func() { received <- p.receive(ctx) }()
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.send(p.leave())
			_ = p.conn.Close()
			<-received
			return nil
		case err := <-received:
			_ = p.conn.Close()
			return err
		case <-ticker.C:
			p.send(p.tick())
			p.logReachability()
		}
	}
}

// logReachability logs the domains whose reachability changed since the last call.
func (p *Prober) logReachability() {
	unreachable := p.View().Unreachable
	for domain := range unreachable {
		if !p.loggedUnreachable[domain] {
			p.log.Log(event.DomainReachability, zap.String("domain", domain), zap.Bool("reachable", false))
		}
	}
	for domain := range p.loggedUnreachable {
		if !unreachable[domain] {
			p.log.Log(event.DomainReachability, zap.String("domain", domain), zap.Bool("reachable", true))
		}
	}
	p.loggedUnreachable = unreachable
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
			time.Sleep(receiveRetryDelay)
			continue
		}
		p.receivedPackets.Add(1)
		p.receivedBytes.Add(uint64(n))
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if message, err := p.open(from, buf[:n]); err != nil {
			p.reject(from, err)
		} else if !p.handleOther(from, message) {
			p.send(p.handle(from, message))
		}
	}
}

// open verifies a packet if authentication is enabled and returns its decompressed message.
func (p *Prober) open(from netip.AddrPort, packet []byte) ([]byte, error) {
	if p.auth != nil {
		var err error
		if packet, err = p.auth.Open(time.Now(), from, packet); err != nil {
			return nil, err
		}
	}
	return p.compressor.Decompress(packet)
}

// seal compresses a message and returns its packet, authenticated if that is enabled.
func (p *Prober) seal(to netip.AddrPort, message []byte) []byte {
	message = p.compressor.Compress(message)
	if p.auth == nil {
		return message
	}
	return p.auth.Seal(time.Now(), to, message)
}

// reject counts and logs a rejected packet. It must be called only by receive.
func (p *Prober) reject(from netip.AddrPort, err error) {
	var reason packetauth.Reject
	if errors.As(err, &reason) {
		p.rejected[reason].Add(1)
	}
	p.rejectLog.Do(func() {
		p.log.Log(event.ProbeRejected, zap.Stringer("from", from), zap.Stringer("reason", reason), zap.Error(err), zap.Any("rejected", p.Rejected()))
	})
}

// Rejected returns the number of rejected packets by reason; reasons with a count of 0 are omitted.
func (p *Prober) Rejected() map[string]uint64 {
	counts := map[string]uint64{}
	for reason := range p.rejected {
		if n := p.rejected[reason].Load(); n > 0 {
			counts[packetauth.Reject(reason).String()] = n
		}
	}
	return counts
}

func (p *Prober) handleOther(from netip.AddrPort, message []byte) (handled bool) {
	defer p.log.ContainPanic("usage", func() { handled = true })
	return p.other != nil && p.other(from, message)
}

func (p *Prober) handle(from netip.AddrPort, data []byte) []membership.Packet {
	defer p.log.ContainPanic("probe", nil)
	packets, malformed, err := p.receiveLocked(from, data)
	if err != nil {
		p.malformedLog.Do(func() {
			p.log.Log(event.ProbeMalformed, zap.Stringer("from", from), zap.Error(err), zap.Uint64("malformed", malformed))
		})
	}
	return packets
}

// receiveLocked passes a message to the state. err is the reason if a part of it was ignored, and
// malformed the number of such parts since the start.
func (p *Prober) receiveLocked(from netip.AddrPort, data []byte) (packets []membership.Packet, malformed uint64, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before, _ := p.state.Malformed()
	packets = p.state.Receive(time.Now(), from, data)
	malformed, last := p.state.Malformed()
	if malformed > before {
		err = last
	}
	return packets, malformed, err
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

func (p *Prober) send(packets []membership.Packet) {
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

// SetLocal updates the record of the local instance and announces it.
func (p *Prober) SetLocal(r endpoint.Record) {
	p.Do(func(now time.Time, s *membership.State) { s.SetLocal(now, r) })
}

// PushLocal sends the record of the local instance to a few members of each failure domain at once.
func (p *Prober) PushLocal() {
	p.mu.Lock()
	packets := p.state.PushLocal()
	p.mu.Unlock()
	p.send(packets)
}

// View returns the current view of all endpoints.
func (p *Prober) View() *endpoint.View { return p.state.View() }

// Var returns an expvar variable with the traffic, the number of members, the health score and the
// number of queued updates.
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

// Stats returns the traffic since the start.
func (p *Prober) Stats() Stats {
	return Stats{
		SentPackets: p.sentPackets.Load(), SentBytes: p.sentBytes.Load(),
		ReceivedPackets: p.receivedPackets.Load(), ReceivedBytes: p.receivedBytes.Load(),
	}
}
