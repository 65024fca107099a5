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
	order := Order(domain, holders, live)
	roots := 0
	for roots < len(order) && slices.Contains(holders, order[roots]) {
		roots++
	}
	if roots == 0 {
		roots = min(Roots, len(order))
	}
	place := slices.Index(order, self)
	if place < roots {
		return nil
	}
	var parents []endpoint.InstanceID
	at := place
	for at >= roots {
		at = (at - roots) / Fanout
		parents = append(parents, order[at])
	}
	for i := (place - roots) / Fanout; i >= 0 && len(parents) < MaxParents; i-- {
		if !slices.Contains(parents, order[i]) {
			parents = append(parents, order[i])
		}
	}
	return parents
}
