package usagecap

import (
	"math"
	"math/bits"
	"sync"
	"time"
)

const (
	// bucketIdle is the time after which a full bucket without queries is discarded.
	bucketIdle = 10 * time.Second
	// borrowerPeriod is the period in which the borrowers of an account are counted.
	borrowerPeriod = 2 * time.Second
	// reserveShare is the part of the tolerance by which a bucket smaller than one token is enlarged, so that a
	// small share of the fleet can lend a token at all. All sides of a partition together use this part.
	reserveShare = 0.125
	// maxRetryAfter bounds the time that the owner tells.
	maxRetryAfter = 30 * time.Second
)

// Tenure states from when and with which share of the caps a daemon may lend the tokens of an account.
type Tenure struct {
	// Own reports whether the daemon owns the account.
	Own bool
	// Since is the time at which its bucket was empty.
	Since Instant
	// Share is the fraction of the fleet that the daemon sees.
	Share float64
}

// Ledger holds the buckets of the accounts that a daemon owns. It is safe for concurrent use.
type Ledger struct {
	bounds   Bounds
	lifetime uint64

	mu      sync.Mutex
	buckets map[string]*bucket
	lent    uint64
}

type bucket struct {
	limit Limit
	// tenure is the one of fleet, since its calculation takes a while with many members.
	fleet  *Fleet
	tenure Tenure
	share  float64
	level  float64
	at     Instant
	since  Instant
	used   Instant
	// queue is the number of refused borrowers that are expected to come back.
	queue float64
	// seen holds one bit for each hash of a borrower, in this period and the previous one.
	seen     [2]uint64
	seenFrom Instant
}

// NewLedger returns an empty ledger. lifetime identifies it, so that tokens of an earlier ledger are not returned to it.
func NewLedger(bounds Bounds, lifetime uint64) *Ledger {
	return &Ledger{bounds: bounds, lifetime: lifetime, buckets: map[string]*bucket{}}
}

// tenure returns the tenure of an account by the given view of the fleet.
func (l *Ledger) tenure(account string, f *Fleet, share float64) Tenure {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[account]
	if b == nil {
		return f.Tenure(Hash(account), share)
	}
	if b.fleet != f {
		b.fleet, b.tenure = f, f.Tenure(Hash(account), share)
	}
	t := b.tenure
	if f.owns {
		t.Share = share
	}
	return t
}

// Lend answers a query of a borrower, given the hash of its instance.
func (l *Ledger) Lend(now Instant, borrower uint64, q *Query, t Tenure) Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := Reply{Account: q.Account, Seq: q.Seq, Status: NotOwner, Lifetime: l.lifetime}
	if !t.Own || !now.reached(t.Since) || t.Share <= 0 {
		delete(l.buckets, q.Account)
		return reply
	}
	b := l.bucket(now, q, t)
	b.settle(q, l.lifetime, l.capacity(b), l.bounds)
	reply.ExpiresMS = uint32(l.bounds.Lifetime(b.limit).Milliseconds())
	if b.limit.Rate <= 0 {
		reply.Status, reply.Granted = Granted, max(1, q.Want)
		return reply
	}
	borrowers := b.countBorrower(now, borrower)
	if reply.Granted = b.grant(q.Want, borrowers, l.capacity(b)); reply.Granted > 0 {
		reply.Status = Granted
		l.lent += uint64(reply.Granted)
		reply.Level = uint8(max(0, 100*b.level/l.capacity(b)))
		return reply
	}
	reply.Status, reply.RetryMS = OverCap, uint32(b.refuse(borrowers).Milliseconds())
	return reply
}

// bucket returns the bucket of an account, refilled and with the newer one of the two caps.
func (l *Ledger) bucket(now Instant, q *Query, t Tenure) *bucket {
	b := l.buckets[q.Account]
	if b == nil || t.Since.Wall > b.since.Wall {
		limit := q.Limit()
		if b != nil && b.limit.Version > limit.Version {
			limit = b.limit
		}
		b = &bucket{limit: limit, share: t.Share, at: t.Since, since: t.Since, seenFrom: now}
		l.buckets[q.Account] = b
	}
	l.refill(b, now, t.Share)
	if q.Version > b.limit.Version {
		b.limit = q.Limit()
		b.level = min(b.level, l.capacity(b))
	}
	b.used = now
	return b
}

