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

// ringOf returns a ring of keys that consist of one repeated byte each.
func ringOf(t testing.TB, bytesOfKeys ...byte) *Ring {
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

// at returns an Authenticator whose ring may be replaced and whose incarnations count up.
func at(addr netip.AddrPort, ring **Ring) *Authenticator {
	incarnation := uint32(0)
	return New(addr, func() *Ring { return *ring }, func() uint32 { incarnation++; return incarnation })
}

func open(to *Authenticator, now time.Time, from netip.AddrPort, packet []byte) error {
	_, err := to.Open(now, from, packet)
	return err
}

// Guards against a packet that is accepted although it was changed, cut, replayed, sent on to another
// daemon, sent from another address, or comes from the distant past or future.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	ring := ringOf(t, 1)
	a, b, c := at(addrA, &ring), at(addrB, &ring), at(addrA, &ring)
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
		is.True(open(b, start.Add(age), addrA, packet) != nil) // never accepted again
	}
}

// Guards against packets that are lost because others overtook them, or because a sender restarted or
// had its clock set back.
func TestReorderedAndRestarted(t *testing.T) {
	is := is.New(t)
	ring := ringOf(t, 1)
	a, b := at(addrA, &ring), at(addrB, &ring)
	var packets [][]byte
	for range rememberedStamps {
		packets = append(packets, a.Seal(start, addrB, nil))
	}
	for n := len(packets) - 1; n >= 0; n-- {
		is.NoErr(open(b, start, addrA, packets[n]))
	}
	is.NoErr(open(b, start, addrA, a.Seal(start.Add(-time.Minute), addrB, nil))) // the clock was set back
	is.Equal(open(b, start, addrA, packets[0]), Replayed)
}

// Guards against a rotation in which a daemon with the former or the next ring is cut off, and against
// a key that is still accepted after its removal.
func TestRotation(t *testing.T) {
	is := is.New(t)
	steps := []*Ring{ringOf(t, 1), ringOf(t, 1, 2), ringOf(t, 2, 1), ringOf(t, 2)}
	for n := range steps[1:] {
		for _, pair := range [][2]*Ring{{steps[n], steps[n+1]}, {steps[n+1], steps[n]}} {
			a, b := at(addrA, &pair[0]), at(addrB, &pair[1])
			is.NoErr(open(b, start, addrA, a.Seal(start, addrB, nil)))
		}
	}
	a, b := at(addrA, &steps[0]), at(addrB, &steps[3])
	is.Equal(open(b, start, addrA, a.Seal(start, addrB, nil)), UnknownKey)
}

// Guards against a key file that is accepted with a fault, and against key material in an error.
func TestParseRingFaults(t *testing.T) {
	is := is.New(t)
	good := string(FormatKey(bytes.Repeat([]byte{0xab}, KeyBytes)))
	for _, text := range []string{"", "# nothing\n", good + good, good + "abcd\n", good[:20] + "\n", "x" + good} {
		_, err := ParseRing([]byte(text))
		is.True(err != nil)
		is.True(!bytes.Contains([]byte(err.Error()), []byte("abab")))
	}
}

// Guards against packets that make the reader fail, or that pass without the key.
func FuzzOpen(f *testing.F) {
	ring := ringOf(f, 1)
	packet := at(addrA, &ring).Seal(start, addrB, []byte("message"))
	for _, seed := range [][]byte{{}, packet, packet[:Overhead], packet[:Overhead-1], bytes.Repeat([]byte{0xff}, 1200)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := at(addrB, &ring).Open(start, addrA, data)
		if (err == nil) != bytes.Equal(data, packet) {
			t.Fatalf("%x gave %x, %v", data, message, err)
		}
	})
}

// BenchmarkSealOpen measures the work for one packet of 100 bytes on both sides.
func BenchmarkSealOpen(b *testing.B) {
	ring := ringOf(b, 1)
	from, to := at(addrA, &ring), at(addrB, &ring)
	message := make([]byte, 100)
	for b.Loop() {
		if _, err := to.Open(start, addrA, from.Seal(start, addrB, message)); err != nil {
			b.Fatal(err)
		}
	}
}
