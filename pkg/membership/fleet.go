package membership

import (
	"net/netip"
	"time"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// SilenceTime is the time without a packet of another member of the own domain after which this daemon counts as cut
// off. Each member receives about two packets a second.
const SilenceTime = 2500 * time.Millisecond

// FleetMember is a member with its status and reachability.
type FleetMember struct {
	Instance endpoint.InstanceID
	Addr     netip.AddrPort
	Status   Status
	// Left reports that the member is dead because it left in order.
	Left bool
	// Reachable is false for a member that is not dead if its domain cannot be reached, or if this daemon is cut off.
	Reachable bool
	// Since is the time of the death, or from which the member is not reachable.
	Since time.Time
	// Incarnation is about the start time of the daemon in milliseconds.
	Incarnation uint64
}

// Silent reports whether this daemon has heard nothing of the other members of its domain for SilenceTime.
func (s *State) Silent(now time.Time) bool {
	own := s.domainOf(s.local.record.Domain)
	return len(own.order) > 0 && now.Sub(own.heardAt) >= SilenceTime
}

// Fleet returns all other members, including dead ones. A daemon that is cut off alone does not declare the members of
// its domain dead, since the failure may be its own; here they are not reachable.
func (s *State) Fleet(now time.Time) []FleetMember {
	list := make([]FleetMember, 0, len(s.members))
	own, alone := s.domainOf(s.local.record.Domain), s.Silent(now)
	for id, m := range s.members {
		if id == s.self {
			continue
		}
		f := FleetMember{
			Instance: id, Addr: m.addr, Status: m.status, Reachable: true, Incarnation: m.record.Incarnation,
			Left: m.status == Dead && m.record.State == endpoint.Gone,
		}
		d := s.domainOf(m.record.Domain)
		switch {
		case m.status == Dead:
			f.Reachable, f.Since = false, m.diedAt
		case d.unreachable:
			f.Reachable, f.Since = false, d.unreachableAt
		case alone && now.Sub(d.heardAt) >= SilenceTime:
			f.Reachable, f.Since = false, own.heardAt.Add(SilenceTime)
		}
		list = append(list, f)
	}
	return list
}
