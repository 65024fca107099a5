package membership

import (
	"slices"
	"time"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// remoteFailed handles a probe into another domain that got no ack. Further members of the domain
// are probed at once, so that a partition is noticed within two probe timeouts. A member of
// another domain is never accused alone; its own domain does that.
func (s *State) remoteFailed(now time.Time, p *probe) {
	d := p.remote
	d.checking = max(0, d.checking-1)
	if d.unreachable {
		return
	}
	if id := p.target.record.Instance; !slices.Contains(d.failed, id) {
		d.failed = append(d.failed, id)
	}
	if d.missing() > 0 {
		s.checkDomain(now, d)
		return
	}
	s.setReachable(d, false)
	others := s.remoteDomains(func(other *domain) bool { return !other.unreachable && other.checking == 0 })
	for range min(spreadChecks, len(others)) {
		s.startProbe(now, others[s.rng.IntN(len(others))].nextTarget(s.rng.IntN))
	}
}

// missing is the number of further members that must fail before d is unreachable.
func (d *domain) missing() int {
	return max(1, min(unreachableAfter, len(d.order))) - len(d.failed)
}

// checkDomain probes as many members of d as decide whether it is unreachable, other than those
// that have failed or are being probed.
func (s *State) checkDomain(now time.Time, d *domain) {
	for range len(d.order) {
		if d.checking >= d.missing() {
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
	d.failed, d.checking = nil, max(0, d.checking-1)
	d.quietUntil = now.Add(recheckPause)
	if d.unreachable {
		s.setReachable(d, true)
	}
}

// setReachable records that a domain became reachable or unreachable, and hints at it to the own
// domain, whose members then check for themselves.
func (s *State) setReachable(d *domain, reachable bool) {
	d.unreachable = !reachable
	d.failed = nil
	s.reachDirty = true
	kind := updateCut
	if reachable {
		kind = updateBack
	}
	hint := update{Kind: kind, Domain: d.name}
	s.queueUpdate("domain:"+d.name, hint, true)
	s.fanOut(hint)
}

// hinted handles a hint of another member about the reachability of a domain.
func (s *State) hinted(now time.Time, name string, cut bool) {
	d := s.domains[name]
	switch {
	case d == nil || !s.remote(name) || d.unreachable == cut || len(d.order) == 0:
	case cut && !now.Before(d.quietUntil):
		s.checkDomain(now, d)
	case !cut && d.checking == 0:
		s.startProbe(now, d.nextTarget(s.rng.IntN))
	}
}

// heardFrom checks an unreachable domain as soon as a packet arrives from it. Only an ack proves
// that both directions work.
func (s *State) heardFrom(now time.Time, from *member) {
	d := s.domainOf(from.record.Domain)
	if d.unreachable && d.checking == 0 {
		s.startProbe(now, from)
	}
}

// Reachable reports whether a failure domain can be reached.
func (s *State) Reachable(name string) bool {
	d := s.domains[name]
	return d != nil && !d.unreachable
}

// MaxHolders is the number of leases of a failure domain.
const MaxHolders = 2

// Holder is a member that holds a lease of the own failure domain.
type Holder struct {
	Slot     int
	Instance endpoint.InstanceID
	// Token is the fencing token of the lease; a higher one replaces a lower one.
	Token uint64
}

// SetHolder records the holder of a lease slot of the own domain and disseminates it there. Older
// tokens are ignored.
func (s *State) SetHolder(h Holder) {
	if h.Slot < 0 || h.Slot >= MaxHolders || h.Instance == "" {
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

// Holders returns the known lease holders of the own domain in order of slot.
func (s *State) Holders() []Holder {
	var list []Holder
	for slot := range MaxHolders {
		if h, ok := s.holders[slot]; ok {
			list = append(list, h)
		}
	}
	return list
}
