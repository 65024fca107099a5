// Package rollouts carries out the roll-outs of backend server versions. Tracker applies them at a daemon:
// which versions get requests, whether this daemon refuses them, and what its server responds. Coordinator
// advances them; of the daemons that see the orders, the one with the lease does so.
package rollouts

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// EraShift is the position of the era in the numbers of orders, rows and tokens, which are ordered by the era
// of the store first. The era rises when the store is restored from an older copy.
const EraShift = 40

// eraOf returns the era of a number.
func eraOf(number uint64) uint64 { return number >> EraShift }

// Order is the operator's order to move the requests of a service to servers of another version.
type Order struct {
	Service string
	// Target is the version as the operator wrote it.
	Target string
	// Duration is the time within which the roll-out is to be carried out.
	Duration time.Duration
	// Number grows with each order.
	Number uint64
	// Row is what the store holds at the place of the order: Number, unless an unreadable order has
	// replaced it there.
	Row uint64
}

// State is the state of an order as the operator reads it.
type State string

// The states.
const (
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolled_back"
)

// Status is the state of the order of a service in the store.
type Status struct {
	Service, Target string
	State           State
	// Version is compared with the number of an order: a status with a lower one belongs to an earlier
	// order.
	Version uint64
}

// Lease is the lease of the coordinator.
type Lease struct {
	// Holder is empty if the lease has been released.
	Holder endpoint.InstanceID
	// Token is the fencing token; it grows with each change of holder.
	Token uint64
	// Ages holds the age of the order of each service at the last renewal.
	Ages map[string]Age
	// Version identifies what was read. A write is conditional on it; 0 means that there is no lease yet.
	Version uint64
}

// Age is the age of an order.
type Age struct {
	Order uint64
	Age   time.Duration
}

// ErrConflict means that a condition of a write did not hold. The write has had no effect.
var ErrConflict = errors.New("the lease or the order has changed")

// ErrWithdrawn means that the operator has withdrawn the order of a service.
var ErrWithdrawn = errors.New("the order was withdrawn")

// Store holds orders, their states and the lease of the coordinator. Each call is made once; after an
// error other than ErrConflict, a write may have taken effect or may still do so.
type Store interface {
	// Watch calls observe for each order that this daemon sees while it reads the configuration for its
	// failure domain, with the reason for each one that cannot be read, and with ErrWithdrawn for one that
	// was withdrawn; the order then has its service and its number. observe must not block.
	Watch(observe func(o Order, err error))
	// Lease returns the lease, the zero value if there is none yet.
	Lease(ctx context.Context) (Lease, error)
	// WriteLease replaces the lease whose version is next.Version, and returns the new version.
	WriteLease(ctx context.Context, next Lease) (version uint64, err error)
	// Statuses returns the states of all orders.
	Statuses(ctx context.Context) ([]Status, error)
	// WriteStatus writes the state of an order on the condition that neither the lease nor the order has
	// changed.
	WriteStatus(ctx context.Context, held Lease, o Order, s State) error
}
