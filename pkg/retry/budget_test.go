package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against more retries than the larger of ratio and minimum rate plus the balance allow,
// which would multiply the load during an outage.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		b := NewBudget(0.1, 3, func() time.Time { return now })
		perSecond := rapid.IntRange(1, 500).Draw(t, "requests per second")
		seconds := rapid.IntRange(1, 20).Draw(t, "seconds")
		retries := 0
		for range seconds * perSecond {
			now = now.Add(time.Second / time.Duration(perSecond))
			b.Deposit()
			for range 2 {
				if b.Withdraw(false) {
					retries++
				}
			}
		}
		rate := max(0.1*float64(perSecond), 3)
		if limit := rate*float64(seconds) + 3 + 1; float64(retries) > limit {
			t.Fatalf("%d retries, at most %.1f allowed", retries, limit)
		}
	})
}

// Guards against a service with few requests for which no retry is ever allowed.
func TestBudgetMinimum(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := NewBudget(0.1, 3, func() time.Time { return now })
	for range 3 {
		is.True(b.Withdraw(false))
	}
	is.True(!b.Withdraw(false))
	now = now.Add(400 * time.Millisecond)
	is.True(b.Withdraw(false))
}

// Guards against a hop that leaves no time for its own failure response.
func TestHopTimeout(t *testing.T) {
	is := is.New(t)
	is.Equal(HopTimeout(time.Second), 980*time.Millisecond)
	is.Equal(HopTimeout(10*time.Millisecond), 8*time.Millisecond)
	is.Equal(HopTimeout(time.Millisecond), time.Duration(0))
	is.Equal(HopTimeout(-time.Second), time.Duration(0))
}

// Guards against a flooding kind that uses up the retries of the other kinds.
func TestBudgetsAreSeparate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	budgets := NewBudgets(0.1, 3, func() time.Time { return now })
	for budgets.Of("pages", "preview").Withdraw(false) {
	}
	is.True(budgets.Of("pages", "save").Withdraw(false))
	is.True(budgets.Of("finder", "preview").Withdraw(false))
	is.True(!budgets.Of("pages", "preview").Withdraw(false))
}
