package store

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// leaseModel is the reference model of one lease and of the lease that each holder last acquired.
type leaseModel struct {
	holder  string
	token   uint64
	expires time.Time
	value   string
	leases  map[string]Lease
}

// holdsCurrent reports whether the lease that the holder last acquired is the one in the table.
func (m *leaseModel) holdsCurrent(holder string) bool {
	lease, ok := m.leases[holder]
	return ok && lease.Token == m.token && m.holder == holder
}

// leaseStep carries out one operation of a holder and returns its error and whether the model
// allows it, in which case the model has changed.
func (h *harness) leaseStep(operation, holder string, m *leaseModel) (error, bool) {
	now := h.clock.Now()
	lease := m.leases[holder]
	switch operation {
	case "acquire":
		lease, err := h.client.AcquireLease(h.ctx, "l", holder, leaseTTL)
		allowed := m.holder == "" || m.holder == holder || !now.Before(m.expires)
		if allowed {
			m.holder, m.token, m.expires, m.value = holder, m.token+1, now.Add(leaseTTL), ""
			m.leases[holder] = lease
		}
		return err, allowed
	case "renew":
		_, err := h.client.RenewLease(h.ctx, lease, leaseTTL)
		allowed := m.holdsCurrent(holder) && m.expires.UnixMilli() > 0
		if allowed {
			m.expires = now.Add(leaseTTL)
		}
		return err, allowed
	case "publish":
		err := h.client.PublishLease(h.ctx, lease, holder)
		allowed := m.holdsCurrent(holder) && now.Before(m.expires)
		if allowed {
			m.value = holder
		}
		return err, allowed
	}
	err := h.client.ReleaseLease(h.ctx, lease)
	allowed := m.holdsCurrent(holder)
	if allowed {
		m.expires = time.UnixMilli(0)
	}
	return err, allowed
}

// Guards against a history of leases, expiries, paused holders and lost responses in which a write
// of a previous holder takes effect, or a write is reported as failed although it succeeded.
func TestLeaseHistoryMatchesModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t)
		m := &leaseModel{leases: map[string]Lease{}}
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			h.clock.Advance(time.Duration(rapid.IntRange(0, 12).Draw(rt, "seconds")) * time.Second)
			holder := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "holder")
			operation := rapid.SampledFrom([]string{"acquire", "renew", "publish", "release"}).Draw(rt, "operation")
			if n := rapid.IntRange(-1, 3).Draw(rt, "fault"); n >= 0 {
				h.inject(t, historyFaults[n])
			}
			err, allowed := h.leaseStep(operation, holder, m)
			h.platform.ClearFaults()
			var held *LeaseHeldError
			var lost *LeaseLostError
			if allowed && err != nil || !allowed && !errors.As(err, &held) && !errors.As(err, &lost) {
				rt.Fatalf("%s by %s: allowed %v, got %v", operation, holder, allowed, err)
			}
			leases, err := h.client.Leases(h.ctx, "")
			if err != nil || m.token > 0 && (leases[0].Token != m.token || leases[0].Holder != m.holder ||
				leases[0].Value != m.value || !leases[0].Expires.Equal(m.expires)) {
				rt.Fatalf("%s by %s: expected %+v, got %+v, %v", operation, holder, m, leases, err)
			}
		}
	})
}
