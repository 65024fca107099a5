package sync

import (
	"testing"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// applyAccepted passes version v to d as a version accepted from an operator.
func applyAccepted(d *daemon, v snapshot.Version, objects map[snapshot.Hash][]byte) error {
	return d.ApplyAccepted(manifestOf(v), hashOf("manifest", uint64(v)), objects)
}

// objectsOf returns the objects of version v by hash.
func objectsOf(v snapshot.Version) map[snapshot.Hash][]byte {
	objects := map[snapshot.Hash][]byte{}
	for _, e := range manifestOf(v).Entries {
		objects[e.Hash] = e.Hash[:]
	}
	return objects
}

// Guards against an accepted version that does not spread from the accepting daemon during an
// outage of the platform, that is applied without verification, or that replaces a higher one.
func TestAcceptedSpreadsDuringOutage(t *testing.T) {
	runCluster(t, 12, 3, func(is *is.I, c *cluster) {
		c.setDown(true)
		d := c.daemons[5]
		is.True(applyAccepted(d, 4, nil) != nil) // without its object
		is.Equal(d.store.Version(), snapshot.Version(3))
		is.Equal(len(d.Refusals()), 1)
		is.NoErr(applyAccepted(d, 4, objectsOf(4)))
		is.Equal(d.store.Version(), snapshot.Version(4))
		c.waitUntil("outage", changeLimit, c.daemons, inForce(4))
		is.NoErr(applyAccepted(d, 3, objectsOf(3)))
		is.Equal(d.store.Version(), snapshot.Version(4))
		c.platform.do(func() { c.platform.head = 4 })
		c.setDown(false)
	})
}
