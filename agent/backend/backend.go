// Package backend connects a daemon to the backend server on its instance. It processes the
// announcements of the backend server, keeps a pool of connections that are opened in advance, and
// performs the HTTP exchange of a request in the goroutine of the calling code.
package backend

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/dialect"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

const (
	// announcementLifetime is the default of Config.Lifetime. Backend servers renew their
	// announcement every second.
	announcementLifetime = 3 * time.Second
	// maintainInterval is the interval between checks for an expired announcement and for missing
	// connections.
	maintainInterval = 250 * time.Millisecond
	// dialTimeout is the timeout for opening a connection in advance.
	dialTimeout = time.Second
	// rejectLogInterval is the minimum interval between log lines about rejected announcements, and between those
	// about responses without a valid status.
	rejectLogInterval = 10 * time.Second
)

// Config configures a Backend. The zero value is usable.
type Config struct {
	// Changed is called after the announced values or the state have changed. Calls are serialized.
	// It must not call Close and may be nil.
	Changed func(Status)
	// Now is the clock, time.Now if nil.
	Now func() time.Time
	// Dialect defines the headers that are added to requests; nil means dialect.Default.
	Dialect *dialect.Dialect
	// Lifetime is the time after which an announcement that is not renewed expires; zero means 3 s.
	Lifetime time.Duration
	// Service is that of the backend server on this instance. If it is set, announcements of another service are
	// rejected.
	Service string
	// HostIP is the address of this instance. If it is set, announcements with an address of another
	// host are rejected; loopback addresses are accepted.
	HostIP netip.Addr
	// Departures keeps the departures beyond the process; nil means that they are kept in memory only.
	Departures DepartureLog
	// Departed is called with each departure before it is recorded, so that other daemons remember it. Remembered
	// asks them for the departures on this instance and returns an error if none answers; LogIncomplete reports
	// whether Departures may have lost some. All three may be nil.
	Departed      func(endpoint.DepartureMark)
	Remembered    func(ctx context.Context) ([]endpoint.DepartureMark, error)
	LogIncomplete func() bool
}

// Status holds the announced values of the backend server and its current state.
type Status struct {
	Announcement
	State endpoint.State
}

// Backend represents the backend server on the instance of this daemon. It is safe for concurrent
// use.
type Backend struct {
	cfg         Config
	log         *event.Logger
	memory      responseMemory
	maintainNow chan struct{}
	// rejected counts the invalid announcements; rejectLog limits the log lines about them.
	rejected  atomic.Uint64
	rejectLog rate.Sometimes
	// ignoredLog limits the log lines about announcements of servers that have left.
	ignoredLog rate.Sometimes
	// badResponses counts the responses without a valid status; badResponseLog limits the log lines about them.
	badResponses   atomic.Uint64
	badResponseLog rate.Sometimes

	stop    chan struct{}
	done    chan struct{}
	started time.Time
	// running ends with Close. loaded is closed when the departures of earlier processes are known;
	// loading waits for the goroutines that read them.
	running context.Context
	end     context.CancelFunc
	loaded  chan struct{}
	loading sync.WaitGroup

	// recording serializes the calls of Config.Departures.Record; it is locked before mu.
	recording sync.Mutex

	// notify serializes the calls of Config.Changed; it is locked before mu.
	notify   sync.Mutex
	reported Status

	mu        sync.Mutex
	current   checkedAnnouncement
	renewedAt time.Time
	// departures are those of the backend servers on this instance, logRead means that they include those of
	// earlier processes. noted counts the departures noted by this process, and recorded how many of them
	// Config.Departures keeps.
	departures      endpoint.Departures
	logRead         bool
	noted, recorded int
	// returning tracks the announcements of a process that departures cover.
	returning liveness
	// remembered holds the answers of Config.Remembered, told is the mark that Config.Departed was last called with.
	remembered []endpoint.DepartureMark
	told       endpoint.DepartureMark
	// starting tracks the announcements that arrive before the departures of earlier processes are known, hidden
	// those that seem to be older than the current one.
	starting, hidden liveness

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
		cfg: cfg, log: log, rejectLog: rate.Sometimes{Interval: rejectLogInterval}, ignoredLog: rate.Sometimes{Interval: rejectLogInterval}, badResponseLog: rate.Sometimes{Interval: rejectLogInterval},
		maintainNow: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
		reported: Status{State: endpoint.Gone}, started: time.Now(), loaded: make(chan struct{}),
	}
	b.running, b.end = context.WithCancel(context.Background())
	if cfg.Departures == nil {
		close(b.loaded)
	} else {
		b.loading.Go(b.loadDepartures)
		if cfg.Remembered != nil {
			b.loading.Go(b.askWhileUnknown)
		}
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
	b.end()
	<-b.done
	b.loading.Wait()
}

