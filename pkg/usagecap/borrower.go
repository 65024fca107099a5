package usagecap

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// shards is the number of locks of a Borrower.
	shards = 16
	// balanceIdle is the time after which an account without requests is discarded.
	balanceIdle = 15 * time.Second
	// balanceKeep is that time for an account with requests that the owner does not know of yet.
	balanceKeep = 20 * time.Second
	// retryInterval is the interval between queries while the owner does not reply.
	retryInterval = 100 * time.Millisecond
	// maxBlock bounds the time for which requests are refused without another query.
	maxBlock = time.Second
	// prefetchUse is the number of requests in a lifetime from which one token is requested in advance, and batchUse
	// that from which as many are. A token that lies unused is missing in the bucket: with single tokens in advance,
	// 0.1 percent of the requests of an account of 5 requests/s and a burst of 10 were refused at 60 percent of its
	// cap on 9 daemons. With a burst below smallBurst only batches are requested in advance.
	prefetchUse = 2
	batchUse    = 4
	smallBurst  = 32
)

// Outcome is the decision about a request.
type Outcome uint8

// The decisions about a request.
const (
	// Taken means that the request may be sent until its permit expires.
	Taken Outcome = iota + 1
	// Over means that the account is over its cap.
	Over
	// Absent means that the owner of the account does not reply.
	Absent
	// Wait means that the request should wait for the reply to a query.
	Wait
)

// Permit is the permission to send one request.
type Permit struct {
	expires  Instant
	lifetime uint64
	// overdrawn means that the request passed without a token because the owner does not reply.
	overdrawn bool
}

// Expired reports whether the request must no longer be sent.
func (p Permit) Expired(now Instant) bool { return now.reached(p.expires) }

// Decision is the result of Take.
type Decision struct {
	Outcome Outcome
	Permit  Permit
	// RetryAfter is set for Over and Absent.
	RetryAfter time.Duration
	// Query means that the caller should send a query of the account.
	Query bool
	// OwnerChanged means that another daemon owns the account since its previous request.
	OwnerChanged bool
}

// Borrower holds the tokens that a daemon has borrowed. It is safe for concurrent use.
type Borrower struct {
	bounds Bounds
	// sequence is the start of the sequence numbers, so that replies to an earlier process are not accepted.
	sequence uint64
	// expired is the number of tokens that expired unused.
	expired atomic.Uint64
	shards  [shards]shard
}

type shard struct {
	mu       sync.RWMutex
	balances map[string]*Balance
}

// NewBorrower returns an empty borrower. sequence should be random.
func NewBorrower(bounds Bounds, sequence uint64) *Borrower {
	w := &Borrower{bounds: bounds, sequence: sequence}
	for i := range w.shards {
		w.shards[i].balances = map[string]*Balance{}
	}
	return w
}

// Expired returns the number of tokens that expired unused since the start.
func (w *Borrower) Expired() uint64 { return w.expired.Load() }

func (w *Borrower) shard(account string) *shard {
	return &w.shards[Hash(account)%shards]
}

// Find returns the tokens of an account, or nil if there are none.
func (w *Borrower) Find(account string) *Balance {
	s := w.shard(account)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.balances[account]
}

// Balance returns the tokens of an account and adds an empty balance if there is none.
func (w *Borrower) Balance(account string) *Balance {
	if p := w.Find(account); p != nil {
		return p
	}
	s := w.shard(account)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.balances[account]
	if p == nil {
		p = &Balance{Account: account, hash: Hash(account), bounds: w.bounds, seq: w.sequence, expired: &w.expired}
		s.balances[account] = p
	}
	return p
}

// Sweep discards accounts that had no requests for some seconds, and returns the number that is left.
func (w *Borrower) Sweep(now Instant) int {
	left := 0
	for i := range w.shards {
		s := &w.shards[i]
		s.mu.Lock()
		for name, p := range s.balances {
			if p.idle(now) {
				delete(s.balances, name)
			}
		}
		left += len(s.balances)
		s.mu.Unlock()
	}
	return left
}

// batch is a number of tokens that expire together.
type batch struct {
	count    uint32
	expires  Instant
	lifetime uint64
}

// sent is a query whose reply is still accepted.
type sent struct {
	seq uint64
	at  Instant
}

// Balance holds the tokens of one account. It is safe for concurrent use.
type Balance struct {
	Account string
	bounds  Bounds

	mu    sync.Mutex
	limit Limit
	hash  uint64
	// owner is the hash of the instance that owns the account in fleet, ownerAddr its address unless own is true.
	fleet     *Fleet
	owner     uint64
	ownerAddr netip.AddrPort
	own       bool
	seq       uint64
	batches   [2]batch
	usedAt    Instant
	// used and usedBefore are the requests in this lifetime of tokens, which began at period, and the previous one.
	used, usedBefore uint32
	period           Instant
	// waiting is the number of requests that wait for a reply.
	waiting uint32

	// recent holds the last queries. inFlight reports that the reply to the first one is outstanding.
	recent   [3]sent
	inFlight bool
	failures uint8
	// roomAt is the time at which the owner expects a token for this daemon; until blockedUntil it is not asked.
	roomAt, blockedUntil Instant
	blocked              bool

	// absent reports that the owner does not reply. absentAt is the time from which the account continued without one,
	// absentRate the rate at which it was used before, and continued the number of requests that passed since.
	absent     bool
	absentAt   Instant
	absentRate float64
	continued  uint32
	// continueFor is the time for which the account continues, and atOnce the number of requests that pass at once.
	continueFor time.Duration
	atOnce      float64
	// level is that of the last reply, from levelAt. It allows one continuation.
	level   uint8
	levelAt Instant
	// repliedAt is the time of the last reply.
	repliedAt Instant
	// spent and spentBefore are the requests in this useSpan, which began at spanFrom, and the previous one.
	spent, spentBefore uint32
	spanFrom           Instant

	// returned is the number of unused tokens of the owner's lifetime returnedFrom that were not reported yet.
	returned     uint32
	returnedFrom uint64
	// overdrawn is the number of requests without tokens that were not reported yet, reported the number in the
	// query in flight. If its reply is lost, they are reported again, so that the owner debits them at least once.
	overdrawn, reported uint32
	// changed is closed when the state changes while requests wait.
	changed chan struct{}
	askedAt Instant // the time at which a query was last requested
	expired *atomic.Uint64
}
