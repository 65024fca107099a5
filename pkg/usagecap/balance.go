package usagecap

import "time"

// minBlock keeps a refused borrower from asking again within the time of an exchange.
const minBlock = 5 * time.Millisecond

// Take decides about a request of the account.
func (p *Balance) Take(now Instant, limit Limit, fleet *Fleet) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := p.follow(fleet)
	p.prepare(now, limit)
	d := p.decide(now)
	d.OwnerChanged = changed
	// A query is requested once in QueryTimeout, since it may wait for others to the same daemon. One to this daemon
	// is answered at once.
	if d.Query = d.Query && (p.own || now.Since(p.askedAt) >= QueryTimeout); d.Query {
		p.askedAt = now
	}
	return d
}

func (p *Balance) decide(now Instant) Decision {
	if b := p.first(); b != nil {
		b.count--
		p.use()
		return Decision{
			Outcome: Taken, Permit: Permit{expires: b.expires, lifetime: b.lifetime},
			Query: p.shouldPrefetch(now),
		}
	}
	if p.blocked && !now.reached(p.blockedUntil) {
		return Decision{Outcome: Over, RetryAfter: max(time.Millisecond, -now.Since(p.roomAt))}
	}
	p.checkReply(now)
	query := !p.inFlight && (!p.absent || now.Since(p.recent[0].at) >= retryInterval)
	if !p.absent {
		return Decision{Outcome: Wait, Query: query}
	}
	if p.mayContinue(now) {
		p.continued++
		p.overdrawn++
		p.use()
		permit := Permit{expires: now.Add(p.bounds.Lifetime(p.limit)), overdrawn: true}
		return Decision{Outcome: Taken, Permit: permit, Query: query}
	}
	if p.inFlight || query { // the owner may be back
		return Decision{Outcome: Wait, Query: query}
	}
	return Decision{Outcome: Absent, RetryAfter: NoOwnerRetryAfter, Query: query}
}

// follow determines the owner again if the fleet has changed, and reports whether there is another one. Tokens of the
// previous owner stay valid.
func (p *Balance) follow(fleet *Fleet) (changed bool) {
	if fleet == p.fleet {
		return false
	}
	p.fleet = fleet
	addr, owner, own := fleet.Owner(p.hash)
	p.ownerAddr, p.own = addr, own
	if owner == p.owner {
		return false
	}
	changed, p.owner, p.askedAt = p.owner != 0, owner, Instant{}
	p.inFlight, p.failures, p.absent, p.blocked, p.returned = false, 0, false, false, 0
	p.recent = [3]sent{}
	p.overdrawn, p.reported = p.overdrawn+p.reported, 0
	return changed
}

// prepare applies a change of the cap and discards expired tokens.
func (p *Balance) prepare(now Instant, limit Limit) {
	if limit.Version >= p.limit.Version {
		if limit.Rate < p.limit.Rate || limit.Burst < p.limit.Burst {
			p.discard() // more tokens than the lower cap allows
		}
		p.limit = limit
	}
	p.usedAt = now
	p.advanceSpan(now)
	if lifetime, age := p.bounds.Lifetime(p.limit), now.Since(p.period); age >= 2*lifetime {
		p.used, p.usedBefore, p.period = 0, 0, now
	} else if age >= lifetime {
		p.used, p.usedBefore, p.period = 0, p.used, p.period.Add(lifetime)
	}
	for i := range p.batches {
		if b := &p.batches[i]; b.count > 0 && now.reached(b.expires) {
			p.expired.Add(uint64(b.count))
			p.credit(b.count, b.lifetime)
			b.count = 0
		}
	}
}

// first returns the batch that expires first, or nil if there are no tokens.
func (p *Balance) first() *batch {
	a, b := &p.batches[0], &p.batches[1]
	switch {
	case a.count == 0 && b.count == 0:
		return nil
	case a.count == 0, b.count > 0 && b.expires.Since(a.expires) < 0:
		return b
	}
	return a
}

// discard gives back all tokens.
func (p *Balance) discard() {
	for i := range p.batches {
		p.credit(p.batches[i].count, p.batches[i].lifetime)
		p.batches[i].count = 0
	}
}

// credit notes unused tokens for the next query.
func (p *Balance) credit(count uint32, lifetime uint64) {
	if lifetime != p.returnedFrom {
		p.returned, p.returnedFrom = 0, lifetime
	}
	p.returned += count
}

func (p *Balance) tokens() uint32 { return p.batches[0].count + p.batches[1].count }

// demand returns the number of requests in the last lifetime of tokens.
func (p *Balance) demand() uint32 { return max(p.used, p.usedBefore) }

// shouldPrefetch reports whether the tokens left may not last until a reply to a later query.
func (p *Balance) shouldPrefetch(now Instant) bool {
	p.checkReply(now)
	demand := p.demand()
	if demand < prefetchUse || demand < batchUse && p.limit.Burst < smallBurst {
		return false
	}
	if p.inFlight || p.blocked && !now.reached(p.blockedUntil) {
		return false
	}
	if p.absent && now.Since(p.recent[0].at) < retryInterval {
		return false
	}
	return p.tokens() < (demand+1)/2
}