// State returns the announced state. It returns Gone if there is no announcement, if it has
// expired, or if the backend server has refused a connection since.
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
	status.Sequence, status.ColdLeft = 0, 0 // they change with each announcement, which must not count as a change
	return status
}

// Cold reports whether the server has announced that it is still slow after its start.
func (b *Backend) Cold() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cfg.Now().Sub(b.renewedAt) < b.current.ColdLeft
}

func (b *Backend) state() endpoint.State {
	if b.current.state == 0 || b.refused || b.cfg.Now().Sub(b.renewedAt) > b.cfg.Lifetime {
		return endpoint.Gone
	}
	return b.current.state
}

// apply applies a checked announcement unless it is outdated. Connections to an earlier lifetime of
// the backend server are not reused. changed means that the departures have changed.
func (b *Backend) apply(a checkedAnnouncement) (changed bool) {
	b.mu.Lock()
	before := b.noted
	if b.outdated(&a) {
		b.mu.Unlock()
		return false
	}
	if a.Address != b.pool.addr || a.ID != b.current.ID || a.StartedMS != b.current.StartedMS {
		b.pool.reset(a.Address, a.ID)
	}
	b.pool.maxOpen = a.Connections
	b.pool.wakeWaiters()
	b.current, b.renewedAt, b.refused = a, b.cfg.Now(), false
	if a.state == endpoint.Draining {
		b.depart(a.ID, a.StartedMS)
	}
	changed = b.noted != before
	b.mu.Unlock()
	b.report()
	b.triggerMaintain()
	return changed
}

// markRefused records that the backend server at addr refused a connection.
func (b *Backend) markRefused(addr string) {
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
	b.log.Log(e, zap.String("service", status.Service), zap.String("id", status.ID), zap.String("address", status.Address), zap.Stringer("state", status.State))
	if b.cfg.Changed != nil {
		b.cfg.Changed(status)
	}
}

func (b *Backend) triggerMaintain() {
	select {
	case b.maintainNow <- struct{}{}:
	default:
	}
}

// maintain detects an expired announcement and opens connections in advance.
func (b *Backend) maintain() {
	defer close(b.done)
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-b.stop:
			return
		case <-ticker.C:
		case <-b.maintainNow:
		}
		b.report()
		b.preopen()
	}
}

// preopen opens connections until a ready backend server has one for each of its slots.
func (b *Backend) preopen() {
	for {
		b.mu.Lock()
		missing := !b.closed && b.state() == endpoint.Ready &&
			b.pool.open < min(b.current.Slots, b.pool.maxOpen)
		if !missing {
			b.mu.Unlock()
			return
		}
		reserved := b.pool.reserve()
		b.mu.Unlock()
		dialer := net.Dialer{Timeout: dialTimeout}
		raw, err := dialer.Dial("tcp", reserved.addr)
		if err != nil {
			b.dialFailed(reserved, err)
			return
		}
		b.release(newConn(raw, reserved, &b.memory))
	}
}
