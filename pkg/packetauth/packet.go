package packetauth

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"net/netip"
	"sync"
	"time"
)

// A packet consists of the ID of the key (4 bytes), the incarnation of the sender (4), a time stamp in
// microseconds of the sender's clock (8), the message, and the code (16). Numbers are big-endian.
const (
	incarnationAt = 4
	stampAt       = 8
	headerBytes   = 16
	codeBytes     = 16

	// Overhead is the number of bytes that Seal adds to a message.
	Overhead = headerBytes + codeBytes
	// MaxClockDifference is the largest difference between a time stamp and the clock of the receiver.
	// It bounds the time in which a packet can be replayed to a receiver that has restarted.
	MaxClockDifference = 5 * time.Minute

	// stepBack is the distance by which the clock must be set back before the sender takes a new incarnation.
	// Below it, stamps advance by a microsecond each until the clock has caught up.
	stepBack = time.Second
	// sweepInterval separates two searches for senders that can be forgotten.
	sweepInterval = time.Minute
)

// Reject is the reason for which a packet was refused.
type Reject uint8

// The reasons for which a packet is refused.
const (
	Truncated  Reject = iota // shorter than Overhead
	UnknownKey               // no key of the ring has its ID
	WrongCode                // changed, under another key, or sent from or to another address
	OutOfTime                // the stamp differs from the local clock by more than MaxClockDifference
	Replayed                 // received before, or overtaken by many others
	Overflow                 // too many senders
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

// Error implements error.
func (r Reject) Error() string { return "packet refused: " + r.String() }

// Authenticator seals and opens the packets of one socket. It is safe for concurrent use.
type Authenticator struct {
	local  netip.AddrPort
	ring   func() *Ring
	random func() uint32

	mu sync.Mutex
	// incarnation tells apart the runs of a sender whose clock may have been set back in between.
	incarnation uint32
	last        int64
	seen        replays
}

// New returns an Authenticator for the socket at local, which must be the address to which others
// send. ring returns the keys in use, random a number that differs from run to run.
func New(local netip.AddrPort, ring func() *Ring, random func() uint32) *Authenticator {
	return &Authenticator{local: local, ring: ring, random: random, incarnation: random(), seen: replays{senders: map[sender]*history{}}}
}

// Seal returns the packet for a message that is sent to to.
func (a *Authenticator) Seal(now time.Time, to netip.AddrPort, message []byte) []byte {
	k := &a.ring().keys[0]
	incarnation, stamp := a.nextStamp(now)
	packet := make([]byte, headerBytes, len(message)+Overhead)
	binary.BigEndian.PutUint32(packet, k.id)
	binary.BigEndian.PutUint32(packet[incarnationAt:], incarnation)
	binary.BigEndian.PutUint64(packet[stampAt:], uint64(stamp))
	packet = append(packet, message...)
	return append(packet, k.code(a.local, to, packet)...)
}

// nextStamp returns a stamp above all former ones of the same incarnation.
func (a *Authenticator) nextStamp(now time.Time) (incarnation uint32, stamp int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch stamp = now.UnixMicro(); {
	case stamp > a.last:
	case a.last-stamp > stepBack.Microseconds():
		a.incarnation = a.random()
	default:
		stamp = a.last + 1
	}
	a.last = stamp
	return a.incarnation, stamp
}

// Open returns the message in a packet that came from from; it shares the memory of packet. The error
// is a Reject.
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
	stamp := int64(binary.BigEndian.Uint64(packet[stampAt:]))
	if limit := MaxClockDifference.Microseconds(); stamp < now.UnixMicro()-limit || stamp > now.UnixMicro()+limit {
		return nil, OutOfTime
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if r, refused := a.seen.note(now, sender{from, binary.BigEndian.Uint32(packet[incarnationAt:])}, stamp); refused {
		return nil, r
	}
	return signed[headerBytes:], nil
}

// code returns the authentication code. It covers both addresses, so that a packet cannot be sent on to
// another daemon, nor its answer be directed to another address.
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