// checkReply notes that a query got no reply in time. After two in a row the owner counts as absent.
func (p *Balance) checkReply(now Instant) {
	if !p.inFlight || now.Since(p.recent[0].at) < QueryTimeout {
		return
	}
	p.inFlight, p.askedAt = false, Instant{}
	p.overdrawn, p.reported = p.overdrawn+p.reported, 0
	if p.failures++; p.failures >= 2 {
		p.setAbsent(now)
	}
}

func (p *Balance) setAbsent(now Instant) {
	if p.absent {
		return
	}
	p.absent = true
	if p.absentAt == (Instant{}) || now.Since(p.absentAt) >= p.bounds.Window {
		p.absentAt, p.continued = now, 0
		p.absentRate = float64(p.usedBefore) / p.bounds.Lifetime(p.limit).Seconds()
		p.continueFor, p.atOnce = p.bounds.continuation(), 0
		if p.wellBelow(now) {
			p.absentRate, p.atOnce = continueRate*p.recentRate(now), continueAtOnce
			p.continueFor = p.bounds.Window * 8 / 10 * time.Duration(p.level) / 100
		}
	}
	p.level = 0
	p.notify()
}

// mayContinue reports whether a request may pass without a token, at the rate before the owner became absent.
func (p *Balance) mayContinue(now Instant) bool {
	elapsed := min(now.Since(p.absentAt), p.continueFor)
	most := min(p.atOnce+p.absentRate*elapsed.Seconds(), p.continueMost())
	return now.Since(p.absentAt) < p.bounds.Window && float64(p.continued+1) <= most
}

// Query returns the next query of the account, and false if none is needed any more.
func (p *Balance) Query(now Instant) (Query, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checkReply(now)
	if p.inFlight {
		return Query{}, false
	}
	p.seq++
	copy(p.recent[1:], p.recent[:2])
	p.recent[0], p.inFlight = sent{p.seq, now}, true
	want := max(1, p.waiting)
	if p.waiting > 0 && p.limit.Burst >= smallBurst {
		want += 1 + p.demand()/2 // for requests that come before the reply
	}
	if demand := p.demand(); demand >= batchUse {
		want = max(want, demand-min(demand, p.tokens()))
	}
	q := Query{
		Account: p.Account, Rate: p.limit.Rate, Burst: p.limit.Burst, Version: p.limit.Version,
		Seq: p.seq, Want: want, Returned: p.returned, Lifetime: p.returnedFrom, Overdrawn: p.overdrawn,
	}
	p.reported += p.overdrawn
	p.returned, p.overdrawn = 0, 0
	return q, true
}

// Receive takes the tokens of a reply. It reports whether the reply answers a recent query.
func (p *Balance) Receive(now Instant, r *Reply) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.recent {
		if s := &p.recent[i]; s.seq == r.Seq && s.seq != 0 {
			at := s.at
			s.seq = 0 // a repeated reply lends nothing
			p.receive(now, at, i == 0, r)
			p.notify()
			return true
		}
	}
	return false
}

func (p *Balance) receive(now, sentAt Instant, newest bool, r *Reply) {
	p.repliedAt = now
	if newest {
		p.inFlight, p.askedAt = false, Instant{}
	}
	if r.Status == NotOwner {
		p.overdrawn, p.reported = p.overdrawn+p.reported, 0 // it has debited nothing
		p.setAbsent(now)
		return
	}
	if newest {
		p.reported = 0
		p.noteLevel(now, r.Level)
	}
	p.failures, p.absent = 0, false
	if p.blocked = r.Status == OverCap; p.blocked {
		wait := max(time.Duration(r.RetryMS)*time.Millisecond, minBlock)
		p.blockedUntil, p.roomAt = now.Add(min(wait, maxBlock)), now.Add(wait)
		return
	}
	lifetime := min(p.bounds.Lifetime(p.limit), time.Duration(r.ExpiresMS)*time.Millisecond)
	b := batch{r.Granted, sentAt.Add(lifetime), r.Lifetime}
	if now.reached(b.expires) {
		p.credit(b.count, b.lifetime)
		return
	}
	p.store(b)
}

// store adds a batch. If both places are in use, the tokens that expire first are returned.
func (p *Balance) store(b batch) {
	for i := range p.batches {
		if p.batches[i].count == 0 {
			p.batches[i] = b
			return
		}
	}
	oldest := p.first()
	p.credit(oldest.count, oldest.lifetime)
	*oldest = b
}

// Return gives back the permit of a request that certainly has not run.
func (p *Balance) Return(now Instant, permit Permit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.used > 0 {
		p.used--
	}
	if permit.overdrawn {
		p.overdrawn -= min(p.overdrawn, 1)
		return
	}
	for i := range p.batches {
		if b := &p.batches[i]; b.expires == permit.expires && b.lifetime == permit.lifetime && !now.reached(b.expires) {
			b.count++
			return
		}
	}
	p.credit(1, permit.lifetime)
}

// Await registers a request that waits for a reply. The channel is closed at the next change; done must be called.
func (p *Balance) Await() (changed <-chan struct{}, done func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting++
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return p.changed, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.waiting--
	}
}

// notify wakes the requests that wait.
func (p *Balance) notify() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// idle reports whether the account may be discarded.
func (p *Balance) idle(now Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	unused := now.Since(p.usedAt)
	return p.waiting == 0 && unused >= balanceIdle && (p.overdrawn+p.reported == 0 || unused >= balanceKeep)
}
