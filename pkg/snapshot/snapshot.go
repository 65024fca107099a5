// Package snapshot implements the versioned configuration of the mesh: its types, validation,
// encoding, deltas between versions and the routing tables derived from it.
package snapshot

import "time"

// Version is the number of an accepted configuration. Each accept or withdraw increments it by one.
type Version uint64

// Hash is the SHA-256 hash of an encoded object and its key in the object store.
type Hash [32]byte

// Kind describes one kind of request that a service accepts.
type Kind struct {
	Name string `cbor:"1,keyasint"`
	// Method and PathPrefix select the requests of this kind; the longest matching prefix takes
	// precedence. An empty method matches all methods.
	Method     string `cbor:"2,keyasint"`
	PathPrefix string `cbor:"3,keyasint"`
	// Rank is the priority of the requests; 1 is the highest.
	Rank       int           `cbor:"4,keyasint"`
	Idempotent bool          `cbor:"5,keyasint"`
	Deadline   time.Duration `cbor:"6,keyasint"`
	// ExpectedRate is the declared rate of this kind over all servers, in requests per second.
	ExpectedRate float64       `cbor:"7,keyasint"`
	ServiceTime  time.Duration `cbor:"8,keyasint"`
	Worth        int           `cbor:"9,keyasint"`
	// Objective is the fraction of requests that must succeed in time, between 0 and 1.
	Objective float64 `cbor:"10,keyasint"`
	// Calls lists the kinds of other services, as "service/kind", that requests of this kind call.
	Calls []string `cbor:"11,keyasint,omitempty"`
}

// Service is the configuration of one service.
type Service struct {
	Name        string   `cbor:"1,keyasint"`
	Team        string   `cbor:"2,keyasint"`
	Slots       int      `cbor:"3,keyasint"`
	Connections int      `cbor:"4,keyasint"`
	Servers     int      `cbor:"5,keyasint"`
	DependsOn   []string `cbor:"6,keyasint,omitempty"`
	Kinds       []Kind   `cbor:"7,keyasint"`
	// Routes direct requests to this service by host and path. A service with routes, or one that
	// is a destination of a route, may omit its kinds and capacity.
	Routes []Route `cbor:"8,keyasint,omitempty"`
}

// ManifestEntry identifies the configuration of one service in a version.
type ManifestEntry struct {
	Service string `cbor:"1,keyasint"`
	// Revision counts the accepted revisions of the service.
	Revision uint64 `cbor:"2,keyasint"`
	Hash     Hash   `cbor:"3,keyasint"`
}

// Manifest lists the services of one version, sorted by name.
type Manifest struct {
	Version Version         `cbor:"1,keyasint"`
	Entries []ManifestEntry `cbor:"2,keyasint"`
	// Limits bounds the requests of callers; nil selects the defaults of the daemon.
	Limits *Limits `cbor:"3,keyasint,omitempty"`
	// Accounts lists the groups of client accounts, sorted by group.
	Accounts []AccountEntry `cbor:"4,keyasint,omitempty"`
}

// Snapshot is one complete version of the configuration. It is immutable after it is built.
type Snapshot struct {
	Version      Version
	ManifestHash Hash
	Manifest     Manifest
	Services     map[string]*Service

	// kindTables holds the kind table of each service by service name.
	kindTables map[string]*kindTable
	// routesByHost is nil if the configuration has no routes.
	routesByHost routeTable
	// accounts is nil if the configuration has no client accounts.
	accounts *accountTable
}

// Delta holds the changes between two versions of the configuration.
type Delta struct {
	// Base is the version to which the delta applies. Zero means that the delta is complete and
	// applies to any older version.
	Base         Version  `cbor:"1,keyasint"`
	Version      Version  `cbor:"2,keyasint"`
	ManifestHash Hash     `cbor:"3,keyasint"`
	Removed      []string `cbor:"4,keyasint,omitempty"`
	// Changed holds the entries that were added or differ from Base, Objects their encoded services
	// in the same order.
	Changed []ManifestEntry `cbor:"5,keyasint,omitempty"`
	Objects [][]byte        `cbor:"6,keyasint,omitempty"`
	// Limits are those of the new version.
	Limits *Limits `cbor:"7,keyasint,omitempty"`
	// Accounts holds the groups of accounts that were added or differ from Base, AccountObjects their
	// objects in the same order.
	Accounts       []AccountEntry `cbor:"8,keyasint,omitempty"`
	AccountObjects [][]byte       `cbor:"9,keyasint,omitempty"`
	RemovedGroups  []int          `cbor:"10,keyasint,omitempty"`
}
