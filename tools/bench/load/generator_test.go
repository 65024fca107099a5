package main

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

func testGenerator(rate float64, send func(ctx context.Context) (answer, error)) (*generator, *stream) {
	s := &stream{
		service: "pages", kind: &snapshot.Kind{Name: "save", Deadline: time.Second}, rate: rate,
		delay: 3 * time.Millisecond, tally: newTally(),
	}
	g := newGenerator([]*stream{s}, []netip.AddrPort{{}})
	g.from, g.to, g.grace = time.Second, 3*time.Second, 2*time.Second
	g.start = time.Now()
	g.send = func(ctx context.Context, _ *stream, _ string, _ netip.AddrPort) (answer, error) { return send(ctx) }
	return g, s
}

// Guards against latencies that are measured from the due time of another request, which made half of
// the figures shorter than the service time.
func TestLatencyIsMeasuredFromDueTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, s := testGenerator(500, func(context.Context) (answer, error) {
			time.Sleep(20 * time.Millisecond)
			return answer{status: 200, verdict: verdict.Ran}, nil
		})
		g.run(t.Context())
		is.True(s.tally.sent > 800 && s.tally.sent < 1200) // 500/s for the 2 s of the window
		is.Equal(s.tally.inTime, s.tally.sent)
		is.True(s.tally.latency.Min() >= 26_000) // service time and both delays
		is.True(s.tally.latency.Max() < 26_100)  // the histogram keeps three digits
	})
}

// Guards against an open loop that never ends because a deployment does not answer.
func TestRunEndsWithoutAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, s := testGenerator(100, func(ctx context.Context) (answer, error) {
			<-ctx.Done()
			return answer{}, ctx.Err()
		})
		g.run(t.Context())
		is.True(time.Since(g.start) < 6*time.Second)
		is.Equal(s.tally.unknown, s.tally.sent)
	})
}

// Guards against a check that misses a repeated run or a request that ran after all.
func TestCheckRuns(t *testing.T) {
	is := is.New(t)
	tally := newTally()
	tally.tell("ran", verdict.Ran)
	tally.tell("twice", verdict.MayHaveRun)
	tally.tell("false", verdict.NotRun)
	tally.tell("refused", verdict.NotRun)
	f := tally.check(map[string]int{"ran": 1, "twice": 2, "false": 1})
	is.Equal(f, runFaults{repeated: 1, falseNotRun: 1})
}
