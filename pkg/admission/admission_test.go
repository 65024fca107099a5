package admission

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// clock is an injected clock that moves only when a test advances it.
type clock struct{ t time.Time }

func newClock() *clock                   { return &clock{t: time.Unix(1_000_000, 0)} }
func (c *clock) now() time.Time          { return c.t }
func (c *clock) advance(d time.Duration) { c.t = c.t.Add(d) }

func twoKinds(slots int) Config {
	return Config{Slots: slots, Kinds: []Kind{
		{Name: "order", Rank: 1, Rate: 100, ServiceTime: 10 * time.Millisecond},
		{Name: "list", Rank: 5, Rate: 0, ServiceTime: 10 * time.Millisecond},
	}}
}

// offers collects the outcomes of offered requests.
type offers struct {
	tickets  []*Ticket
	refusals []*Refusal
}

func (o *offers) notify(t *Ticket, r *Refusal) {
	if t != nil {
		o.tickets = append(o.tickets, t)
	} else {
		o.refusals = append(o.refusals, r)
	}
}

// Guards against excess work in the reserved slot, and against idle slots that excess work may use.
func TestExcessLeavesOneSlot(t *testing.T) {
	is := is.New(t)
	clk := newClock()
	c := New(twoKinds(4), clk.now)
	var excess, protected offers
	for range 6 {
		c.Offer("list", clk.now().Add(time.Second), excess.notify)
	}
	is.Equal(len(excess.tickets), 3) // excess work runs in all slots but the reserved one
	c.Offer("order", clk.now().Add(time.Second), protected.notify)
	is.Equal(len(protected.tickets), 1)
	small := New(twoKinds(3), clk.now)
	var all offers
	for range 4 {
		small.Offer("list", clk.now().Add(time.Second), all.notify)
	}
	is.Equal(len(all.tickets), 3) // no reserve below four slots
}

// Guards against a request that is refused with a verdict other than not run.
func TestRefusalIsNotRun(t *testing.T) {
	is := is.New(t)
	c := New(twoKinds(1), newClock().now)
	c.Drain()
	_, err := c.Acquire(context.Background(), "order", time.Unix(2_000_000, 0))
	var refusal *Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Reason, ReasonDraining)
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.Equal(verdict.Of(refusal.NotRun()), verdict.NotRun)
}

// Guards against queueing a request that cannot meet its deadline after the estimated wait. It must
// be refused at once, with a retry hint.
func TestUnattainableDeadlineIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	clk := newClock()
	c := New(twoKinds(1), clk.now)
	var o offers
	for range 5 {
		c.Offer("order", clk.now().Add(time.Second), o.notify)
	}
	c.Offer("order", clk.now().Add(20*time.Millisecond), o.notify)
	is.Equal(len(o.refusals), 0) // ordered before the others by its deadline
	c.Offer("list", clk.now().Add(40*time.Millisecond), o.notify)
	is.Equal(len(o.refusals), 1)
	is.Equal(o.refusals[0].Reason, ReasonDeadline)
	is.True(o.refusals[0].RetryAfter >= minRetryAfter)
}

// Guards against draining instances that accept new work or drop the work already accepted.
func TestDrainFinishesWaitingWork(t *testing.T) {
	is := is.New(t)
	clk := newClock()
	c := New(twoKinds(1), clk.now)
	var o offers
	c.Offer("order", clk.now().Add(time.Second), o.notify)
	c.Offer("order", clk.now().Add(time.Second), o.notify)
	c.Drain()
	c.Offer("order", clk.now().Add(time.Second), o.notify)
	is.Equal(len(o.refusals), 1)
	o.tickets[0].Done(Outcome{ServiceTime: 10 * time.Millisecond})
	is.Equal(len(o.tickets), 2)
	o.tickets[1].Done(Outcome{})
	o.tickets[1].Done(Outcome{}) // a second call must not free a second slot
	is.Equal(c.Load(), 0.0)
}

// Guards against a cancelled request that keeps its place in the queue or its slot.
func TestCancelledRequestLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := New(twoKinds(1), time.Now)
		running, err := c.Acquire(t.Context(), "order", time.Now().Add(time.Minute))
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = c.Acquire(ctx, "order", time.Now().Add(time.Minute))
		var refusal *Refusal
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Reason, ReasonCancelled)
		is.Equal(c.Load(), 1.0) // only the running request is left
		running.Done(Outcome{})
		is.Equal(c.Load(), 0.0)
	})
}

// Guards against a limit that ignores slow or shed requests, or never recovers.
func TestLimitFollowsObservation(t *testing.T) {
	is := is.New(t)
	clk := newClock()
	c := New(twoKinds(8), clk.now)
	serve := func(o Outcome, d time.Duration) {
		for end := clk.now().Add(d); clk.now().Before(end); clk.advance(20 * time.Millisecond) {
			var one offers
			c.Offer("order", clk.now().Add(time.Second), one.notify)
			one.tickets[0].Done(o)
		}
	}
	serve(Outcome{ServiceTime: 50 * time.Millisecond}, 5*time.Second)
	is.Equal(c.Slots(), 4) // slow work lowers it to half
	serve(Outcome{Shed: true}, 5*time.Second)
	is.Equal(c.Slots(), 1) // shed work lowers it further
	serve(Outcome{ServiceTime: 10 * time.Millisecond}, 5*time.Second)
	is.Equal(c.Slots(), 8)
}

// Guards against declared rates that are not shared between the servers, and against the planned
// slots replacing those that the backend server announced.
func TestForService(t *testing.T) {
	is := is.New(t)
	svc := &snapshot.Service{Slots: 12, Kinds: []snapshot.Kind{{Name: "save", Rank: 1, ExpectedRate: 40}}}
	cfg := ForService(svc, 8, 4)
	is.Equal(cfg.Slots, 8)
	is.Equal(cfg.Kinds[0].Rate, 10.0)
	is.Equal(ForService(svc, 0, 0).Slots, 12)
	is.Equal(ForService(svc, 0, 0).Kinds[0].Rate, 40.0) // no ready server is known yet
}

// Guards against a preview that differs from the admission that follows it, and against one that
// takes a slot or changes the shares of the ranks.
func TestPreviewAgreesWithAdmission(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := New(Config{Slots: 2}, func() time.Time { return now })
	request := func(maxWait time.Duration) Request {
		return Request{Kind: "upload", Rank: 2, Deadline: now.Add(time.Second), TargetTime: now.Add(time.Second), MaxWait: maxWait}
	}
	for range 2 {
		is.Equal(c.Preview(request(0)), nil)
		is.Equal(c.Preview(request(0)), nil)
		_, err := c.AcquireFor(context.Background(), request(0))
		is.NoErr(err)
	}
	shares := c.shares
	refusal := c.Preview(request(time.Nanosecond))
	is.Equal(refusal.Reason, ReasonBusy)
	is.Equal(c.shares, shares)
	_, err := c.AcquireFor(context.Background(), request(time.Nanosecond))
	var got *Refusal
	is.True(errors.As(err, &got))
	is.Equal(got.Reason, refusal.Reason)
	late := request(0)
	late.Deadline = now
	is.Equal(c.Preview(late).Reason, ReasonDeadline)
	c.Drain()
	is.Equal(c.Preview(request(0)).Reason, ReasonDraining)
}
