package backend

import (
	"context"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// departureLog is a DepartureLog in memory. While fault is set, its calls fail.
type departureLog struct {
	mu    sync.Mutex
	last  endpoint.Departure
	fault error
}

func (l *departureLog) Last(context.Context) (endpoint.Departure, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last, l.fault
}

func (l *departureLog) Record(_ context.Context, d endpoint.Departure) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault == nil {
		l.last = d
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
	is.Equal(log.last.ServerID, "i-1")
	is.Equal(log.last.StartedMS, int64(100))
}

// Guards against a server that is used although the departures cannot be read yet, and that stays in use
// once they are.
func TestAnnouncementBeforeDeparturesAreKnown(t *testing.T) {
	is := is.New(t)
	s := startFake(t, reply(okResponse))
	log := &departureLog{last: endpoint.Departure{ServerID: "i-1", StartedMS: 100}, fault: errors.New("the platform is away")}
	b := New(Config{Departures: log, Lifetime: testLifetime}, event.Nop())
	defer b.Close()
	is.True(errors.Is(b.Announce(announcementOf(s, "i-1", 100, 6, "ready")), ErrUnconfirmed))
	is.Equal(b.State(), endpoint.Gone)
	b.started = b.started.Add(-loadGrace) // a long outage
	is.NoErr(b.Announce(announcementOf(s, "i-1", 100, 6, "ready")))
	is.Equal(b.State(), endpoint.Ready)
	log.setFault(nil)
	<-b.loaded
	is.Equal(b.State(), endpoint.Draining)
}
