package sync

import (
	"time"

	"kingcupwood.example/kingcupwood/pkg/distribution"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/membership"
)

// position is the place of this daemon in the tree of its failure domain, with the members and the
// lease holders from which it was derived. It is immutable.
type position struct {
	distribution.Position
	members *endpoint.Members
	holders [membership.MaxHolders]endpoint.InstanceID
}

// position returns the present position. It is derived again only after a member of the own domain
// joined or died or a lease changed hands: a sort of 842 members for each poll took 1.4 ms.
func (f *Follower) position() *position {
	members := f.cfg.Members.View().Own
	var holders [membership.MaxHolders]endpoint.InstanceID
	f.cfg.Members.Do(func(_ time.Time, s *membership.State) { holders = s.HolderInstances() })
	if p := f.place.Load(); p != nil && p.members == members && p.holders == holders {
		return p
	}
	var live []endpoint.InstanceID
	if members != nil {
		live = members.Instances
	}
	p := &position{members: members, holders: holders}
	p.Position = distribution.PositionOf(f.cfg.Self.Instance, f.cfg.Self.Domain, holders[:], live)
	f.place.Store(p)
	return p
}

// parents returns the daemons to poll in order of preference. The list must not be changed.
func (f *Follower) parents() []endpoint.InstanceID { return f.position().Parents }

// isCandidate reports whether this daemon is a known holder or among the first of the others.
func (f *Follower) isCandidate() bool {
	p := f.position()
	for _, holder := range p.holders {
		if holder == f.cfg.Self.Instance {
			return true
		}
	}
	return p.Rank >= 0 && p.Rank < leaseCandidates
}
