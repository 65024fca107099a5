package store

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	standin "kingcupwood.example/kingcupwood/standin/platform"
)

const leaseTTL = 10 * time.Second

// Guards against writes of a holder that was paused until its lease had expired.
func TestPausedHolderIsFenced(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	first, err := h.client.AcquireLease(h.ctx, "domain-a/0", "instance-1", leaseTTL)
	is.NoErr(err)
	is.NoErr(h.client.PublishLease(h.ctx, first, "10.0.0.1:7000"))
	_, err = h.client.AcquireLease(h.ctx, "domain-a/0", "instance-2", leaseTTL)
	var held *LeaseHeldError
	is.True(errors.As(err, &held))
	is.Equal(held.Holder, "instance-1")

	h.clock.Advance(leaseTTL)
	second, err := h.client.AcquireLease(h.ctx, "domain-a/0", "instance-2", leaseTTL)
	is.NoErr(err)
	is.True(second.Token > first.Token)
	is.NoErr(h.client.PublishLease(h.ctx, second, "10.0.0.2:7000"))

	var lost *LeaseLostError
	_, err = h.client.RenewLease(h.ctx, first, 2*leaseTTL) // later than the expiry of the second
	is.True(errors.As(err, &lost))
	is.True(errors.As(h.client.PublishLease(h.ctx, first, "10.0.0.1:7000"), &lost))
	is.True(errors.As(h.client.ReleaseLease(h.ctx, first), &lost))
	leases, err := h.client.Leases(h.ctx, "domain-a/")
	is.NoErr(err)
	is.Equal(len(leases), 1)
	is.Equal(leases[0].Value, "10.0.0.2:7000")
	is.True(leases[0].Expires.Equal(second.Expires))
}

// Guards against a holder publishing after its lease has expired, even if no other instance has
// acquired it.
func TestExpiredHolderMayOnlyRenew(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	lease, err := h.client.AcquireLease(h.ctx, "domain-a/0", "instance-1", leaseTTL)
	is.NoErr(err)
	h.clock.Advance(leaseTTL)
	var lost *LeaseLostError
	is.True(errors.As(h.client.PublishLease(h.ctx, lease, "10.0.0.1:7000"), &lost))
	lease, err = h.client.RenewLease(h.ctx, lease, leaseTTL)
	is.NoErr(err)
	is.NoErr(h.client.PublishLease(h.ctx, lease, "10.0.0.1:7000"))
}

// Guards against a lease write whose response was lost and that is reported as failed or sent
// twice.
func TestLeaseResponseLost(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	lost := standin.Fault{Store: standin.Table, Kind: standin.LoseResponse, Operations: standin.OnlyWrites, Count: 1}
	h.inject(t, lost)
	lease, err := h.client.AcquireLease(h.ctx, "domain-a/0", "instance-1", leaseTTL)
	is.NoErr(err)
	h.clock.Advance(leaseTTL / 2)
	h.inject(t, lost)
	renewed, err := h.client.RenewLease(h.ctx, lease, leaseTTL)
	is.NoErr(err)
	is.Equal(renewed.Token, lease.Token)
	h.inject(t, lost)
	is.NoErr(h.client.ReleaseLease(h.ctx, renewed))
	is.Equal(h.platform.Counts(standin.Table).Writes, uint64(3))
	next, err := h.client.AcquireLease(h.ctx, "domain-a/0", "instance-2", leaseTTL)
	is.NoErr(err)
	is.Equal(next.Token, lease.Token+1)
}

// Guards against two holders of an expired lease that several candidates acquire concurrently.
func TestConcurrentAcquireHasOneHolder(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	_, err := h.client.AcquireLease(h.ctx, "domain-a/0", "instance-0", leaseTTL)
	is.NoErr(err)
	h.clock.Advance(leaseTTL)
	candidates := []string{"instance-1", "instance-2", "instance-3", "instance-4"}
	results := make(chan error, len(candidates))
	for _, name := range candidates {
		go func() {
			_, err := h.client.AcquireLease(h.ctx, "domain-a/0", name, leaseTTL)
			results <- err
		}()
	}
	acquired := 0
	for range candidates {
		err := <-results
		var held *LeaseHeldError
		if err == nil {
			acquired++
		} else if !errors.As(err, &held) {
			t.Error(err)
		}
	}
	is.Equal(acquired, 1)
}

// Guards against a renewal that continues after its context has ended during an outage of the
// platform, so that the holder would use the lease after its expiry.
func TestRenewalEndsWithContext(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	lease, err := h.client.AcquireLease(h.ctx, "domain-a/0", "instance-1", leaseTTL)
	is.NoErr(err)
	h.inject(t, standin.Fault{Store: standin.Table, Kind: standin.Outage})
	ctx, cancel := context.WithCancel(h.ctx)
	cancel()
	before := h.platform.Counts(standin.Table)
	_, err = h.client.RenewLease(ctx, lease, leaseTTL)
	var unavailable *UnavailableError
	is.True(errors.As(err, &unavailable))
	after := h.platform.Counts(standin.Table)
	is.Equal(after.Reads, before.Reads) // the outcome was not read back
}
