// Package snapshot holds the versioned configuration that daemons serve: its types, the checks
// that it must pass as a whole, its encoding and the routing table made from it.
package snapshot

import "time"

// Version numbers the accepted configurations. It grows by one with each accept or withdraw.
type Version uint64

// Hash is the SHA-256 of an encoded object; it is the key of the object in the object store.
type Hash [32]byte

// Kind is one kind of request that a service offers.
type Kind struct {
	Name string `cbor:"1,keyasint"`
	// Method and PathPrefix select the requests of this kind; the longest prefix wins. An empty
	// method matches all methods.
	Method     string `cbor:"2,keyasint"`
	PathPrefix string `cbor:"3,keyasint"`
	// Rank is the urgency, 1 is the most urgent.
	Rank       int           `cbor:"4,keyasint"`
	Idempotent bool          `cbor:"5,keyasint"`
	Deadline   time.Duration `cbor:"6,keyasint"`
	// ExpectedRate is the declared rate of the whole service in requests per second.
	ExpectedRate float64       `cbor:"7,keyasint"`
	ServiceTime  time.Duration `cbor:"8,keyasint"`
	Worth        int           `cbor:"9,keyasint"`
	// Objective is the share of requests that must be good and in time, between 0 and 1.
	Objective float64 `cbor:"10,keyasint"`
	// Calls lists the kinds of other services, as "service/kind", that a request of this kind uses.
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
	// Routes lead requests for hosts and paths to this service. A service that has them, or is the
	// destination of one, need not declare kinds and capacity.
	Routes []Route `cbor:"8,keyasint,omitempty"`
}

// ManifestEntry names the configuration of one service in a version.
type ManifestEntry struct {
	Service string `cbor:"1,keyasint"`
	// Revision counts the accepted revisions of the service.
	Revision uint64 `cbor:"2,keyasint"`
	Hash     Hash   `cbor:"3,keyasint"`
}

// Manifest lists the services of one version in order of name.
type Manifest struct {
	Version Version         `cbor:"1,keyasint"`
	Entries []ManifestEntry `cbor:"2,keyasint"`
	// Limits bounds what callers may send; nil stands for the defaults of the daemon.
	Limits *Limits `cbor:"3,keyasint,omitempty"`
}

// Snapshot is one complete version of the configuration. It is immutable once built.
type Snapshot struct {
	Version      Version
	ManifestHash Hash
	Manifest     Manifest
	Services     map[string]*Service

	// routes holds the routing table of each service.
	routes map[string]*routing
	// hosts holds the routes by host; nil if the configuration has none.
	hosts hostTable
}

// Delta carries what changed between two versions of the configuration.
type Delta struct {
	// Base is the version that the receiver must hold; zero means that the delta is complete.
	Base         Version  `cbor:"1,keyasint"`
	Version      Version  `cbor:"2,keyasint"`
	ManifestHash Hash     `cbor:"3,keyasint"`
	Removed      []string `cbor:"4,keyasint,omitempty"`
	// Changed holds the entries that differ from Base, Objects their encoded services in the same
	// order.
	Changed []ManifestEntry `cbor:"5,keyasint,omitempty"`
	Objects [][]byte        `cbor:"6,keyasint,omitempty"`
	// Limits are those of the new version.
	Limits *Limits `cbor:"7,keyasint,omitempty"`
}
