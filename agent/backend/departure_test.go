package backend

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// departureLog is a DepartureLog in memory. While fault is set, its calls fail.
type departureLog struct {
	mu    sync.Mutex
	list  endpoint.Departures
	fault error
	// records counts the calls of Record.
	records int
}

func (l *departureLog) Load(context.Context) (endpoint.Departures, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list, l.fault
}

func (l *departureLog) Record(_ context.Context, list endpoint.Departures) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records++
	if l.fault == nil {
		l.list = list
	}
	return l.fault
}

func (l *departureLog) setFault(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = err
}

func announcementOf(s *fakeServer, id string, started int64, sequence uint64, state string) Announcement {
	return Announcement{
		Service: "pages", Address: s.listener.Addr().String(), State: state, Slots: 1, Connections: 1, ID: id, StartedMS: started, Sequence: sequence,
	}
}

// Guards against a backend server that has left and is ready again because a message of before reaches
// the next process of the daemon, or one without a start time; and against a refusal of its successor.
func TestDepartureOutlivesTheProcess(t *testing.T) {
	is := is.New(t)
	s := startFake(t, reply(okResponse))
	leavings := map[string]func(b *Backend){
		"left":             func(b *Backend) { is.NoErr(b.Leave("i-1")) },
		"draining":         func(b *Backend) { is.NoErr(b.Announce(announcementOf(s, "i-1", 100, 8, "draining"))) },
		"left after start": nil, // the message reaches a process to which the server has not announced itself
	}
	for name, leave := range leavings {
		log := &departureLog{}
		b := New(Config{Departures: log, Lifetime: testLifetime}, event.Nop())
		if leave != nil {
			is.NoErr(b.Announce(announcementOf(s, "i-1", 100, 7, "ready")))
			leave(b)
		} else {
			is.NoErr(b.Leave("i-1"))
		}
		is.NoErr(b.Announce(announcementOf(s, "i-1", 100, 9, "ready")))
		is.True(b.State() != endpoint.Ready)
		b.Close()
		b = New(Config{Departures: log, Lifetime: testLifetime}, event.Nop())
		is.NoErr(b.Announce(announcementOf(s, "i-1", 100, 6, "ready"))) // late
		is.Equal(b.State(), endpoint.Gone)
		is.NoErr(b.Announce(announcementOf(s, "i-1", 0, 6, "ready"))) // of unknown age
		is.Equal(b.State(), endpoint.Gone)
		is.NoErr(b.Announce(announcementOf(s, "i-1", 100, 9, "draining"))) // it says the same once more
		is.Equal(b.State(), endpoint.Draining)
		restarted := announcementOf(s, "i-1", b.cfg.Now().Add(maxStartAhead/2).UnixMilli(), 1, "ready")
		is.NoErr(b.Announce(restarted)) // another process with the same ID
		if b.State() != endpoint.Ready {
			t.Errorf("%s: the restarted server is not used", name)
		}
		b.Close()
	}
}

// Guards against the confirmation of a departure that is kept in memory only, and against requests to the
// server until it is confirmed.
func TestDepartureIsConfirmedOnceRecorded(t *testing.T) {
	is := is.New(t)
	s := startFake(t, reply(okResponse))
	log := &departureLog{}
	b := New(Config{Departures: log, Lifetime: testLifetime}, event.Nop())
	defer b.Close()
	is.NoErr(b.Announce(announcementOf(s, "i-1", 100, 7, "ready")))
	log.setFault(errors.New("the platform is away"))
	is.True(errors.Is(b.Announce(announcementOf(s, "i-1", 100, 8, "draining")), ErrUnconfirmed))
	is.Equal(b.State(), endpoint.Draining)
	is.True(errors.Is(b.Leave("i-1"), ErrUnconfirmed))
	log.setFault(nil)
	is.NoErr(b.Leave("i-1"))
	is.Equal(log.list.Last().ServerID, "i-1")
	is.True(log.list.CoversExactly("i-1", 100))
}

// Guards against a server that is used because of a single message while the departures cannot be read, against one
// that is not used although it goes on, and against one that stays in use once they can be read.
func TestAnnouncementBeforeDeparturesAreKnown(t *testing.T) {
	is := is.New(t)
	s := startFake(t, reply(okResponse))
	log := &departureLog{list: endpoint.Departures{{ServerID: "i-1", StartedMS: 100}}, fault: errors.New("the platform is away")}
	var ahead atomic.Int64
	now := func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
	b := New(Config{Departures: log, Lifetime: testLifetime, Now: now}, event.Nop())
	defer b.Close()
	unconfirmed := func(sequence uint64) {
		t.Helper()
		is.True(errors.Is(b.Announce(announcementOf(s, "i-1", 100, sequence, "ready")), ErrUnconfirmed))
		is.Equal(b.State(), endpoint.Gone)
	}
	unconfirmed(6)
	ahead.Add(int64(2 * startSpan)) // a long outage
	unconfirmed(6)                  // the same message
	unconfirmed(7)
	is.NoErr(b.Announce(announcementOf(s, "i-1", 100, 8, "ready")))
	is.Equal(b.State(), endpoint.Ready)
	log.setFault(nil)
	<-b.loaded
	is.Equal(b.State(), endpoint.Draining)
}

