// Package backend connects a daemon to the backend server on its instance: the announcements of the
// backend server, a pool of connections opened in advance, and the exchange of one request in the
// goroutine of its call.
package backend

import (
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/dialect"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

const (
	// announcementLifetime is the time after which an announcement that is not renewed has expired,
	// unless Config.Lifetime says otherwise. Backend servers renew it every second.
	announcementLifetime = 3 * time.Second
	// maintainInterval is the pause between two checks of the announcement and of the idle
	// connections.
	maintainInterval = 250 * time.Millisecond
	// dialTimeout bounds the opening of a connection in advance.
	dialTimeout = time.Second
)

// Config configures a Backend. The zero value is usable.
type Config struct {
	// Changed is called after a change of the announced values or of the state, one call
	// at a time; it must not call Close. It may be nil.
	Changed func(Status)
	// Now is the clock, time.Now if nil.
	Now func() time.Time
	// Dialect marks the requests; nil stands for dialect.Default.
	Dialect *dialect.Dialect
	// Lifetime is the time after which an announcement that is not renewed has expired; zero means 3 s.
	Lifetime time.Duration
}

// Status describes the backend server as its daemon sees it.
type Status struct {
	Announcement
	State endpoint.State
}

// Backend is the backend server beside this daemon. It is safe for concurrent use.
type Backend struct {
	cfg  Config
	log  *event.Logger
	wake chan struct{}
	stop chan struct{}
	done chan struct{}

	// notify serialises the calls of Config.Changed; it is taken before mu.
	notify   sync.Mutex
	reported Status

	mu      sync.Mutex
	current announced
	renewed time.Time
	// left is the lifetime that has told that it stops.
	left    lifetime
	refused bool // a connection was refused since the last renewal
	pool    pool
	closed  bool
}

// New returns a Backend without an announcement; its state is Gone. Close ends its goroutine.
func New(cfg Config, log *event.Logger) *Backend {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Dialect == nil {
		cfg.Dialect = &dialect.Default
	}
	if cfg.Lifetime == 0 {
		cfg.Lifetime = announcementLifetime
	}
	b := &Backend{
		cfg: cfg, log: log,
		wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
		reported: Status{State: endpoint.Gone},
	}
	go b.maintain()
	return b
}

// Close closes the idle connections and stops opening new ones. Requests in flight finish.
func (b *Backend) Close() {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return
	}
	b.closed = true
	b.pool.reset("", "")
	b.mu.Unlock()
	close(b.stop)
	<-b.done
}

// State returns the announced state, or Gone if there is no announcement, it has expired or the
// backend server refused a connection since.
func (b *Backend) State() endpoint.State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state()
}

// Status returns the announced values with the current state.
func (b *Backend) Status() Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	status := Status{Announcement: b.current.Announcement, State: b.state()}
	status.Sequence = 0 // it changes with each announcement
	return status
}

func (b *Backend) state() endpoint.State {
	if b.current.state == 0 || b.refused || b.cfg.Now().Sub(b.renewed) > b.cfg.Lifetime {
		return endpoint.Gone
	}
	return b.current.state
}

// announce takes over a checked announcement unless it is outdated. Connections to an earlier lifetime of
// the backend server are not used again.
func (b *Backend) announce(a announced) {
	b.mu.Lock()
	if b.outdated(&a) {
		b.mu.Unlock()
		return
	}
	if a.Address != b.pool.addr || a.ID != b.current.ID || a.StartedMS != b.current.StartedMS {
		b.pool.reset(a.Address, a.ID)
	}
	b.pool.limit = a.Connections
	b.pool.wakeWaiters()
	b.current, b.renewed, b.refused = a, b.cfg.Now(), false
	b.mu.Unlock()
	b.report()
	b.wakeMaintain()
}

// refuse records that the backend server at addr refused a connection.
func (b *Backend) refuse(addr string) {
	b.mu.Lock()
	known := addr == b.pool.addr
	if known {
		b.refused = true
		b.pool.closeIdle()
	}
	b.mu.Unlock()
	if known {
		b.report()
	}
}

// report calls Config.Changed if the status differs from the last reported one.
func (b *Backend) report() {
	b.notify.Lock()
	defer b.notify.Unlock()
	status := b.Status()
	if status == b.reported {
		return
	}
	b.reported = status
	e := event.BackendAnnounced
	if status.State == endpoint.Gone {
		e = event.BackendGone
	}
	b.log.Log(e, zap.String("service", status.Service), zap.String("address", status.Address), zap.Stringer("state", status.State))
	if b.cfg.Changed != nil {
		b.cfg.Changed(status)
	}
}

func (b *Backend) wakeMaintain() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// maintain notices expired announcements and opens connections in advance.
func (b *Backend) maintain() {
	defer close(b.done)
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-b.stop:
			return
		case <-ticker.C:
		case <-b.wake:
		}
		b.report()
		b.preopen()
	}
}

// preopen opens connections until there is one for each slot of a ready backend server.
func (b *Backend) preopen() {
	for {
		b.mu.Lock()
		missing := !b.closed && b.state() == endpoint.Ready &&
			b.pool.open < min(b.current.Slots, b.pool.limit)
		if !missing {
			b.mu.Unlock()
			return
		}
		ticket := b.pool.reserve()
		b.mu.Unlock()
		dialer := net.Dialer{Timeout: dialTimeout}
		raw, err := dialer.Dial("tcp", ticket.addr)
		if err != nil {
			b.dialFailed(ticket, err)
			return
		}
		b.release(newConn(raw, ticket))
	}
}
