package synthetic

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/membership"
)

const (
	// spreadTime is how long a changed record is carried by the answers. A member of pkg/membership
	// sends an update about 17 times, with some 3 packets a second.
	spreadTime = 6 * time.Second
	// probePause separates the probes of synthetic members to one real daemon. A daemon sends one
	// probe to another domain every 3 s and receives as many.
	probePause = 3 * time.Second
	// maxUpdates keeps a packet below the 1,200 bytes that pkg/membership accepts.
	maxUpdates = 4
)

// recentChange is a changed record that is still spread.
type recentChange struct {
	update cbor.RawMessage
	until  time.Time
}

// answer replies to the packets of real daemons until the socket is closed.
func (m *Members) answer() {
	buf := make([]byte, membership.MaxPacketBytes+1)
	for {
		n, from, err := m.udp.ReadFromUDP(buf)
		if err != nil {
			return
		}
		var p packet
		message, err := m.compressor.Decompress(buf[:n])
		if err != nil || cbor.Unmarshal(message, &p) != nil {
			continue
		}
		for _, reply := range m.replies(&p) {
			m.send(from, reply)
		}
	}
}

// replies returns the answers to a packet: an ack to a ping, and the record that is asked for.
func (m *Members) replies(p *packet) []packet {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []packet
	r := m.records[p.Target]
	if p.Kind == kindPing && r != nil {
		out = append(out, m.from(r, packet{Kind: kindAck, Seq: p.Seq, Updates: m.updates()}))
	}
	if p.Want && r != nil {
		if u, err := encodeUpdate(*r); err == nil {
			out = append(out, m.from(r, packet{Kind: kindPush, Updates: []cbor.RawMessage{u}}))
		}
	}
	return out
}

func (m *Members) from(r *endpoint.Record, p packet) packet {
	p.From, p.Incarnation, p.Counter = r.Instance, r.Incarnation, r.Counter
	if p.Updates == nil {
		p.Updates = []cbor.RawMessage{}
	}
	return p
}

// updates returns the recent changes; m.mu must be held.
func (m *Members) updates() []cbor.RawMessage {
	now := m.now()
	for len(m.recent) > 0 && now.After(m.recent[0].until) {
		m.recent = m.recent[1:]
	}
	list := []cbor.RawMessage{}
	for _, c := range m.recent {
		if len(list) < maxUpdates {
			list = append(list, c.update)
		}
	}
	return list
}

func (m *Members) send(to *net.UDPAddr, p packet) {
	if data, err := cbor.Marshal(p); err == nil {
		_, _ = m.udp.WriteToUDP(data, to) // a lost packet is part of the protocol
	}
}

// change changes random records at the configured rate until ctx is done.
func (m *Members) change(ctx context.Context) {
	if m.cfg.ChangesPerSecond <= 0 {
		return
	}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / m.cfg.ChangesPerSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.changeOne()
		}
	}
}

func (m *Members) changeOne() {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.random()
	r.Counter++
	if r.State == endpoint.Ready {
		r.State = endpoint.Draining
	} else {
		r.State, r.ReadySinceMS = endpoint.Ready, time.Now().UnixMilli()
	}
	if u, err := encodeUpdate(*r); err == nil {
		m.recent = append(m.recent, recentChange{update: u, until: m.now().Add(spreadTime)})
	}
	m.state.Merge(time.Now(), []membership.Entry{{Record: *r}})
}

// probe sends the probes that the members of other domains would send until ctx is done.
func (m *Members) probe(ctx context.Context) {
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	share := float64(membership.TickInterval) / float64(probePause)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.probeSome(share)
		}
	}
}

// probeSome probes each target with the given probability.
func (m *Members) probeSome(share float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.probed {
		if rand.Float64() < share {
			m.send(t.addr, m.from(m.random(), packet{Kind: kindPing, Seq: rand.Uint64() >> 1, Target: t.instance, Updates: m.updates()}))
		}
	}
}
