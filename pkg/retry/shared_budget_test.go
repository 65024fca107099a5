package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against retries that exceed the shared limit over all daemons in any window, for any order
// of requests, retries and pauses.
func TestSharedLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const ratio, slack, window = 0.2, 58.0, 10 * time.Second
		now := time.Unix(1000, 0)
		members := rapid.IntRange(1, 12).Draw(rt, "members")
		var daemons []Limiter
		for range members {
			daemons = append(daemons, NewShared(SharedLimit{
				Ratio: ratio, Slack: slack, Window: window, Members: func() int { return members }, Now: func() time.Time { return now },
			}).Of("pages", ""))
		}
		var requests, retries []time.Time
		count := func(list []time.Time, from time.Time) (n float64) {
			for _, at := range list {
				if !at.Before(from) {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 400).Draw(rt, "steps") {
			d := daemons[rapid.IntRange(0, members-1).Draw(rt, "daemon")]
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "pause")) * time.Millisecond)
			case 1, 2:
				d.Deposit()
				requests = append(requests, now)
			default:
				if d.Withdraw(rapid.Bool().Draw(rt, "ran")) {
					retries = append(retries, now)
				}
			}
			from := now.Add(-window)
			if got, most := count(retries, from), ratio*count(requests, from)+slack; got > most {
				rt.Fatalf("%v retries in a window, limit %v", got, most)
			}
		}
	})
}

// Guards against a budget that does not recover after it is used up, and against a changed limit
// that has no effect.
func TestSharedLimitRecovers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	shared := NewShared(SharedLimit{Slack: 10, Window: 10 * time.Second, Members: func() int { return 1 }, Now: func() time.Time { return now }})
	budget := shared.Of("pages", "")
	take := func() (n int) {
		for budget.Withdraw(false) {
			n++
		}
		return n
	}
	first := take()
	is.True(first > 0)
	is.Equal(take(), 0)
	now = now.Add(11 * time.Second)
	is.Equal(take(), first)
	shared.SetLimit(0, 20, 10*time.Second)
	is.True(take() > 0)
}
