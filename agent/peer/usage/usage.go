// Package usage keeps the usage caps of client accounts over all daemons. It exchanges the messages of pkg/usagecap as
// datagrams and lets requests wait for them.
package usage

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/membership"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
	"kingcupwood.example/kingcupwood/pkg/usagecap"
)

const (
	// urgentDelay and advanceDelay are the times for which queries wait for others to the same daemon: with a request
	// that waits, and in advance.
	urgentDelay  = 500 * time.Microsecond
	advanceDelay = 5 * time.Millisecond
	// refreshInterval is the least interval between views of the fleet. The cost of a view grows with the fleet, and so
	// does the interval, up to maxRefreshInterval.
	refreshInterval    = 250 * time.Millisecond
	refreshPerMember   = 100 * time.Microsecond
	maxRefreshInterval = 2 * time.Second
	// unchangedInterval is the interval between views while the membership does not change.
	unchangedInterval = 5 * time.Second
	// sweepInterval is the interval between removals of accounts that are not in use.
	sweepInterval = time.Second
	// logInterval is the least interval between log events of the same kind.
	logInterval = 10 * time.Second
)

// Members is the membership of a daemon.
type Members interface {
	Do(func(now time.Time, s *membership.State))
	View() *endpoint.View
	// Send sends a message to the daemon with this address for probes.
	Send(to netip.AddrPort, message []byte)
}

// Config holds the dependencies of Caps. All fields are required.
type Config struct {
	Instance string
	Bounds   usagecap.Bounds
	Members  Members
	// Known returns a lower bound of the number of daemons, such as from the directory.
	Known func() int
	// Snapshot returns the snapshot in force, or nil.
	Snapshot func() *snapshot.Snapshot
	Log      *event.Logger
}

// Caps implements caller.UsageCaps.
type Caps struct {
	config Config
	node   *usagecap.Node
	// base is the origin of the monotonic clock.
	base time.Time

	// mu guards the queries that wait to be sent.
	mu      sync.Mutex
	pending []*usagecap.Balance
	timer   *time.Timer
	flushAt time.Time

	// refreshed, swept and loggedShare are used by Run only.
	refreshed, swept time.Time
	view             *endpoint.View
	silent           bool
	loggedShare      float64
	metrics          metrics
	// malformedLog, ownerLog and absentLog bound the log events of these kinds.
	malformedLog, ownerLog, absentLog rate.Sometimes
}

// New returns the usage caps of a daemon that starts now.
func New(config Config) *Caps {
	c := &Caps{
		config: config, base: time.Now(),
		malformedLog: rate.Sometimes{Interval: logInterval}, ownerLog: rate.Sometimes{Interval: logInterval},
		absentLog: rate.Sometimes{Interval: logInterval},
	}
	c.node = usagecap.NewNode(c.now(), config.Instance, config.Bounds, rand.Uint64)
	return c
}

func (c *Caps) now() usagecap.Instant { return c.instant(time.Now()) }

func (c *Caps) instant(t time.Time) usagecap.Instant {
	return usagecap.Instant{Mono: t.Sub(c.base), Wall: time.Duration(t.UnixNano())}
}

// Run follows the membership until ctx is done.
func (c *Caps) Run(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		c.tick()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Caps) tick() {
	now, wall := c.now(), time.Now()
	if c.node.Touch(now) {
		c.config.Log.Log(event.UsageBucketsDiscarded)
	}
	if c.changed(wall) {
		c.refresh(now)
		c.refreshed = wall
	}
	if wall.Sub(c.swept) >= sweepInterval {
		c.metrics.borrowed.Set(int64(c.node.Sweep(now)))
		c.swept = wall
	}
}

// changed reports whether a new view of the fleet is needed.
func (c *Caps) changed(now time.Time) bool {
	age := now.Sub(c.refreshed)
	if age < min(time.Duration(c.metrics.members.Value())*refreshPerMember, maxRefreshInterval) {
		return false
	}
	silent, view := false, c.config.Members.View()
	c.config.Members.Do(func(now time.Time, s *membership.State) { silent = s.Silent(now) })
	if view == c.view && silent == c.silent && !c.node.Rising() && age < unchangedInterval {
		return false
	}
	c.view, c.silent = view, silent
	return true
}

