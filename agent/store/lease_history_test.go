package store

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// leaseModel is the naive form of one lease and of what each holder believes.
type leaseModel struct {
	holder  string
	token   uint64
	expires time.Time
	value   string
	beliefs map[string]Lease
}

// current reports whether the belief of a holder is the lease of the table.
func (m *leaseModel) current(holder string) bool {
	belief, ok := m.beliefs[holder]
	return ok && belief.Token == m.token && m.holder == holder
}

// leaseStep carries out one operation of a holder and returns its error and whether the model allows
// it, in which case the model has changed.
func (h *harness) leaseStep(operation, holder string, m *leaseModel) (error, bool) {
	now := h.clock.Now()
	belief := m.beliefs[holder]
	switch operation {
	case "acquire":
		lease, err := h.client.AcquireLease(h.ctx, "l", holder, leaseTTL)
		allowed := m.holder == "" || m.holder == holder || !now.Before(m.expires)
		if allowed {
			m.holder, m.token, m.expires, m.value = holder, m.token+1, now.Add(leaseTTL), ""
			m.beliefs[holder] = lease
		}
		return err, allowed
	case "renew":
		_, err := h.client.RenewLease(h.ctx, belief, leaseTTL)
		allowed := m.current(holder) && m.expires.UnixMilli() > 0
		if allowed {
			m.expires = now.Add(leaseTTL)
		}
		return err, allowed
	case "publish":
		err := h.client.PublishLease(h.ctx, belief, holder)
		allowed := m.current(holder) && now.Before(m.expires)
		if allowed {
			m.value = holder
		}
		return err, allowed
	}
	err := h.client.ReleaseLease(h.ctx, belief)
	allowed := m.current(holder)
	if allowed {
		m.expires = time.UnixMilli(0)
	}
	return err, allowed
}

// Guards against a history of leases, expiries, paused holders and lost responses in which a write
// of a former holder takes effect, or a holder is told that a write failed although it did not.
func TestLeaseHistoryMatchesModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t)
		m := &leaseModel{beliefs: map[string]Lease{}}
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
