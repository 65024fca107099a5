package rollouts

import (
	"context"
	"sync"
	"time"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/rollout"
)

const (
	// pollTimeout bounds one question. A daemon that does not answer in time is left out of the round.
	pollTimeout = 400 * time.Millisecond
	// maxPolls bounds the questions that are open at a time.
	maxPolls = 64
	// unreachableAfter is the number of unanswered questions after which the handover no longer waits for
	// a daemon.
	unreachableAfter = 3
)

// counts holds what the daemons of a service have reported about one roll-out.
type counts struct {
	reports map[endpoint.InstanceID]*reported
	// old and target hold the responses of the versions.
	old, target rollout.Totals
	// step is the time of the last change of the share; history holds the moments since then within
	// recentWindow.
	step    moment
	history []moment
	// alone means that all requests go to the target.
	alone bool
	// notIdle lists the daemons for which the handover last waited.
	notIdle []string
}

// reported is the last report of one daemon.
type reported struct {
	Report
	incarnation uint64
	// missed is the number of questions without an answer since.
	missed int
}

// moment is the state of counts at one time.
type moment struct {
	at          time.Time
	old, target rollout.Totals
}

// poll asks the daemons of the service of r. It must be called without c.mu.
func (c *Coordinator) poll(ctx context.Context, r *run) {
	c.mu.Lock()
	e, ok := r.entry(c.lease.token)
	c.mu.Unlock()
	if !ok {
		return
	}
	text, _ := rollout.Encode([]rollout.Entry{e})
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	view := c.cfg.View()
	open := make(chan struct{}, maxPolls)
	var asking sync.WaitGroup
	for _, record := range view.ByService[r.order.Service] {
		if record.RPCAddr == "" || record.State == endpoint.Gone || view.Unreachable[record.Domain] {
			continue
		}
		open <- struct{}{}
		asking.Go(func() {
			defer func() { <-open }()
			report, err := c.ask(ctx, &record, Args{Entries: text})
			c.metrics.polls.Add(1)
			c.cfg.Tracker.Learn(rollout.Decode(report.Entries))
			c.mu.Lock()
			defer c.mu.Unlock()
			if err != nil {
				c.metrics.pollFailures.Add(1)
				r.counts.miss(record.Instance)
			} else if r.active {
				r.counts.add(r, &record, report)
			}
		})
	}
	asking.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	r.counts.remember(c.cfg.Now())
}

// ask asks one daemon, or the Tracker of this one.
func (c *Coordinator) ask(ctx context.Context, record *endpoint.Record, args Args) (Report, error) {
	if record.Instance == c.cfg.Instance {
		c.cfg.Tracker.Learn(rollout.Decode(args.Entries))
		return c.cfg.Tracker.Report(), nil
	}
	return c.peers.ask(ctx, record.RPCAddr, args)
}

func (c *counts) of(id endpoint.InstanceID) *reported {
	if c.reports == nil {
		c.reports, c.old, c.target = map[endpoint.InstanceID]*reported{}, rollout.Totals{}, rollout.Totals{}
	}
	if c.reports[id] == nil {
		c.reports[id] = &reported{}
	}
	return c.reports[id]
}

func (c *counts) miss(id endpoint.InstanceID) { c.of(id).missed++ }

// add adds what has been counted since the last report of a daemon. A daemon that has restarted counts
// from zero.
func (c *counts) add(r *run, record *endpoint.Record, report Report) {
	last := c.of(record.Instance)
	last.missed = 0
	if report.Service != r.order.Service {
		return
	}
	since := rollout.Totals(report.Kinds)
	restarted := last.incarnation != record.Incarnation || last.Order != report.Order || last.Version != report.Version ||
		rollout.Totals(last.Kinds).Responses() > since.Responses()
	if !restarted {
		since = since.Minus(last.Kinds)
	}
	last.Report, last.incarnation = report, record.Incarnation
	switch {
	case report.Order != r.order.Number:
	case report.Version == r.target:
		c.target = c.target.Plus(since)
	default:
		c.old = c.old.Plus(since)
	}
}

// remember keeps the state of the counts for the judgement of recent responses.
func (c *counts) remember(now time.Time) {
	c.history = append(c.history, moment{now, c.old, c.target})
	for len(c.history) > 1 && now.Sub(c.history[1].at) >= recentWindow {
		c.history = c.history[1:]
	}
}

// beginStep starts a new comparison because the share has changed. The responses of both versions are
// compared within a step only: a fault of a dependency that begins in a later step meets the versions in
// another proportion, and would be taken for one of the target.
func (c *counts) beginStep(now time.Time, share int) {
	c.step, c.alone = moment{now, c.old, c.target}, share == rollout.FullShare
	c.history = []moment{c.step}
}

// judge returns why the target is worse than the old version: by the responses since the last change of
// the share, or by the recent ones.
func (c *counts) judge(now time.Time) string {
	reason := c.judgeSince(&c.step)
	if reason != "" || len(c.history) == 0 || now.Sub(c.history[0].at) < recentWindow {
		return reason
	}
	if reason = c.judgeSince(&c.history[0]); reason != "" {
		return "recently, " + reason
	}
	return ""
}

// judgeSince judges the responses since m. At the full share the old version has only those of the first
// moments; the target is then compared with all earlier ones.
func (c *counts) judgeSince(m *moment) string {
	target := c.target.Minus(m.target)
	if c.alone {
		return rollout.JudgeAlone(c.old, target)
	}
	return rollout.Judge(c.old.Minus(m.old), target)
}

// oldIdle reports whether each reachable daemon beside a server of another version refuses requests and
// has none in flight.
func (c *counts) oldIdle(target string, view *endpoint.View, service string) bool {
	c.notIdle = nil
	for _, record := range view.ByService[service] {
		if record.State == endpoint.Gone || record.Version == target || view.Unreachable[record.Domain] {
			continue
		}
		last := c.of(record.Instance)
		if last.missed < unreachableAfter && (!last.Refuses || last.InFlight > 0) {
			c.notIdle = append(c.notIdle, string(record.Instance))
		}
	}
	return len(c.notIdle) == 0
}