// refresh applies the present view of the members.
func (c *Caps) refresh(now usagecap.Instant) {
	var fleet []membership.FleetMember
	c.config.Members.Do(func(now time.Time, s *membership.State) { fleet = s.Fleet(now) })
	members := make([]usagecap.Member, len(fleet))
	for i := range fleet {
		members[i] = c.member(&fleet[i])
	}
	c.metrics.members.Set(int64(len(members)))
	c.node.Update(now, members, c.config.Known())
	if share := c.node.Share(); share != c.loggedShare {
		c.config.Log.Log(event.UsageShareChanged, zap.Float64("share", share), zap.Int("members", len(members)+1))
		c.loggedShare = share
	}
}

func (c *Caps) member(f *membership.FleetMember) usagecap.Member {
	m := usagecap.Member{
		Instance: string(f.Instance), Addr: f.Addr, Since: c.instant(f.Since),
		StartedWall: time.Duration(f.Incarnation) * time.Millisecond,
	}
	switch {
	case f.Left:
		m.Presence = usagecap.Left
	case f.Status == membership.Dead:
		m.Presence = usagecap.Dead
	case !f.Reachable:
		m.Presence = usagecap.Unreachable
	case f.Status == membership.Suspect:
		m.Presence = usagecap.Suspect
	}
	return m
}

// Handle handles a message of another daemon and reports whether it is one of usage caps.
func (c *Caps) Handle(from netip.AddrPort, data []byte) bool {
	if !usagecap.IsMessage(data) {
		return false
	}
	m, err := usagecap.Decode(data)
	if err != nil {
		c.metrics.malformed.Add(1)
		c.malformedLog.Do(func() {
			c.config.Log.Log(event.UsageMalformed, zap.Stringer("from", from), zap.Error(err), zap.Int64("malformed", c.metrics.malformed.Value()))
		})
		return true
	}
	for i := range m.Queries {
		c.useOwnLimit(&m.Queries[i])
	}
	replies, stale := c.node.Handle(c.now(), m)
	c.metrics.repliesReceived.Add(int64(len(m.Replies)))
	c.metrics.staleReplies.Add(int64(stale))
	c.metrics.repliesSent.Add(int64(len(replies)))
	usagecap.Split(c.config.Instance, nil, replies, func(message []byte) { c.config.Members.Send(from, message) })
	return true
}

// useOwnLimit replaces the cap in a query if the configuration of this daemon is newer.
func (c *Caps) useOwnLimit(q *usagecap.Query) {
	snap := c.config.Snapshot()
	if snap == nil || uint64(snap.Version) <= q.Version {
		return
	}
	if a := snap.Account(q.Account); a != nil {
		q.Rate, q.Burst, q.Version = a.Rate, a.Burst, uint64(snap.Version)
	}
}

// enqueue sends the query of an account with others to the same daemon, after a short delay.
func (c *Caps) enqueue(p *usagecap.Balance, urgent bool) {
	delay := advanceDelay
	if urgent {
		delay = urgentDelay
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, p)
	at := time.Now().Add(delay)
	if len(c.pending) > 1 && !at.Before(c.flushAt) {
		return
	}
	c.flushAt = at
	if c.timer == nil {
		c.timer = time.AfterFunc(delay, c.flush)
		return
	}
	c.timer.Reset(delay)
}

// flush sends the queries that wait.
func (c *Caps) flush() {
	c.mu.Lock()
	pending := c.pending
	c.pending = nil
	c.mu.Unlock()
	queries := map[netip.AddrPort][]usagecap.Query{}
	for _, p := range pending {
		now := c.now()
		addr, own := p.Owner()
		q, ok := p.Query(now)
		if !ok {
			continue
		}
		if own { // it has become the owner in the meantime
			reply := c.node.Lend(now, usagecap.Hash(c.config.Instance), &q)
			p.Receive(now, &reply)
			continue
		}
		queries[addr] = append(queries[addr], q)
	}
	for addr, list := range queries {
		c.metrics.queriesSent.Add(int64(len(list)))
		usagecap.Split(c.config.Instance, list, nil, func(message []byte) { c.config.Members.Send(addr, message) })
	}
}
