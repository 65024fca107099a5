// Package usagecap divides the usage caps of client accounts among all daemons. The daemon that owns an account
// keeps its token bucket and lends tokens to the others (Ledger); a borrower takes one token for each request
// (Borrower). The package performs no I/O, starts no goroutines and takes the time as an argument.
package usagecap

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// QueryTimeout is the time after which a query without a reply is repeated. Machines with 0.16 of a core are stalled
	// for up to 85 ms by the limit of processor time; with 25 ms, queries to them timed out without a fault.
	QueryTimeout = 50 * time.Millisecond
	// MaxWait is the time for which a request waits for a token: two queries.
	MaxWait = 2 * QueryTimeout
	// maxLifetime and minLifetime bound the lifetime of a lent token.
	maxLifetime = 2 * time.Second
	minLifetime = 100 * time.Millisecond
	// NoOwnerRetryAfter is the Retry-After of requests that are refused because no owner replies.
	NoOwnerRetryAfter = 200 * time.Millisecond
)

// Instant is a point in time by the monotonic clock, which stops while the machine is suspended, and by the wall
// clock, which can be set. Each is measured from any fixed time.
type Instant struct{ Mono, Wall time.Duration }

// Since returns the longer of the times since earlier by the two clocks. Ages of lent tokens are measured by it.
func (t Instant) Since(earlier Instant) time.Duration {
	return max(t.Mono-earlier.Mono, t.Wall-earlier.Wall)
}

// leastSince returns the shorter of the times since earlier by the two clocks, at least 0. Buckets are refilled by it,
// so that neither a suspended machine nor a clock that is set forward creates tokens.
func (t Instant) leastSince(earlier Instant) time.Duration {
	return max(0, min(t.Mono-earlier.Mono, t.Wall-earlier.Wall))
}

// Add returns the instant d later by both clocks.
func (t Instant) Add(d time.Duration) Instant { return Instant{t.Mono + d, t.Wall + d} }

// reached reports whether t is at or after other by either clock.
func (t Instant) reached(other Instant) bool { return t.Since(other) >= 0 }

// Limit is the usage cap of an account.
type Limit struct {
	// Rate is in requests per second, Burst in requests.
	Rate  float64
	Burst int
	// Version is that of the configuration with this cap; the higher one replaces the lower one.
	Version uint64
}

// Bounds states by how much the requests of an account may exceed its cap in a window.
type Bounds struct {
	Window time.Duration
	// Excess is a share of the requests that the cap allows in a window, Slack a number of requests.
	Excess float64
	Slack  float64
}

// DefaultBounds are the bounds without settings.
var DefaultBounds = Bounds{Window: 5 * time.Second, Excess: 0.1, Slack: 20}

// Tolerance returns the number of requests in a window that are tolerated above the cap.
func (b Bounds) Tolerance(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+float64(l.Burst))*b.Excess + b.Slack
}

// Allowed returns the largest number of requests in a window.
func (b Bounds) Allowed(l Limit) float64 {
	return l.Rate*b.Window.Seconds() + float64(l.Burst) + b.Tolerance(l)
}

// Lifetime returns how long a lent token may be used. The tokens lent within it use half of the tolerance.
func (b Bounds) Lifetime(l Limit) time.Duration {
	if l.Rate <= 0 {
		return maxLifetime
	}
	half := time.Duration(min(b.Tolerance(l)/2/l.Rate, maxLifetime.Seconds()) * float64(time.Second))
	return max(half, minLifetime)
}

// continuation is the time for which a borrower continues without an owner: the tolerated excess in time.
func (b Bounds) continuation() time.Duration {
	return time.Duration(b.Excess * float64(b.Window))
}

// Hash returns the hash of the name of an account or an instance, as used for ownership.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }
