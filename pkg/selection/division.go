package selection

import (
	"sync/atomic"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/rollout"
)

// division divides the requests of a service between the set of the old version, which holds it, and the
// set of the target version.
type division struct {
	target  *set
	traffic rollout.Traffic
	share   *share
	// targetFirst and baseFirst hold both sets.
	targetFirst, baseFirst []*set
}

// shareKey identifies a roll-out across updates.
type shareKey struct {
	service string
	order   uint64
}

// share spreads the requests for the target version evenly. It starts at a random point, so that many
// daemons with few requests each together send the target its share.
type share struct{ used atomic.Int64 }

// take reports whether the next request is one for the target, which gets share of rollout.FullShare.
func (s *share) take(share int) bool {
	after := s.used.Add(int64(share))
	return after/rollout.FullShare != (after-int64(share))/rollout.FullShare
}

func keepShare(old, kept retained, key shareKey, rng func() uint64) *share {
	s := old.shares[key]
	if s == nil {
		s = new(share)
		s.used.Store(int64(rng() % rollout.FullShare))
	}
	kept.shares[key] = s
	return s
}

// divide returns the records that may get requests: those of the version of the service and those of the
// target version.
func divide(traffic *rollout.Traffic, records []endpoint.Record) (base, target []endpoint.Record) {
	slots := 0
	for _, r := range records {
		switch {
		case traffic.IsTarget(r.Version):
			if r.State == endpoint.Ready {
				target = append(target, r)
			}
		case traffic.IsBase(r.Version):
			base = append(base, r)
			if r.State == endpoint.Ready {
				slots += max(r.Slots, 1)
			}
		}
	}
	return base, traffic.Canaries(target, slots)
}

// size returns the number of endpoints of all versions.
func (s *set) size() int {
	if s.division == nil {
		return len(s.all)
	}
	return len(s.all) + len(s.division.target.all)
}

// attempts describes the earlier attempts of a request.
type attempts struct {
	// any means that there were some, refused that the last server refused it as draining.
	any, refused bool
}

// groups returns the sets in which an endpoint is looked for, in this order.
func (s *set) groups(earlier attempts) []*set {
	d := s.division
	if d == nil {
		return s.alone
	}
	switch {
	case d.traffic.OnlyTarget:
		return d.target.alone
	case d.traffic.Share >= rollout.FullShare, !earlier.any && d.share.take(d.traffic.Share):
		return d.targetFirst
	case d.traffic.Judged && earlier.refused:
		return d.targetFirst // the daemons beside the old servers know of the handover before this one
	case d.traffic.Judged && (!earlier.any || len(s.all) == 0):
		return d.baseFirst
	}
	return s.alone
}

// groupOf returns the set of the version of m.
func (s *set) groupOf(m *member) *set {
	if s == nil || s.division == nil || !s.division.traffic.IsTarget(m.record.Version) {
		return s
	}
	return s.division.target
}

// none is the error if no endpoint can be chosen.
func (s *set) none(service string, tried []endpoint.InstanceID) *NoEndpoint {
	return &NoEndpoint{Service: service, Known: s.size(), Tried: len(tried)}
}

// acceptAgain makes the endpoints of a service usable that have refused requests as draining. After a
// roll-back in the handover, they accept requests again.
func (r *retained) acceptAgain(service string) {
	for key, s := range r.stats {
		if key.service == service {
			s.drainingUntil.Store(0)
		}
	}
}