// refill adds the tokens since the last refill. If the share has changed, the lower one counts for that time.
func (l *Ledger) refill(b *bucket, now Instant, share float64) {
	elapsed := now.leastSince(b.at).Seconds()
	added := elapsed * b.limit.Rate * min(b.share, share)
	b.share, b.at = share, now
	b.level = min(b.level+added, l.capacity(b))
	b.queue = max(0, b.queue-added)
}

// capacity returns the size of a bucket in tokens. A share below one token is enlarged by a part of the tolerance.
func (l *Ledger) capacity(b *bucket) float64 {
	size := float64(b.limit.Burst) * b.share
	if size >= 1 {
		return size
	}
	if b.share >= 1 {
		return 1
	}
	return min(1, size+reserveShare*l.bounds.Tolerance(b.limit)*b.share)
}

// settle credits returned tokens and debits requests that passed without tokens.
func (b *bucket) settle(q *Query, lifetime uint64, capacity float64, bounds Bounds) {
	if q.Lifetime == lifetime {
		b.level = min(b.level+float64(q.Returned), capacity)
	}
	lowest := -bounds.Allowed(b.limit)
	b.level = max(b.level-float64(q.Overdrawn), min(lowest, b.level))
}

// countBorrower notes a borrower and returns the estimated number of borrowers in the last period or two.
func (b *bucket) countBorrower(now Instant, borrower uint64) float64 {
	switch age := now.Since(b.seenFrom); {
	case age >= 2*borrowerPeriod:
		b.seen, b.seenFrom = [2]uint64{}, now
	case age >= borrowerPeriod:
		b.seen, b.seenFrom = [2]uint64{0, b.seen[0]}, now
	}
	b.seen[0] |= 1 << (mix(borrower) % 64)
	free := 64 - bits.OnesCount64(b.seen[0]|b.seen[1])
	return max(1, 64*math.Log(64/max(float64(free), 0.5))) // linear counting
}

// grant takes up to want tokens. While the bucket is at least half full, a borrower may take half of it; else its
// part of the level, so that one borrower cannot drain the bucket.
func (b *bucket) grant(want uint32, borrowers, capacity float64) uint32 {
	stock := math.Floor(b.level)
	if stock < 1 {
		return 0
	}
	most := stock
	switch {
	case borrowers < 1.5:
	case b.level >= capacity/2:
		most = math.Ceil(stock / 2)
	default:
		most = max(1, math.Floor(stock*2/(borrowers+1)))
	}
	granted := min(float64(max(1, want)), most)
	b.level -= granted
	return uint32(granted)
}

// refuse returns the time after which there is a token for the refused borrower. Each refusal queues behind the
// earlier ones, so that the borrowers come back one by one.
func (b *bucket) refuse(borrowers float64) time.Duration {
	missing := 1 - b.level + b.queue
	b.queue = min(b.queue+1, borrowers)
	seconds := min(missing/(b.limit.Rate*b.share), maxRetryAfter.Seconds())
	return max(time.Millisecond, time.Duration(seconds*float64(time.Second)))
}

// Sweep discards full buckets that are not in use; a new bucket of the account is full as well.
func (l *Ledger) Sweep(now Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, b := range l.buckets {
		l.refill(b, now, b.share)
		if now.Since(b.used) >= bucketIdle && b.level >= l.capacity(b) {
			delete(l.buckets, name)
		}
	}
}

// Reset discards all buckets and starts a new lifetime, as after a pause in which another daemon became the owner.
func (l *Ledger) Reset(lifetime uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buckets, l.lifetime = map[string]*bucket{}, lifetime
}

// Stats returns the number of buckets and the tokens lent since the start.
func (l *Ledger) Stats() (buckets int, lent uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.buckets), l.lent
}
