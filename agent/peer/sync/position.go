package sync

import (
	"slices"
	"time"

	"kingcupwood.example/kingcupwood/pkg/distribution"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/membership"
)

// treePosition is the position of this daemon in the tree of its failure domain, with the members
// and the lease holders from which it was derived. It is immutable.
type treePosition struct {
	distribution.Position
	members *endpoint.Members
	holders [membership.MaxHolders]endpoint.InstanceID
}

// position returns the current position. It is computed again only after a member of the local
// domain joined or died or a lease changed its holder: sorting 842 members for each poll took
// 1.4 ms.
func (f *Follower) position() *treePosition {
	view := f.cfg.Members.View()
	members := view.Own
	var holders [membership.MaxHolders]endpoint.InstanceID
	if f.cfg.Source != nil {
		holders = f.selectReaders(members, view)
	} else {
		f.cfg.Members.Do(func(_ time.Time, s *membership.State) { holders = s.HolderInstances() })
	}
	before := f.cachedPosition.Load()
	if before != nil && before.members == members && before.holders == holders {
		return before
	}
	var live []endpoint.InstanceID
	if members != nil {
		live = members.Instances
	}
	p := &treePosition{members: members, holders: holders}
	p.Position = distribution.PositionOf(f.cfg.Self.Instance, f.cfg.Self.Domain, holders[:], live)
	if f.cachedPosition.CompareAndSwap(before, p) {
		f.logProviders(before, p)
	}
	return p
}

// isHolder reports whether instance is a known lease holder or a reader of the source.
func (p *treePosition) isHolder(instance endpoint.InstanceID) bool {
	return slices.Contains(p.holders[:], instance)
}

// parents returns the daemons to poll in order of preference. The list must not be changed. The
// lease holders of a domain poll each other: what one has read, the other need not read from the
// platform, and neither half of the domain depends on its own root.
func (f *Follower) parents() []endpoint.InstanceID {
	p := f.position()
	if p.isHolder(f.cfg.Self.Instance) {
		return f.otherHolders()
	}
	return p.Parents
}

// otherHolders returns the live lease holders of the local domain other than this daemon.
func (f *Follower) otherHolders() []endpoint.InstanceID {
	records := f.cfg.Members.View().Records
	var others []endpoint.InstanceID
	for _, id := range f.position().holders {
		if r, live := records[id]; live && r.Domain == f.cfg.Self.Domain && id != f.cfg.Self.Instance {
			others = append(others, id)
		}
	}
	return others
}

// isCandidate reports whether this daemon is a known lease holder or among the first
// leaseCandidates of the other members.
func (f *Follower) isCandidate() bool {
	p := f.position()
	return p.isHolder(f.cfg.Self.Instance) || p.Rank >= 0 && p.Rank < leaseCandidates
}
