package store

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/lib/event"
)

const leasePartition = "lease"

// renewNames are short attribute names for renewals, the most frequent write: with the full names,
// 78 of the 470 bytes of a request body were names.
var renewNames = map[string]string{"#t": "token", "#h": "holder", "#e": "expires"}

// Lease is a lease in the table. The clocks of the holders determine when it may be taken over.
// Mutual exclusion of writes does not depend on the clocks: it is ensured by Token.
type Lease struct {
	Name, Holder string
	// Token is the fencing token. It increases each time the lease is acquired.
	Token   uint64
	Expires time.Time
	// Value was published by the holder with PublishLease, for instance its address.
	Value string
}

func leaseOf(r row) Lease {
	return Lease{
		Name: r.text(sortKey), Holder: r.text("holder"), Token: r.number("token"),
		Expires: r.time("expires"), Value: r.text("value"),
	}
}

func (l Lease) lostError() error {
	return &LeaseLostError{Name: l.Name, Holder: l.Holder, Token: l.Token}
}

// availableTo reports whether holder may acquire the lease at time now.
func (l Lease) availableTo(holder string, now time.Time) bool {
	return l.Holder == "" || l.Holder == holder || !now.Before(l.Expires)
}

// Leases lists the leases whose name has the prefix, held or not, sorted by name.
func (c *Client) Leases(ctx context.Context, prefix string) ([]Lease, error) {
	rows, err := c.list(ctx, leasePartition, prefix, false, 0)
	if err != nil {
		return nil, err
	}
	leases := make([]Lease, len(rows))
	for i, r := range rows {
		leases[i] = leaseOf(r)
	}
	return leases, nil
}

// AcquireLease acquires the lease for ttl if it was never acquired, has expired or is held under
// the same holder name, as by an earlier process. Errors: LeaseHeldError, UnavailableError.
func (c *Client) AcquireLease(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error) {
	r, err := c.get(ctx, leasePartition, name)
	if err != nil {
		return Lease{}, err
	}
	now := c.config.Now()
	current := leaseOf(r)
	if !current.availableTo(holder, now) {
		return Lease{}, &LeaseHeldError{Name: name, Holder: current.Holder, Expires: current.Expires}
	}
	lease := Lease{Name: name, Holder: holder, Token: current.Token + 1, Expires: now.Add(ttl)}
	condition := where(rowAbsent, nil)
	if r != nil {
		// The condition includes the expiry so that a concurrent renewal prevents the takeover.
		condition = where("#nonce = :nonce AND #expires = :expires",
			row{":nonce": text(r.text("nonce")), ":expires": milliseconds(current.Expires)})
	}
	if err := c.writeLease(ctx, lease, r.text("nonce"), condition); err != nil {
		return Lease{}, err
	}
	c.log.Log(event.LeaseAcquired, zap.String("lease", name), zap.Uint64("token", lease.Token))
	return lease, nil
}

// writeLease writes the row of a newly acquired lease. previous is the nonce of the row that it
// replaces.
func (c *Client) writeLease(ctx context.Context, l Lease, previous string, condition clause) error {
	nonce := rand.Text()
	var current Lease
	item := key(leasePartition, l.Name)
	item["holder"], item["token"] = text(l.Holder), number(l.Token)
	item["expires"], item["nonce"] = milliseconds(l.Expires), text(nonce)
	found, err := c.writeOnce(ctx, conditionalWrite{
		operation:      "acquire lease " + l.Name,
		endWithContext: true,
		write:          func(ctx context.Context) error { return c.put(ctx, item, condition) },
		readBack: func(ctx context.Context, refused bool) (writeState, error) {
			r, err := c.get(ctx, leasePartition, l.Name)
			current = leaseOf(r)
			switch {
			case err != nil:
				return unresolved, err
			case r.text("nonce") == nonce:
				return applied, nil
			case r.text("nonce") != previous || refused:
				return superseded, nil
			}
			return unresolved, nil
		},
	})
	if err == nil && found == superseded {
		return &LeaseHeldError{Name: l.Name, Holder: current.Holder, Expires: current.Expires}
	}
	return err
}

// RenewLease extends the lease to ttl from now, unless it was acquired again or released. Errors:
// LeaseLostError, UnavailableError.
func (c *Client) RenewLease(ctx context.Context, l Lease, ttl time.Duration) (Lease, error) {
	l.Expires = c.config.Now().Add(ttl)
	// The condition includes the expiry so that a delayed renewal neither shortens a later one nor
	// reactivates a released lease.
	condition := clause{
		text: aws.String("#t = :t AND #h = :h AND #e > :z AND #e < :e"), names: renewNames,
		values: row{":t": number(l.Token), ":h": text(l.Holder), ":z": number(0), ":e": milliseconds(l.Expires)},
	}
	err := c.writeAsHolder(ctx, "renew lease", l, "SET #e = :e", condition,
		func(current Lease) bool { return !current.Expires.Before(l.Expires.Truncate(time.Millisecond)) })
	return l, err
}

// ReleaseLease releases the lease, so that another holder can acquire it immediately. Errors:
// LeaseLostError, UnavailableError.
func (c *Client) ReleaseLease(ctx context.Context, l Lease) error {
	condition := where("#token = :token AND #holder = :holder AND #expires > :zero",
		row{":token": number(l.Token), ":holder": text(l.Holder), ":zero": number(0)})
	err := c.writeAsHolder(ctx, "release lease", l, "SET #expires = :zero", condition,
		func(current Lease) bool { return current.Expires.UnixMilli() == 0 })
	if err == nil {
		c.log.Log(event.LeaseReleased, zap.String("lease", l.Name), zap.Uint64("token", l.Token))
	}
	return err
}

// PublishLease stores value, such as the address of the holder, in the row of the lease. The write
// fails if the lease has expired by the clock of the holder or has another token. Errors:
// LeaseLostError, UnavailableError.
func (c *Client) PublishLease(ctx context.Context, l Lease, value string) error {
	condition := where("#token = :token AND #holder = :holder AND #expires > :now",
		row{":token": number(l.Token), ":holder": text(l.Holder), ":now": milliseconds(c.config.Now()), ":value": text(value)})
	return c.writeAsHolder(ctx, "publish lease", l, "SET #value = :value", condition,
		func(current Lease) bool { return current.Value == value && c.config.Now().Before(current.Expires) })
}

// writeAsHolder updates the row of a lease on the condition that its fencing token is current. done
// reports whether the row shows the effect of the write. The write must be idempotent.
func (c *Client) writeAsHolder(ctx context.Context, operation string, l Lease, set string, condition clause, done func(Lease) bool) error {
	if l.Token == 0 {
		return l.lostError() // never acquired; an absent row must not be taken for the effect of the write
	}
	found, err := c.writeOnce(ctx, conditionalWrite{
		operation:      operation + " " + l.Name,
		endWithContext: true,
		write: func(ctx context.Context) error {
			return c.update(ctx, key(leasePartition, l.Name), set, condition.withNames(set))
		},
		readBack: func(ctx context.Context, refused bool) (writeState, error) {
			r, err := c.get(ctx, leasePartition, l.Name)
			if err != nil {
				return unresolved, err
			}
			current := leaseOf(r)
			switch {
			case current.Token != l.Token || current.Holder != l.Holder:
				return superseded, nil
			case done(current):
				return applied, nil
			case refused:
				return superseded, nil
			}
			return unresolved, nil
		},
	})
	if err == nil && found == superseded {
		c.log.Log(event.LeaseLost, zap.String("lease", l.Name), zap.Uint64("token", l.Token))
		return l.lostError()
	}
	return err
}
