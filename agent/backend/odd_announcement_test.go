package backend

import (
	"math"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// Guards against an announcement of another writer that hides all later ones of the server, because
// its sequence or its start time is larger than those will ever be, and against one that names no
// usable server but replaces the one in use.
func TestOddAnnouncementDoesNotHideLaterOnes(t *testing.T) {
	now := time.Now()
	s := startFake(t, reply(okResponse))
	valid := Announcement{
		Service: "pages", Address: s.listener.Addr().String(), State: "ready", Slots: 4, Connections: 8,
		ID: "i-1", StartedMS: now.Add(-time.Minute).UnixMilli(), Sequence: 5,
	}
	for name, change := range map[string]func(a *Announcement){
		"largest sequence":          func(a *Announcement) { a.Sequence = math.MaxUint64 },
		"sequence beyond 2^53":      func(a *Announcement) { a.Sequence = 1<<53 + 2 },
		"largest start time":        func(a *Announcement) { a.StartedMS = math.MaxInt64 },
		"start time in microsec":    func(a *Announcement) { a.StartedMS *= 1000 },
		"negative start time":       func(a *Announcement) { a.StartedMS = -1 },
		"more slots than any":       func(a *Announcement) { a.Slots = math.MaxInt },
		"negative slots":            func(a *Announcement) { a.Slots = -1 },
		"more connections than any": func(a *Announcement) { a.Connections = math.MaxInt },
		"port 0":                    func(a *Announcement) { a.Address = "127.0.0.1:0" },
		"port out of range":         func(a *Announcement) { a.Address = "127.0.0.1:70000" },
		"host name":                 func(a *Announcement) { a.Address = "pages.example:80" },
		"unspecified address":       func(a *Announcement) { a.Address = "0.0.0.0:80" },
		"multicast address":         func(a *Announcement) { a.Address = "224.0.0.1:80" },
		"address of another host":   func(a *Announcement) { a.Address = "10.1.0.9:80" },
		"no service":                func(a *Announcement) { a.Service = "" },
		"another service":           func(a *Announcement) { a.Service = "nosuch" },
		"unknown state":             func(a *Announcement) { a.State = "lost" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cfg := Config{Now: func() time.Time { return now }, Service: "pages", HostIP: netip.MustParseAddr("10.1.0.7")}
			b := New(cfg, event.Nop())
			defer b.Close()
			is.NoErr(b.Announce(valid))
			odd := valid
			odd.Sequence++
			change(&odd)
			is.True(b.Announce(odd) != nil)
			is.Equal(b.State(), endpoint.Ready)
			is.Equal(b.Status().Address, valid.Address)
			later := valid
			later.Sequence, later.State = valid.Sequence+1, "draining"
			is.NoErr(b.Announce(later))
			is.Equal(b.State(), endpoint.Draining) // the later announcement is followed
		})
	}
}

// Guards against a server that stays out for good because one announcement of another writer, whose values are possible,
// seems to be newer than its own (review/10), and against an earlier server that replaces the one that goes on.
func TestPlausibleAnnouncementHidesTheServerUntilItExpires(t *testing.T) {
	s := startFake(t, reply(okResponse))
	for name, change := range map[string]func(a *Announcement){
		"higher sequence": func(a *Announcement) { a.Sequence = 1_000_000 },
		"later start":     func(a *Announcement) { a.StartedMS += 1000 },
		"another process": func(a *Announcement) { a.ID, a.StartedMS = "i-9", a.StartedMS+1000 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var ahead atomic.Int64
			now := func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
			b := New(Config{Now: now, Lifetime: 2 * time.Second}, event.Nop())
			defer b.Close()
			next := announcementOf(s, "i-1", now().Add(-time.Minute).UnixMilli(), 5, "ready")
			is.NoErr(b.Announce(next))
			odd := next
			change(&odd)
			is.NoErr(b.Announce(odd))
			for range 5 {
				ahead.Add(int64(time.Second))
				next.Sequence++
				is.NoErr(b.Announce(next))
			}
			is.Equal(b.State(), endpoint.Ready)
			is.Equal(b.Status().ID, "i-1")
			earlier := announcementOf(s, "i-0", next.StartedMS-1000, 1, "ready")
			for range 5 {
				ahead.Add(int64(time.Second))
				next.Sequence++
				earlier.Sequence++
				is.NoErr(b.Announce(next))
				is.NoErr(b.Announce(earlier))
				is.Equal(b.Status().ID, "i-1")
			}
		})
	}
}

// Guards against a log that grows with the announcements that another writer sends.
func TestRejectedAnnouncementsAreLoggedBounded(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zapcore.DebugLevel)
	b := New(Config{}, event.Wrap(zap.New(core)))
	defer b.Close()
	for range 1000 {
		is.True(b.Announce(Announcement{}) != nil)
	}
	is.Equal(logs.FilterMessage(event.AnnounceRejected.Text).Len(), 1)
}
