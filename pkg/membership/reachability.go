package membership

import (
	"slices"
	"time"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// remoteFailed handles a probe of another domain that received no ack. Further members of the
// domain are probed immediately, so that a partition is detected within two probe timeouts. A
// single member of another domain is never marked as suspect; members of its own domain do that.
func (s *State) remoteFailed(now time.Time, p *probe) {
	d := p.remote
	d.pendingProbes = max(0, d.pendingProbes-1)
	if d.unreachable {
		return
	}
	if id := p.target.record.Instance; !slices.Contains(d.failed, id) {
		d.failed = append(d.failed, id)
	}
	if d.failuresNeeded() > 0 {
		s.checkDomain(now, d)
		return
	}
	d.unreachableAt = now
	s.setReachable(d, false)
	others := s.remoteDomains(func(other *domain) bool { return !other.unreachable && other.pendingProbes == 0 })
	for range min(otherDomainChecks, len(others)) {
		s.startProbe(now, others[s.rng.IntN(len(others))].nextTarget(s.rng.IntN))
	}
}

// failuresNeeded returns the number of further members that must fail before d is unreachable.
func (d *domain) failuresNeeded() int {
	return max(1, min(unreachableAfter, len(d.order))) - len(d.failed)
}

// checkDomain probes as many members of d as are needed to decide whether it is unreachable,
// skipping those that have failed or are being probed.
func (s *State) checkDomain(now time.Time, d *domain) {
	for range len(d.order) {
		if d.pendingProbes >= d.failuresNeeded() {
			return
		}
		m := d.nextTarget(s.rng.IntN)
		probing := slices.ContainsFunc(s.probes, func(p *probe) bool { return p.target == m })
		if !probing && !slices.Contains(d.failed, m.record.Instance) {
			s.startProbe(now, m)
		}
	}
}

func (s *State) domainAnswered(now time.Time, d *domain) {
	d.failed, d.pendingProbes = nil, max(0, d.pendingProbes-1)
	d.ignoreHintsUntil = now.Add(recheckDelay)
	if d.unreachable {
		s.setReachable(d, true)
	}
}

// setReachable marks a domain reachable or unreachable and sends a hint to members of the local
// domain, which verify it with their own probes.
func (s *State) setReachable(d *domain, reachable bool) {
	d.unreachable = !reachable
	d.failed = nil
	s.reachabilityChanged = true
	kind := updateUnreachable
	if reachable {
		kind = updateReachable
	}
	hint := update{Kind: kind, Domain: d.name}
	s.queueUpdate("domain:"+d.name, hint, true)
	s.fanOut(hint)
}

// handleReachabilityHint handles another member's hint about the reachability of a domain.
func (s *State) handleReachabilityHint(now time.Time, name string, cut bool) {
	d := s.domains[name]
	switch {
	case d == nil || !s.isRemote(name) || d.unreachable == cut || len(d.order) == 0:
	case cut && !now.Before(d.ignoreHintsUntil):
		s.checkDomain(now, d)
	case !cut && d.pendingProbes == 0:
		s.startProbe(now, d.nextTarget(s.rng.IntN))
	}
}

// probeIfUnreachable probes the sender of a packet if its domain is marked unreachable. The packet
// itself proves only one direction; an ack proves both.
func (s *State) probeIfUnreachable(now time.Time, from *member) {
	d := s.domainOf(from.record.Domain)
	if d.unreachable && d.pendingProbes == 0 {
		s.startProbe(now, from)
	}
}

// Reachable reports whether a failure domain is known and reachable.
func (s *State) Reachable(name string) bool {
	d := s.domains[name]
	return d != nil && !d.unreachable
}

// MaxHolders is the number of leases of a failure domain.
const MaxHolders = 2

// Holder is a member that holds a lease of the local failure domain.
type Holder struct {
	Slot     int
	Instance endpoint.InstanceID
	// Token is the fencing token of the lease; a higher one replaces a lower one.
	Token uint64
}

// SetHolder records the holder of a lease slot of the local domain and disseminates it there.
// Tokens that are not higher than the known one are ignored.
func (s *State) SetHolder(h Holder) {
	if h.Slot < 0 || h.Slot >= MaxHolders || h.Instance == "" || len(h.Instance) > maxFieldBytes || h.Token > maxIncarnation {
		return
	}
	if old, ok := s.holders[h.Slot]; ok && old.Token >= h.Token {
		return
	}
	s.holders[h.Slot] = h
	s.queueUpdate("holder:"+string(rune('0'+h.Slot)), update{
		Kind: updateHolder, Instance: h.Instance, Incarnation: h.Token, Domain: s.local.record.Domain, Slot: h.Slot,
	}, true)
}

// HolderInstances returns the holders by slot, empty where none is known.
func (s *State) HolderInstances() (list [MaxHolders]endpoint.InstanceID) {
	for slot := range list {
		list[slot] = s.holders[slot].Instance
	}
	return list
}

// Holders returns the known lease holders of the local domain in order of slot.
func (s *State) Holders() []Holder {
	var list []Holder
	for slot := range MaxHolders {
		if h, ok := s.holders[slot]; ok {
			list = append(list, h)
		}
	}
	return list
}
