package store

import (
	"fmt"
	"slices"
	"time"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// AllServices in Operator.Services stands for every service.
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

func (o Operator) check(service string) error {
	if o.Name == "" || !o.MayRevise(service) {
		return &ForbiddenError{Operator: o.Name, Service: service}
	}
	return nil
}

// Head names the configuration that is in force. The zero value means that none was accepted yet.
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

// Action says how a change came about.
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
	// Revision of the service; it increases with each of its changes.
	Revision uint64
	// Removed is true if the change removed the service; Hash and Answers are then zero.
	Removed bool
	// To is the earlier revision that a withdraw put in force again.
	To uint64
	// Hash is that of the service configuration, Answers that of the answers it comes from, File the
	// name under which they were submitted.
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

// Describe tells in a few words what the change does.
func (c Change) Describe() string {
	switch {
	case c.Removed:
		return fmt.Sprintf("removal of %s", c.Service)
	case c.Action == Withdrawn:
		return fmt.Sprintf("withdraw of %s to revision %d, as revision %d", c.Service, c.To, c.Revision)
	}
	return fmt.Sprintf("accept of %s revision %d", c.Service, c.Revision)
}

// sameContent reports whether both changes lead from one version to the same content.
func (c Change) sameContent(other Change) bool {
	return c.Version == other.Version && c.Service == other.Service && c.Revision == other.Revision &&
		c.Removed == other.Removed && c.Hash == other.Hash
}

// sameRequest reports whether both changes come from the same request of an operator.
func (c Change) sameRequest(other Change) bool {
	return c.Action == other.Action && c.Service == other.Service && c.Operator == other.Operator &&
		c.Token == other.Token && c.To == other.To && (c.Action == Withdrawn || c.Answers == other.Answers)
}

// Content is a version with everything that it consists of.
type Content struct {
	Manifest snapshot.Manifest
	// Hash is that of the manifest.
	Hash snapshot.Hash
	// Objects holds the encoded configuration of each service in Manifest.
	Objects map[snapshot.Hash][]byte
}

// State says what is known about a change.
type State string

// The states of a change.
const (
	StateAccepted    State = "accepted"
	StateNotAccepted State = "not accepted"
	// StateUnknown means that the change may still take effect; ask again with its token.
	StateUnknown State = "not known yet"
)

// Outcome is what an operator is told about an accept or withdraw.
type Outcome struct {
	State State
	// Change is set if State is StateAccepted.
	Change Change
	// Token and Seen identify the change when asking again.
	Token string
	Seen  snapshot.Version
}
