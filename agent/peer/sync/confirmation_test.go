package sync

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/lib/traffic"
	"kingcupwood.example/kingcupwood/pkg/membership"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// Guards against a confirmation that claims more than its origin knew: of a version that is not in
// force here, or more recent by the time on the way or a wrong duration of the poll.
func TestAdoptedConfirmation(t *testing.T) {
	is := is.New(t)
	const age, held, onTheWay = 300 * time.Millisecond, 2 * time.Second, 40 * time.Millisecond
	f, _ := newBenchPair(benchEntries(2), &traffic.Counter{})
	sent := time.Now().Add(-held - onTheWay)
	adopt := func(r PollReply) time.Duration {
		f.confirmed = newConfirmation()
		f.adoptConfirmation(sent, &r)
		known, _ := f.confirmationAge()
		return known
	}
	inForce := f.cfg.Store.Version()
	is.Equal(adopt(PollReply{ConfirmationAge: age, Held: held, InForce: inForce}), noAnswer) // a parent of an earlier release
	is.Equal(adopt(PollReply{Confirmation: 1, ConfirmationAge: age, Held: held, InForce: inForce + 1}), noAnswer)
	is.True(adopt(PollReply{Confirmation: 1, ConfirmationAge: age, Held: held, InForce: inForce}) >= age+onTheWay)
	is.True(adopt(PollReply{Confirmation: 1, ConfirmationAge: age, Held: time.Hour, InForce: inForce}) >= age)
	is.True(adopt(PollReply{Confirmation: 1, ConfirmationAge: -time.Hour, Held: held, InForce: inForce}) >= onTheWay)
	f.confirmed.advance(time.Now())
	f.adoptConfirmation(sent, &PollReply{Confirmation: 1, ConfirmationAge: age, Held: held, InForce: inForce})
	known, _ := f.confirmationAge()
	is.True(known < age) // an older confirmation does not replace a newer one
}

// Guards against a pull or a version heard of that counts as a confirmation, and against a poll that
// waits although its parent has a confirmation that the child lacks.
func TestPollConfirms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		child, parent := newBenchPair(benchEntries(2), &traffic.Counter{})
		child.cfg.Source = &fakeSource{}
		poll := func() time.Duration {
			s, err := openSession(ctx, child.dial, "parent")
			is.NoErr(err)
			defer s.close()
			began := time.Now()
			is.NoErr(child.poll(ctx, s, 50*time.Millisecond))
			return time.Since(began)
		}
		is.True(poll() >= 50*time.Millisecond)
		_, known := child.confirmationAge()
		is.True(!known) // the parent has no confirmation
		child.cfg.Members.Do(func(_ time.Time, s *membership.State) { s.RaiseHighest(9) })
		_, known = child.confirmationAge()
		is.True(!known)
		parent.confirmed.advance(time.Now())
		is.True(poll() < 50*time.Millisecond)
		_, known = child.confirmationAge()
		is.True(known)
	})
}

// Guards against calls to the source by daemons whose readers confirm, and against more frequent
// ones of the readers than their confirmations need.
func TestOnlyReadersAsk(t *testing.T) {
	runSourceDomain(t, func(c *cluster) {
		const span = time.Minute
		readers := c.readers()
		before := c.source.callsOf(c.daemons)
		time.Sleep(span)
		after := c.source.callsOf(c.daemons)
		for i, d := range c.daemons {
			calls := after[i] - before[i]
			if !slices.Contains(readers, d) && calls > 0 {
				t.Errorf("%s is no reader and asked %d times", d.record.Instance, calls)
			}
			if limit := int(span/(applyLimit/confirmParts)) + 1; calls > limit {
				t.Errorf("%s asked %d times, at most %d are needed", d.record.Instance, calls, limit)
			}
		}
	})
}

// Guards against all levels of a domain asking the source when its readers are cut off: the
// children of the readers ask, and their children get the answer from them.
func TestOnlyOneLevelAsks(t *testing.T) {
	runSourceDomain(t, func(c *cluster) {
		readers := c.readers()
		var below []*daemon
		for _, d := range c.daemons {
			if d.position().Ancestors > 1 {
				below = append(below, d)
			}
		}
		if len(below) == 0 {
			t.Fatal("the tree has one level below the readers")
		}
		before := c.source.callsOf(below)
		c.source.setSilent(true, readers...)
		c.source.publish(4)
		c.waitUntil("change", applyLimit, c.without(readers), inForce(snapshot.Version(4)))
		if after := c.source.callsOf(below); !slices.Equal(before, after) {
			t.Errorf("calls of the second level: %v, before %v", after, before)
		}
	})
}
