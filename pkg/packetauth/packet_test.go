package packetauth

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	addrA = netip.MustParseAddrPort("127.0.0.1:7001")
	addrB = netip.MustParseAddrPort("127.0.0.1:7002")
	start = time.Unix(1_800_000_000, 0)
)

// testRing returns a ring of keys that each consist of one repeated byte.
func testRing(t testing.TB, bytesOfKeys ...byte) *Ring {
	t.Helper()
	var text []byte
	for _, b := range bytesOfKeys {
		text = append(text, FormatKey(bytes.Repeat([]byte{b}, KeyBytes))...)
	}
	ring, err := ParseRing(text)
	if err != nil {
		t.Fatal(err)
	}
	return ring
}

// newAuth returns an Authenticator whose ring can be replaced and whose incarnations are
// sequential.
func newAuth(addr netip.AddrPort, ring **Ring) *Authenticator {
	incarnation := uint32(0)
	return New(addr, func() *Ring { return *ring }, func() uint32 { incarnation++; return incarnation })
}

func open(to *Authenticator, now time.Time, from netip.AddrPort, packet []byte) error {
	_, err := to.Open(now, from, packet)
	return err
}

// Guards against a packet that is accepted although it was modified, truncated, replayed, forwarded
// to another daemon, sent from another address, or has a timestamp too far in the past or future.
func TestRejects(t *testing.T) {
	is := is.New(t)
	ring := testRing(t, 1)
	a, b, c := newAuth(addrA, &ring), newAuth(addrB, &ring), newAuth(addrA, &ring)
	packet := a.Seal(start, addrB, []byte("message"))
	is.Equal(len(packet), len("message")+Overhead)
	for n := range packet {
		is.True(open(b, start, addrA, packet[:n]) != nil) // truncated
		forged := bytes.Clone(packet)
		forged[n] ^= 1
		is.True(open(b, start, addrA, forged) != nil) // one bit differs
	}
	is.Equal(open(b, start, addrB, packet), WrongCode) // from another address
	is.Equal(open(c, start, addrA, packet), WrongCode) // to another address
	is.Equal(open(b, start.Add(MaxClockDifference+time.Second), addrA, packet), OutOfTime)
	is.Equal(open(b, start.Add(-MaxClockDifference-time.Second), addrA, packet), OutOfTime)
	message, err := b.Open(start, addrA, packet)
	is.NoErr(err)
	is.Equal(string(message), "message")
	for age := time.Duration(0); age <= 2*MaxClockDifference; age += sweepInterval / 2 {
		is.True(open(b, start.Add(age), addrA, packet) != nil) // must not be accepted again
	}
}

// Guards against rejection of valid packets that arrive out of order or whose sender restarted or
// had its clock set back.
func TestReorderingAndRestart(t *testing.T) {
	is := is.New(t)
	ring := testRing(t, 1)
	a, b := newAuth(addrA, &ring), newAuth(addrB, &ring)
	var packets [][]byte
	for range historySize {
		packets = append(packets, a.Seal(start, addrB, nil))
	}
	for n := len(packets) - 1; n >= 0; n-- {
		is.NoErr(open(b, start, addrA, packets[n]))
	}
	is.NoErr(open(b, start, addrA, a.Seal(start.Add(-time.Minute), addrB, nil))) // clock was set back
	is.Equal(open(b, start, addrA, packets[0]), Replayed)
}

// Guards against rejected packets between daemons with the previous and the next ring of a key
// rotation, and against a key that is still accepted after its removal.
func TestKeyRotation(t *testing.T) {
	is := is.New(t)
	steps := []*Ring{testRing(t, 1), testRing(t, 1, 2), testRing(t, 2, 1), testRing(t, 2)}
	for n := range steps[1:] {
		for _, pair := range [][2]*Ring{{steps[n], steps[n+1]}, {steps[n+1], steps[n]}} {
			a, b := newAuth(addrA, &pair[0]), newAuth(addrB, &pair[1])
			is.NoErr(open(b, start, addrA, a.Seal(start, addrB, nil)))
		}
	}
	a, b := newAuth(addrA, &steps[0]), newAuth(addrB, &steps[3])
	is.Equal(open(b, start, addrA, a.Seal(start, addrB, nil)), UnknownKey)
}

// Guards against an invalid key file that is accepted, and against key material in error messages.
func TestParseRingErrors(t *testing.T) {
	is := is.New(t)
	good := string(FormatKey(bytes.Repeat([]byte{0xab}, KeyBytes)))
	for _, text := range []string{"", "# nothing\n", good + good, good + "abcd\n", good[:20] + "\n", "x" + good} {
		_, err := ParseRing([]byte(text))
		is.True(err != nil)
		is.True(!bytes.Contains([]byte(err.Error()), []byte("abab")))
	}
}

// Guards against packets that cause a panic, and against packets that are accepted without the key.
func FuzzOpen(f *testing.F) {
	ring := testRing(f, 1)
	packet := newAuth(addrA, &ring).Seal(start, addrB, []byte("message"))
	for _, seed := range [][]byte{{}, packet, packet[:Overhead], packet[:Overhead-1], bytes.Repeat([]byte{0xff}, 1200)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := newAuth(addrB, &ring).Open(start, addrA, data)
		if (err == nil) != bytes.Equal(data, packet) {
			t.Fatalf("%x gave %x, %v", data, message, err)
		}
	})
}

// BenchmarkSealOpen measures sealing and opening a packet with a message of 100 bytes.
func BenchmarkSealOpen(b *testing.B) {
	ring := testRing(b, 1)
	from, to := newAuth(addrA, &ring), newAuth(addrB, &ring)
	message := make([]byte, 100)
	for b.Loop() {
		if _, err := to.Open(start, addrA, from.Seal(start, addrB, message)); err != nil {
			b.Fatal(err)
		}
	}
}
