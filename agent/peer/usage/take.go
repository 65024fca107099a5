package usage

import (
	"context"
	"time"

	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/agent/caller"
	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
	"kingcupwood.example/kingcupwood/pkg/usagecap"
)

// permit implements caller.Permit.
type permit struct {
	caps    *Caps
	account *snapshot.Account
	balance *usagecap.Balance
	permit  usagecap.Permit
	// valid means that a request was taken; sent that an attempt may have been sent with it.
	valid, sent bool
}

// Take implements caller.UsageCaps.
func (c *Caps) Take(ctx context.Context, account *snapshot.Account) (caller.Permit, *caller.CapRefusal) {
	p := &permit{caps: c, account: account}
	if refusal := p.take(ctx); refusal != nil {
		return nil, refusal
	}
	return p, nil
}

// Renew implements caller.Permit.
func (p *permit) Renew(ctx context.Context) *caller.CapRefusal {
	now := p.caps.now()
	if p.valid && !p.permit.Expired(now) {
		p.sent = true
		return nil
	}
	p.caps.metrics.renewed.Add(1)
	if p.valid && !p.sent {
		p.balance.Return(now, p.permit)
	}
	p.valid, p.sent = false, false
	if refusal := p.take(ctx); refusal != nil {
		return refusal
	}
	p.sent = true
	return nil
}

// Return implements caller.Permit.
func (p *permit) Return() {
	if p.valid {
		p.valid = false
		p.balance.Return(p.caps.now(), p.permit)
		p.caps.metrics.returned.Add(1)
	}
}

// limit returns the cap of an account in the configuration in force.
func (c *Caps) limit(account *snapshot.Account) usagecap.Limit {
	limit := usagecap.Limit{Rate: account.Rate, Burst: account.Burst}
	if snap := c.config.Snapshot(); snap != nil {
		if a := snap.Account(account.Name); a != nil {
			limit = usagecap.Limit{Rate: a.Rate, Burst: a.Burst, Version: uint64(snap.Version)}
		}
	}
	return limit
}

// take takes a request from the cap and waits for the owner if there is no token.
func (p *permit) take(ctx context.Context) *caller.CapRefusal {
	d := p.decide()
	if d.Outcome == usagecap.Wait {
		d = p.wait(ctx)
	}
	m := &p.caps.metrics
	switch d.Outcome {
	case usagecap.Taken:
		p.permit, p.valid = d.Permit, true
		m.taken.Add(1)
		return nil
	case usagecap.Over:
		m.over.Add(1)
		return &caller.CapRefusal{RetryAfter: d.RetryAfter}
	default:
		m.absent.Add(1)
		p.caps.absentLog.Do(func() { p.caps.config.Log.Log(event.UsageOwnerAbsent, zap.String("account", p.account.Name)) })
		return &caller.CapRefusal{NoOwner: true, RetryAfter: usagecap.NoOwnerRetryAfter}
	}
}

// decide takes a request if that is possible without waiting, and has a query sent if one is needed.
func (p *permit) decide() usagecap.Decision {
	c := p.caps
	balance, d := c.node.Take(c.now(), p.account.Name, c.limit(p.account))
	p.balance = balance
	if d.Query {
		c.enqueue(balance, d.Outcome == usagecap.Wait)
	}
	if d.OwnerChanged {
		c.metrics.ownerChanges.Add(1)
		c.ownerLog.Do(func() {
			addr, own := balance.Owner()
			c.config.Log.Log(event.UsageOwnerChanged, zap.String("account", p.account.Name), zap.Stringer("owner", addr), zap.Bool("own", own))
		})
	}
	return d
}

// wait waits for tokens for at most usagecap.MaxWait. The outcome Wait means that none came.
func (p *permit) wait(ctx context.Context) usagecap.Decision {
	p.caps.metrics.waited.Add(1)
	end := time.NewTimer(usagecap.MaxWait)
	defer end.Stop()
	repeat := time.NewTicker(usagecap.QueryTimeout)
	defer repeat.Stop()
	for last := false; ; {
		changed, done := p.balance.Await()
		d := p.decide() // a reply may have come before Await
		if d.Outcome != usagecap.Wait || last {
			done()
			return d
		}
		select {
		case <-changed:
		case <-repeat.C:
		case <-end.C:
			p.balance.EndWait(p.caps.now())
			last = true
		case <-ctx.Done():
			last = true
		}
		done()
	}
}
