package transfer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/verdict"
)

const (
	kilobyte = 1000
	// narrowLink is the rate of a link of 11 Mbit/s in bytes per second.
	narrowLink = 11e6 / 8
)

var start = time.Unix(1000, 0)

func body(bytes int, finishIn time.Duration, now time.Time) Request {
	return Request{Bytes: bytes, FinishBy: now.Add(finishIn)}
}

// Guards against bodies that are granted the same time of the link, and against a wait that differs
// from the time of the bodies ahead.
func TestBodiesFollowOneAnother(t *testing.T) {
	is := is.New(t)
	s := New(1e6)
	first, err := s.Reserve(body(75*kilobyte, time.Second, start), start)
	is.NoErr(err)
	is.Equal(first.Wait, time.Duration(0))
	is.Equal(first.BytesPerSecond, 750*kilobyte)
	second, err := s.Reserve(body(75*kilobyte, time.Second, start), start)
	is.NoErr(err)
	is.Equal(second.Wait, 100*time.Millisecond)
	later := start.Add(150 * time.Millisecond)
	third, err := s.Reserve(body(75*kilobyte, time.Second, later), later)
	is.NoErr(err)
	is.Equal(third.Wait, 50*time.Millisecond)
}

// Guards against granting a body that arrives too late or waits for longer than its sender accepts,
// against a refusal that uses up time of the link, and against one without the verdict not run.
func TestBodyThatArrivesTooLateIsRefused(t *testing.T) {
	is := is.New(t)
	s := New(1e6)
	_, err := s.Reserve(body(300*kilobyte, time.Second, start), start)
	is.NoErr(err)
	for range 3 {
		_, err = s.Reserve(body(75*kilobyte, 499*time.Millisecond, start), start)
		is.Equal(verdict.Of(err), verdict.NotRun)
	}
	impatient := body(75*kilobyte, time.Second, start)
	impatient.MaxWait = 399 * time.Millisecond
	_, err = s.Reserve(impatient, start)
	var refusal *Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Wait, 400*time.Millisecond)
	grant, err := s.Reserve(body(75*kilobyte, 500*time.Millisecond, start), start)
	is.NoErr(err)
	is.Equal(grant.Wait, 400*time.Millisecond)
}

// Guards against time of the link that stays granted to a body whose sender has given up.
func TestCancelledGrantIsReturned(t *testing.T) {
	is := is.New(t)
	s := New(1e6)
	grant, err := s.Reserve(body(75*kilobyte, time.Second, start), start)
	is.NoErr(err)
	s.Cancel(grant)
	grant, err = s.Reserve(body(75*kilobyte, time.Second, start), start)
	is.NoErr(err)
	is.Equal(grant.Wait, time.Duration(0))
}

// Guards against a sender that exceeds its rate after it was delayed, and against a body that is
// not sent completely.
func TestPacerKeepsRate(t *testing.T) {
	is := is.New(t)
	const size = 100 * kilobyte
	now := start
	p := NewPacer(1000*kilobyte, now)
	sent, chunks := 0, 0
	for sent < size {
		n, wait := p.Next(size-sent, now)
		now = now.Add(wait)
		sent += n
		if chunks++; chunks == 3 {
			now = now.Add(time.Second)
		}
	}
	is.Equal(sent, size)
	is.True(now.Sub(start) >= time.Second+(size-3*chunkBytes)/1000*time.Millisecond)
	n, wait := NewPacer(1<<32-1, start).Next(size, start)
	is.Equal(n, size)
	is.Equal(wait, time.Duration(0))
}

// link is a link that delivers what is sent on it in order, at a fixed rate.
type link struct{ free time.Time }

// send returns the time at which bytes that are sent at the given time have arrived.
func (l *link) send(bytes int, at time.Time) time.Time {
	if l.free.Before(at) {
		l.free = at
	}
	l.free = l.free.Add(duration(float64(bytes), narrowLink))
	return l.free
}

// transmission is a body or a part of it that is sent at a time.
type transmission struct {
	at    time.Time
	bytes int
	// small marks a small request.
	small   bool
	arrived time.Time
}

// floodOfUploads returns the bodies that arrive at one instance over some seconds, 1.7 times of what
// its link carries, and the small requests of 500 bytes between them.
func floodOfUploads(seed uint64) (uploads, calls []transmission) {
	rng := rand.New(rand.NewPCG(seed, 1))
	const meanBytes, overload, seconds = 60 * kilobyte, 1.7, 20
	perSecond := overload * narrowLink / meanBytes
	for at := 0.0; at < seconds; at += rng.ExpFloat64() / perSecond {
		bytes := min(int(meanBytes*(0.4+1.2*rng.Float64())), 360*kilobyte)
		uploads = append(uploads, transmission{at: start.Add(time.Duration(at * float64(time.Second))), bytes: bytes})
	}
	for at := 0.0; at < seconds; at += 0.015 {
		calls = append(calls, transmission{at: start.Add(time.Duration(at * float64(time.Second))), bytes: 500, small: true})
	}
	return uploads, calls
}

// deliver sends all transmissions over one link in order of time.
func deliver(all []transmission) []transmission {
	l := &link{}
	for i := range all {
		all[i].arrived = l.send(all[i].bytes, all[i].at)
	}
	return all
}

// Pattern: a flood of large uploads to an instance with a narrow link, which also serves small calls
// that other requests wait for. Guards against calls that wait behind bodies: sent as they come, the
// bodies delay almost every call beyond its deadline. Granted in turn, no call is delayed by more
// than a few chunks, and the bodies use at least nine tenths of their share of the link and arrive in
// time.
func TestFloodOfUploadsLeavesRoomForCalls(t *testing.T) {
	const (
		callDeadline = 400 * time.Millisecond
		uploadTarget = 750 * time.Millisecond
		seconds      = 20
	)
	for seed := range uint64(20) {
		is := is.New(t)
		uploads, calls := floodOfUploads(seed)
		inOrder := deliver(merge(uploads, calls))
		late := 0
		for _, x := range inOrder {
			if x.small && x.arrived.Sub(x.at) > callDeadline {
				late++
			}
		}
		is.True(late > len(calls)/2) // the load is one that breaks the calls

		s := New(narrowLink)
		var parts []transmission
		granted := 0
		for _, u := range uploads {
			grant, err := s.Reserve(body(u.bytes, uploadTarget, u.at), u.at)
			if err != nil {
				continue
			}
			granted += u.bytes
			parts = append(parts, pacedParts(u, grant)...)
		}
		is.True(float64(granted) >= 0.9*linkShare*narrowLink*seconds)
		for _, x := range deliver(merge(parts, calls)) {
			wait := x.arrived.Sub(x.at)
			is.True(wait <= 4*duration(chunkBytes, narrowLink))
		}
	}
}

// pacedParts returns the parts in which a granted body is sent.
func pacedParts(u transmission, g Grant) []transmission {
	now := u.at.Add(g.Wait)
	p := NewPacer(g.BytesPerSecond, now)
	var parts []transmission
	for left := u.bytes; left > 0; {
		n, wait := p.Next(left, now)
		now = now.Add(wait)
		left -= n
		parts = append(parts, transmission{at: now, bytes: n})
	}
	return parts
}

// merge returns both lists in order of time.
func merge(a, b []transmission) []transmission {
	all := make([]transmission, 0, len(a)+len(b))
	for len(a)+len(b) > 0 {
		if len(b) == 0 || len(a) > 0 && a[0].at.Before(b[0].at) {
			all, a = append(all, a[0]), a[1:]
		} else {
			all, b = append(all, b[0]), b[1:]
		}
	}
	return all
}