// Guards against a server that is used again after a restart of its daemon that cannot read the platform, although
// other daemons remember its departure (review/8), or because the platform has lost it; and against a refusal of
// its successor, also after the clock was stepped back.
func TestDepartureThatOtherDaemonsRemember(t *testing.T) {
	is := is.New(t)
	s := startFake(t, reply(okResponse))
	var told []endpoint.DepartureMark
	b := New(Config{Departures: &departureLog{}, Departed: func(mark endpoint.DepartureMark) { told = append(told, mark) }}, event.Nop())
	is.NoErr(b.Announce(announcementOf(s, "i-1", 100, 7, "ready")))
	is.NoErr(b.Leave("i-1"))
	b.Close()
	is.Equal(len(told), 1)
	for _, restored := range []bool{false, true} {
		log := &departureLog{}
		if !restored {
			log.fault = errors.New("the platform is away")
		}
		asked := make(chan struct{}, 100)
		remembered := func(context.Context) ([]endpoint.DepartureMark, error) {
			asked <- struct{}{}
			return told, nil
		}
		b := New(Config{Departures: log, Remembered: remembered, LogIncomplete: func() bool { return restored }, Lifetime: testLifetime}, event.Nop())
		<-asked
		late := announcementOf(s, "i-1", 100, 9, "ready")
		for n := range uint64(4) {
			late.Sequence += n
			_ = b.Announce(late) // unconfirmed at first unless the platform can be read
			is.Equal(b.State(), endpoint.Gone)
			b.mu.Lock()
			b.starting.first = b.starting.first.Add(-startSpan)
			b.mu.Unlock()
		}
		next := announcementOf(s, "i-2", 200, 1, "ready")
		for b.Announce(next) != nil {
			next.Sequence++
			b.mu.Lock()
			b.starting.first = b.starting.first.Add(-startSpan)
			b.mu.Unlock()
		}
		is.Equal(b.State(), endpoint.Ready)
		b.started = b.started.Add(-lateMessages)
		b.mu.Lock()
		is.True(!b.hasDeparted(&checkedAnnouncement{Announcement: Announcement{ID: "i-1", StartedMS: 100}}))
		b.mu.Unlock()
		b.Close()
	}
}

// Guards against an old departure that replaces a later one when it is recorded again after a restore of the
// platform's store, and against one that is recorded though it no longer matters.
func TestDepartureIsRecordedAgain(t *testing.T) {
	is := is.New(t)
	s := startFake(t, reply(okResponse))
	log := &departureLog{}
	var ahead atomic.Int64
	now := func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
	b := New(Config{Departures: log, Lifetime: testLifetime, Now: now}, event.Nop())
	defer b.Close()
	is.Equal(b.RecordAgain(t.Context(), 0), 0)
	is.NoErr(b.Announce(announcementOf(s, "i-1", 100, 7, "ready")))
	is.NoErr(b.Leave("i-1"))
	log.mu.Lock()
	log.list = nil
	log.mu.Unlock()
	log.setFault(errors.New("the platform is away"))
	again := make(chan int)
	go func() { again <- b.RecordAgain(t.Context(), time.Minute) }() // sooner, as it is recent
	time.Sleep(2 * recentDelay)
	is.NoErr(b.Announce(announcementOf(s, "i-2", 200, 1, "ready")))
	is.True(errors.Is(b.Leave("i-2"), ErrUnconfirmed))
	log.setFault(nil)
	is.Equal(<-again, 1)
	is.Equal(log.list.Last().ServerID, "i-2")
	ahead.Store(int64(2 * endpoint.DepartureRetention))
	is.Equal(b.RecordAgain(t.Context(), 0), 0)
}

// Guards against requests to a server that left before its first announcement arrived, while another server had
// been announced (review/6).
func TestDepartureOfAServerThatWasNotAnnounced(t *testing.T) {
	is := is.New(t)
	s := startFake(t, reply(okResponse))
	log := &departureLog{}
	b := New(Config{Departures: log, Lifetime: testLifetime}, event.Nop())
	is.NoErr(b.Announce(announcementOf(s, "i-first", 100, 7, "ready")))
	is.NoErr(b.Leave("i-second"))
	is.NoErr(b.Announce(announcementOf(s, "i-second", 200, 1, "ready"))) // late
	is.Equal(b.Status().ID, "i-first")
	b.Close()
	b = New(Config{Departures: log, Lifetime: testLifetime}, event.Nop())
	defer b.Close()
	is.NoErr(b.Announce(announcementOf(s, "i-second", 200, 1, "ready"))) // later still
	is.Equal(b.State(), endpoint.Gone)
}

