package store

import (
	"fmt"
	"slices"
	"time"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// AllServices is the wildcard in Operator.Services that permits every service.
const AllServices = "*"

// Operator is an authenticated operator.
type Operator struct {
	Name     string
	Services []string
}

// MayRevise reports whether o may submit, accept and withdraw the configuration of service.
func (o Operator) MayRevise(service string) bool {
	return slices.Contains(o.Services, service) || slices.Contains(o.Services, AllServices)
}

func (o Operator) checkMayRevise(service string) error {
	if o.Name == "" || !o.MayRevise(service) {
		return &ForbiddenError{Operator: o.Name, Service: service}
	}
	return nil
}

// Head identifies the configuration in force. The zero value means that none has been accepted yet.
type Head struct {
	Version  snapshot.Version
	Manifest snapshot.Hash
	// Token is the change token of the accept or withdraw that produced this version.
	Token string
}

// Draft is a submitted revision that is not accepted yet.
type Draft struct {
	Service string
	// File is the name under which the answers were submitted.
	File string
	// Hash is the SHA-256 of the answers.
	Hash      snapshot.Hash
	Operator  string
	Submitted time.Time
	// nonce identifies the write of the draft.
	nonce string
}

// Action is the kind of a change.
type Action string

// The actions.
const (
	Accepted  Action = "accept"
	Withdrawn Action = "withdraw"
)

// Change is one accept or withdraw.
type Change struct {
	Version snapshot.Version
	Action  Action
	Service string
	// Revision numbers the changes of the service, from 1.
	Revision uint64
	// Removed is true if the change removed the service; Hash and Answers are then zero.
	Removed bool
	// To is the earlier revision that a withdraw restored. It is 0 for an accept, and for a withdraw
	// to revision 0, which removes the service.
	To uint64
	// Hash is the hash of the service configuration, Answers the hash of the answers that it was
	// generated from, and File the name under which the answers were submitted.
	Hash     snapshot.Hash
	Answers  snapshot.Hash
	File     string
	Operator string
	Token    string
	At       time.Time
}

// String describes the change in one line.
func (c Change) String() string {
	return fmt.Sprintf("version %d: %s by %s", c.Version, c.Describe(), c.Operator)
}

// Describe returns a short description of what the change does.
func (c Change) Describe() string {
	switch {
	case c.Removed:
		return fmt.Sprintf("removal of %s", c.Service)
	case c.Action == Withdrawn:
		return fmt.Sprintf("withdraw of %s to revision %d, as revision %d", c.Service, c.To, c.Revision)
	}
	return fmt.Sprintf("accept of %s revision %d", c.Service, c.Revision)
}

// sameContent reports whether both changes produce the same content in the same version.
func (c Change) sameContent(other Change) bool {
	return c.Version == other.Version && c.Service == other.Service && c.Revision == other.Revision &&
		c.Removed == other.Removed && c.Hash == other.Hash
}

// sameRequest reports whether both changes result from the same operator request.
func (c Change) sameRequest(other Change) bool {
	return c.Action == other.Action && c.Service == other.Service && c.Operator == other.Operator &&
		c.Token == other.Token && c.To == other.To && (c.Action == Withdrawn || c.Answers == other.Answers)
}

// Content is a complete configuration version: its manifest and the objects of its services.
type Content struct {
	Manifest snapshot.Manifest
	// Hash is the hash of the manifest.
	Hash snapshot.Hash
	// Objects holds the encoded configuration of each service in Manifest.
	Objects map[snapshot.Hash][]byte
}

// State is the known state of a change.
type State string

// The states of a change.
const (
	StateAccepted    State = "accepted"
	StateNotAccepted State = "not accepted"
	// StateUnknown means that the change may still take effect; query it again by its token.
	StateUnknown State = "not known yet"
)

// Outcome is the result of an accept or withdraw as reported to the operator.
type Outcome struct {
	State State
	// Change is set if State is StateAccepted.
	Change Change
	// Token and Seen identify the change in a later query of its outcome.
	Token string
	Seen  snapshot.Version
}
