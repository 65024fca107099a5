package packetauth

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"net/netip"
	"sync"
	"time"
)

// A packet consists of the key ID (4 bytes), the incarnation of the sender (4), a timestamp in
// microseconds of the sender's clock (8), the message, and the authentication code (16). Numbers
// are big-endian.
const (
	incarnationOffset = 4
	timestampOffset   = 8
	headerBytes       = 16
	codeBytes         = 16

	// Overhead is the number of bytes that Seal adds to a message.
	Overhead = headerBytes + codeBytes
	// MaxClockDifference is the largest accepted difference between a timestamp and the clock of
	// the receiver. It bounds the period in which a packet can be replayed to a receiver that has
	// restarted.
	MaxClockDifference = 5 * time.Minute

	// maxStepBack is the largest backward step of the clock after which the sender keeps its
	// incarnation. Its timestamps then advance by one microsecond per packet until the clock has
	// caught up.
	maxStepBack = time.Second
	// sweepInterval is the minimum interval between removals of expired senders.
	sweepInterval = time.Minute
)

// Reject is the reason why a packet was rejected.
type Reject uint8

// The reasons to reject a packet.
const (
	Truncated  Reject = iota // shorter than Overhead
	UnknownKey               // the ring has no key with its ID
	WrongCode                // modified, sealed with another key, or sent from or to another address
	OutOfTime                // the timestamp differs from the local clock by more than MaxClockDifference
	Replayed                 // received before, or overtaken by too many later packets
	Overflow                 // the table of senders is full
	// Rejects is the number of reasons.
	Rejects
)

var rejectNames = [Rejects]string{"truncated", "unknown-key", "wrong-code", "out-of-time", "replayed", "overflow"}

// String returns the name of r as in metrics and logs.
func (r Reject) String() string {
	if r < Rejects {
		return rejectNames[r]
	}
	return "unknown"
}

// Error implements the error interface.
func (r Reject) Error() string { return "packet rejected: " + r.String() }

// Authenticator seals and opens the packets of one socket. It is safe for concurrent use.
type Authenticator struct {
	local  netip.AddrPort
	ring   func() *Ring
	random func() uint32

	mu sync.Mutex
	// incarnation distinguishes runs of a sender, as its clock may be set back between them.
	incarnation uint32
	lastTS      int64
	replays     replayFilter
}

// New returns an Authenticator for the socket at local, which must be the address that other
// daemons send to. ring returns the current keys, and random a number that differs between runs.
func New(local netip.AddrPort, ring func() *Ring, random func() uint32) *Authenticator {
	return &Authenticator{local: local, ring: ring, random: random, incarnation: random(), replays: replayFilter{senders: map[sender]*history{}}}
}

// Seal returns the packet that carries message to the address to.
func (a *Authenticator) Seal(now time.Time, to netip.AddrPort, message []byte) []byte {
	k := &a.ring().keys[0]
	incarnation, ts := a.nextTimestamp(now)
	packet := make([]byte, headerBytes, len(message)+Overhead)
	binary.BigEndian.PutUint32(packet, k.id)
	binary.BigEndian.PutUint32(packet[incarnationOffset:], incarnation)
	binary.BigEndian.PutUint64(packet[timestampOffset:], uint64(ts))
	packet = append(packet, message...)
	return append(packet, k.code(a.local, to, packet)...)
}

// nextTimestamp returns a timestamp greater than all previous ones of the same incarnation.
func (a *Authenticator) nextTimestamp(now time.Time) (incarnation uint32, ts int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch ts = now.UnixMicro(); {
	case ts > a.lastTS:
	case a.lastTS-ts > maxStepBack.Microseconds():
		a.incarnation = a.random()
	default:
		ts = a.lastTS + 1
	}
	a.lastTS = ts
	return a.incarnation, ts
}

// Open verifies a packet received from the address from and returns its message, which shares
// memory with packet. The error is a Reject.
func (a *Authenticator) Open(now time.Time, from netip.AddrPort, packet []byte) ([]byte, error) {
	if len(packet) < Overhead {
		return nil, Truncated
	}
	k := a.ring().find(binary.BigEndian.Uint32(packet))
	if k == nil {
		return nil, UnknownKey
	}
	signed, code := packet[:len(packet)-codeBytes], packet[len(packet)-codeBytes:]
	if !hmac.Equal(code, k.code(from, a.local, signed)) {
		return nil, WrongCode
	}
	ts := int64(binary.BigEndian.Uint64(packet[timestampOffset:]))
	if limit := MaxClockDifference.Microseconds(); ts < now.UnixMicro()-limit || ts > now.UnixMicro()+limit {
		return nil, OutOfTime
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if r, rejected := a.replays.check(now, sender{from, binary.BigEndian.Uint32(packet[incarnationOffset:])}, ts); rejected {
		return nil, r
	}
	return signed[headerBytes:], nil
}

// code returns the authentication code. It covers both addresses, so that a packet cannot be
// forwarded to another daemon and its answer cannot be redirected to another address.
func (k *key) code(from, to netip.AddrPort, signed []byte) []byte {
	mac := hmac.New(sha256.New, k.secret)
	for _, addr := range []netip.AddrPort{from, to} {
		ip := addr.Addr().As16()
		mac.Write(ip[:])
		mac.Write([]byte{byte(addr.Port() >> 8), byte(addr.Port())})
	}
	mac.Write(signed)
	return mac.Sum(nil)[:codeBytes]
}
