// Package distribution holds the decisions about how a configuration version travels: the tree
// position of a daemon, the version floor after a restart, and when to pull from which peer. It
// performs no I/O.
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

// Order returns live sorted by rendezvous hash in the failure domain, holders first. All daemons
// that see the same members derive the same order. Holders that are not live are left out.
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

// Parents returns the daemons at which self polls for new versions, the preferred one first: its
// parent in the tree, the ancestors of that one, then other daemons above. Without a live holder
// the first Roots daemons in order are the roots. It returns nil for a root. All parents come
// before self in Order, so daemons with the same members never form a cycle.
func Parents(self endpoint.InstanceID, domain string, holders, live []endpoint.InstanceID) []endpoint.InstanceID {
	return PositionOf(self, domain, holders, live).Parents
}

// Position is what a daemon needs to know of the tree of its failure domain. It changes only with
// the live members and the holders, and takes a sort of all members to derive, so callers keep it.
type Position struct {
	// Parents is the result of Parents.
	Parents []endpoint.InstanceID
	// Rank is the number of members before this one in the order without holders; -1 for a holder
	// and for an instance that is not live.
	Rank int
	// Ancestors is the number of parents that are on the way to the root; 1 for the child of a root.
	Ancestors int
}

// PositionOf returns the position of self.
func PositionOf(self endpoint.InstanceID, domain string, holders, live []endpoint.InstanceID) Position {
	order := Order(domain, holders, live)
	held := 0
	for held < len(order) && slices.Contains(holders, order[held]) {
		held++
	}
	place := slices.Index(order, self)
	parents, ancestors := parentsOf(order, held, place)
	return Position{Parents: parents, Rank: max(-1, place-held), Ancestors: ancestors}
}

// parentsOf returns the parents of the daemon at place of order, which starts with held holders, and how
// many of them are its ancestors.
func parentsOf(order []endpoint.InstanceID, held, place int) (parents []endpoint.InstanceID, ancestors int) {
	roots := held
	if roots == 0 {
		roots = min(Roots, len(order))
	}
	if place < roots {
		return nil, 0
	}
	at := place
	for at >= roots {
		at = (at - roots) / Fanout
		parents = append(parents, order[at])
	}
	ancestors = len(parents)
	for i := (place - roots) / Fanout; i >= 0 && len(parents) < MaxParents; i-- {
		if !slices.Contains(parents, order[i]) {
			parents = append(parents, order[i])
		}
	}
	return parents, ancestors
}