// Guards against a departure that is forgotten when the next server leaves, in the process or in the log.
func TestDeparturesInSuccession(t *testing.T) {
	is := is.New(t)
	s := startFake(t, reply(okResponse))
	log := &departureLog{}
	b := New(Config{Departures: log, Lifetime: testLifetime}, event.Nop())
	is.NoErr(b.Announce(announcementOf(s, "i-1", 100, 7, "ready")))
	is.NoErr(b.Leave("i-1"))
	is.NoErr(b.Leave("i-2"))
	is.NoErr(b.Announce(announcementOf(s, "i-1", 100, 8, "ready"))) // late
	is.Equal(b.State(), endpoint.Draining)
	b.Close()
	log.setFault(errors.New("the platform is away"))
	b = New(Config{Departures: log, Lifetime: testLifetime}, event.Nop())
	defer b.Close()
	is.True(errors.Is(b.Leave("i-3"), ErrUnconfirmed)) // before the earlier ones are known
	log.setFault(nil)
	is.NoErr(b.Leave("i-3"))
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		is.True(log.list.Covers(id, 100))
	}
}

// Guards against requests to a server that started again under its ID and left before its first announcement
// arrived: its departure was taken for that of the process announced before (review/7).
func TestDepartureOfAServerThatStartedAgain(t *testing.T) {
	is := is.New(t)
	s := startFake(t, reply(okResponse))
	log := &departureLog{}
	b := New(Config{Departures: log, Lifetime: testLifetime}, event.Nop())
	started := b.cfg.Now().Add(-time.Second).UnixMilli()
	is.NoErr(b.Announce(announcementOf(s, "i-1", 100, 7, "ready")))
	is.NoErr(b.Leave("i-1"))
	late := announcementOf(s, "i-1", started, 1, "ready")
	is.NoErr(b.Announce(late))
	is.Equal(b.State(), endpoint.Draining)
	b.Close()
	b = New(Config{Departures: log, Lifetime: testLifetime}, event.Nop())
	defer b.Close()
	is.NoErr(b.Announce(late))
	is.Equal(b.State(), endpoint.Gone)
}

// Guards against a server that lives and stays out for good because the departure of an earlier process under its ID
// arrived late, and against a server that is used again because of a few late messages.
func TestDepartureIsRefutedByTheServer(t *testing.T) {
	is := is.New(t)
	s := startFake(t, reply(okResponse))
	log := &departureLog{}
	var ahead atomic.Int64
	now := func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
	b := New(Config{Departures: log, Lifetime: testLifetime, Now: now}, event.Nop())
	started := now().Add(-time.Second).UnixMilli()
	next := announcementOf(s, "i-1", started, 0, "ready")
	announce := func() {
		next.Sequence++
		is.NoErr(b.Announce(next))
	}
	announce()
	is.NoErr(b.Leave("i-1")) // of the process before
	announce()
	ahead.Add(int64(lateMessages))
	announce()
	is.True(b.State() != endpoint.Ready) // too few
	is.NoErr(b.Announce(next))           // repeated
	is.True(b.State() != endpoint.Ready)
	announce()
	is.Equal(b.State(), endpoint.Ready)
	is.True(!log.list.Covers("i-1", started))
	is.True(log.list.Covers("i-1", started-1))

	next.State = "draining"
	announce()
	next.State = "ready"
	for range 3 {
		ahead.Add(int64(lateMessages))
		announce()
	}
	is.True(b.State() != endpoint.Ready) // it said so itself
	b.Close()
}

// Guards against a write to the store for each repetition of a departure, and against one that does not fit into it.
func TestRepeatedDepartureIsRecordedOnce(t *testing.T) {
	is := is.New(t)
	s := startFake(t, reply(okResponse))
	log := &departureLog{}
	b := New(Config{Departures: log, Lifetime: testLifetime}, event.Nop())
	defer b.Close()
	is.NoErr(b.Announce(announcementOf(s, "i-1", 100, 1, "draining")))
	is.NoErr(b.Leave("i-1"))
	is.NoErr(b.Leave("i-2"))
	is.NoErr(b.Leave("i-2"))
	is.True(b.Leave(strings.Repeat("i", maxIDBytes+1)) != nil)
	is.NoErr(b.Announce(announcementOf(s, "i-3", 0, 1, "draining")))
	is.NoErr(b.Announce(announcementOf(s, "i-3", 0, 2, "draining")))
	log.mu.Lock()
	defer log.mu.Unlock()
	is.Equal(log.records, 3)
}
