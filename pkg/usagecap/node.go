package usagecap

import (
	"net/netip"
	"sync"
	"sync/atomic"
)

// Node is the part of one daemon in the usage caps: the buckets that it owns, the tokens that it has borrowed, and its
// view of the fleet. It is safe for concurrent use.
type Node struct {
	instance string
	hash     uint64
	random   func() uint64
	Ledger   *Ledger
	Borrower *Borrower

	fleet atomic.Pointer[Fleet]
	// mu guards the fields below. It is not held during calls of the ledger or the borrower that take a lock for long.
	mu     sync.Mutex
	ready  Instant
	filter ShareFilter
	share  float64
	// active is the last time at which the node was seen to run.
	active Instant
}

// NewNode returns the node of an instance that starts at now. random is called for identifiers of lifetimes.
func NewNode(now Instant, instance string, bounds Bounds, random func() uint64) *Node {
	n := &Node{
		instance: instance, hash: Hash(instance), random: random,
		Ledger: NewLedger(bounds, random()|1), Borrower: NewBorrower(bounds, random()>>1),
		ready: now.Add(JoinGrace), active: now,
	}
	n.fleet.Store(NewFleet(now, instance, n.ready, nil, 0))
	return n
}

// Update applies a new view of the members. known is a lower bound of the number of daemons. It must be called at
// least every few seconds, since a larger share applies with a delay.
func (n *Node) Update(now Instant, members []Member, known int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.checkPause(now)
	f := NewFleet(now, n.instance, n.ready, members, known)
	if f.owns {
		n.share = n.filter.Update(now, f.share)
	}
	n.fleet.Store(f)
}

// Touch notes that the node runs, and reports whether it was paused. It must be called at least once a second.
func (n *Node) Touch(now Instant) (paused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.checkPause(now)
}

// Fleet returns the view in use.
func (n *Node) Fleet(now Instant) *Fleet {
	if f := n.fleet.Load(); !f.due(now) {
		return f
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	f := n.fleet.Load()
	if f.due(now) {
		owned := f.owns
		f = f.grown(now)
		if f.owns && !owned {
			n.share = n.filter.Update(now, f.share)
		}
		n.fleet.Store(f)
	}
	return f
}

// Share returns the fraction of the caps that this daemon uses for the accounts that it owns.
func (n *Node) Share() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.share
}

// Rising reports whether a larger share is to be used soon, so that Update is to be called.
func (n *Node) Rising() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.filter.rising || n.share != n.fleet.Load().share
}

// checkPause discards the buckets after a pause, as another daemon may have become their owner.
func (n *Node) checkPause(now Instant) bool {
	paused := now.Since(n.active) >= MinPause
	if paused {
		n.Ledger.Reset(n.random() | 1)
		n.ready, n.share = now.Add(PauseHold), 0
		if start := n.fleet.Load(); start.ready.Wall > n.ready.Wall {
			n.ready = start.ready
		}
		n.filter = ShareFilter{}
		n.fleet.Store(n.fleet.Load().notReady(n.ready))
	}
	n.active = now
	return paused
}

// Lend answers a query of the borrower with the given hash.
func (n *Node) Lend(now Instant, borrower uint64, q *Query) Reply {
	n.Touch(now)
	f := n.Fleet(now)
	return n.Ledger.Lend(now, borrower, q, n.Ledger.tenure(q.Account, f, n.Share()))
}

// Take decides about a request of an account. If the decision asks for a query, this daemon has no bucket of the
// account and a query is to be sent to the address of balance.Owner.
func (n *Node) Take(now Instant, account string, limit Limit) (*Balance, Decision) {
	p := n.Borrower.Balance(account)
	d := p.Take(now, limit, n.Fleet(now))
	if _, own := p.Owner(); !d.Query || !own {
		return p, d
	}
	q, ok := p.Query(now)
	if !ok {
		return p, d
	}
	r := n.Lend(now, n.hash, &q)
	p.Receive(now, &r)
	if d.Outcome == Wait {
		d = p.Take(now, limit, n.Fleet(now))
	}
	d.Query = false
	return p, d
}

// Handle answers the queries of a message and takes the tokens of its replies. stale is the number of replies that
// answer no recent query.
func (n *Node) Handle(now Instant, m *Message) (replies []Reply, stale int) {
	sender := Hash(m.Sender)
	for i := range m.Queries {
		replies = append(replies, n.Lend(now, sender, &m.Queries[i]))
	}
	for i := range m.Replies {
		p := n.Borrower.Find(m.Replies[i].Account)
		if p == nil || !p.Receive(now, &m.Replies[i]) {
			stale++
		}
	}
	return replies, stale
}

// Sweep discards what is not in use and returns the numbers of borrowed accounts.
func (n *Node) Sweep(now Instant) int {
	n.Ledger.Sweep(now)
	return n.Borrower.Sweep(now)
}

// Owner returns the address of the daemon that owns the account; own means that it is this one.
func (p *Balance) Owner() (addr netip.AddrPort, own bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ownerAddr, p.own
}

// notReady returns a copy of f for a daemon that may lend from ready on.
func (f *Fleet) notReady(ready Instant) *Fleet {
	c := *f
	c.ready, c.owns = ready, false
	return &c
}
