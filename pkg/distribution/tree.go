// Package distribution decides how configuration versions are distributed: the position of a daemon
// in the distribution tree, the version floor after a restart, and when and from which peer to
// pull. It performs no I/O.
package distribution

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// Fanout is the number of children of a daemon in the tree of its failure domain. With 842 daemons
// the tree has 5 levels.
const Fanout = 4

// Roots is the number of roots: the holders of the two leases of the failure domain.
const Roots = 2

// MaxParents bounds the list of parents that a daemon tries.
const MaxParents = 8

// Order returns live sorted by rendezvous hash in the failure domain, lease holders first. All
// daemons with the same view of the members compute the same order. Holders that are not live are
// omitted.
func Order(domain string, holders, live []endpoint.InstanceID) []endpoint.InstanceID {
	type ranked struct {
		id   endpoint.InstanceID
		hash uint64
		root bool
	}
	list := make([]ranked, 0, len(live))
	for _, id := range live {
		hash := xxhash.Sum64String(domain + "\x00" + string(id))
		list = append(list, ranked{id, hash, slices.Contains(holders, id)})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.root != b.root {
			if a.root {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	order := make([]endpoint.InstanceID, len(list))
	for i, r := range list {
		order[i] = r.id
	}
	return order
}

// Parents returns the daemons that self polls for new versions, in order of preference: its
// ancestors in the tree from the parent to the root, then other daemons that precede its parent in
// the order. Without a live holder the first Roots daemons in order are the roots. It returns nil
// for a root. All parents come before self in Order, so daemons with the same members never form a
// cycle.
func Parents(self endpoint.InstanceID, domain string, holders, live []endpoint.InstanceID) []endpoint.InstanceID {
	return PositionOf(self, domain, holders, live).Parents
}

// Position is the position of a daemon in the tree of its failure domain. It depends only on the
// live members and the holders. Computing it sorts all members, so callers should cache it.
type Position struct {
	// Parents is the result of Parents.
	Parents []endpoint.InstanceID
	// Rank is the number of members before this one in the order without holders; -1 for a holder
	// and for an instance that is not live.
	Rank int
	// Ancestors is the number of leading Parents that are ancestors in the tree; 1 for a child of a
	// root.
	Ancestors int
}

// PositionOf returns the position of self.
func PositionOf(self endpoint.InstanceID, domain string, holders, live []endpoint.InstanceID) Position {
	order := Order(domain, holders, live)
	liveHolders := 0
	for liveHolders < len(order) && slices.Contains(holders, order[liveHolders]) {
		liveHolders++
	}
	position := slices.Index(order, self)
	parents, ancestors := parentsOf(order, liveHolders, position)
	return Position{Parents: parents, Rank: max(-1, position-liveHolders), Ancestors: ancestors}
}

// parentsOf returns the parents of the daemon at the given position of order, whose first holders
// elements are lease holders, and how many of the parents are its ancestors.
func parentsOf(order []endpoint.InstanceID, holders, position int) (parents []endpoint.InstanceID, ancestors int) {
	roots := holders
	if roots == 0 {
		roots = min(Roots, len(order))
	}
	if position < roots {
		return nil, 0
	}
	at := position
	for at >= roots {
		at = (at - roots) / Fanout
		parents = append(parents, order[at])
	}
	ancestors = len(parents)
	for i := (position - roots) / Fanout; i >= 0 && len(parents) < MaxParents; i-- {
		if !slices.Contains(parents, order[i]) {
			parents = append(parents, order[i])
		}
	}
	return parents, ancestors
}
